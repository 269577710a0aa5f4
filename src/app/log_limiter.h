/// \file
/// Bounds the number of log lines by kind of event.
#ifndef DANDELIONFALL_SRC_APP_LOG_LIMITER_H
#define DANDELIONFALL_SRC_APP_LOG_LIMITER_H

#include "dandelionfall/core/event.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace dandelionfall::app {

/// A token bucket for each kind of event, with a count of the lines that it
/// kept back. Not safe for use by several threads at once.
class LogLimiter {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Lines of one kind that may be written at once.
  static constexpr double BurstLines = 200;
  /// Lines of one kind a second in the long run; a node at the aimed size takes
  /// 371 calls a second, of which a sample will do.
  static constexpr double LinesPerSecond = 50;

  /// What becomes of a line.
  struct Decision {
    bool m_Admitted = false;
    /// Lines of the kind that were left out since the last one that was
    /// admitted.
    std::uint64_t m_Suppressed = 0;
  };

  /// Decides about the next line of a kind.
  Decision decide(core::EventId Kind, TimePoint Now);

private:
  struct Bucket {
    double m_Tokens = BurstLines;
    TimePoint m_FilledAt;
    std::uint64_t m_Suppressed = 0;
  };

  std::unordered_map<core::EventId, Bucket> m_Buckets;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_LOG_LIMITER_H
