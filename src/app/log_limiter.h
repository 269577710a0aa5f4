/// \file
/// Limits the rate of log lines per kind of event.
#ifndef DANDELIONFALL_SRC_APP_LOG_LIMITER_H
#define DANDELIONFALL_SRC_APP_LOG_LIMITER_H

#include "dandelionfall/core/event.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace dandelionfall::app {

/// One token bucket per kind of event, with a count of the suppressed lines.
/// Not thread-safe.
class LogLimiter {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Lines of one kind that can be written in a burst.
  static constexpr double BurstLines = 200;
  /// Sustained rate for lines of one kind, per second. A node at the design
  /// size handles 371 calls a second; a sample of these is enough.
  static constexpr double LinesPerSecond = 50;

  /// Decision about one line.
  struct Decision {
    bool m_Admitted = false;
    /// Lines of the kind that were suppressed since the last admitted one.
    std::uint64_t m_Suppressed = 0;
  };

  /// Decides whether the next line of a kind is written.
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
