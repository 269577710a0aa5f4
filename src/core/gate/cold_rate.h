/// \file
/// Rate limit of requests to a cold target.
#ifndef DANDELIONFALL_CORE_GATE_COLD_RATE_H
#define DANDELIONFALL_CORE_GATE_COLD_RATE_H

#include "core/gate/rate_window.h"
#include "dandelionfall/core/time.h"

#include <deque>
#include <optional>
#include <vector>

namespace dandelionfall::core::gate {

/// Limits the starts at a cold target within any second. Starts at a warm
/// target are counted too, since the target may turn cold at any moment and the
/// second before it counts towards the limit.
class ColdRate {
public:
  /// Sets the limit.
  /// \param PerSecond starts allowed within any second while cold; 0 for no
  /// limit.
  void configure(double PerSecond) { m_PerSecond = PerSecond; }
  /// Marks the target as cold at least until a time; never shortens a cold
  /// start.
  void extendColdUntil(TimePoint Until);
  /// Marks the target as warm.
  void setWarm() { m_ColdUntil.reset(); }
  /// Treats the limit as used up for one window, because the starts of the last
  /// second are unknown after a restart of this process.
  void assumeLimitReached(TimePoint Now) { m_LimitReachedUntil = Now + Window; }
  /// Records that a request was sent to the target.
  void recordStart(TimePoint Now);
  /// \returns whether the target is cold.
  bool isCold(TimePoint Now) const;
  /// \returns when the next request may start; `Now` if it may start at once.
  TimePoint earliestStart(TimePoint Now) const;
  /// \returns when the next requests may start at the earliest; empty if there
  /// is no limit.
  std::vector<TimePoint> nextStarts(std::size_t Count, TimePoint Now) const;
  /// \returns the starts allowed per second, or nothing if the target is warm
  /// or has no limit.
  std::optional<double> limit(TimePoint Now) const;

private:
  /// Window in which starts are counted: the second of the limit plus the time
  /// that a request may take to reach the target.
  static constexpr Duration Window = std::chrono::milliseconds(1100);

  double m_PerSecond = 0;
  std::optional<TimePoint> m_ColdUntil;
  std::optional<TimePoint> m_LimitReachedUntil;
  /// Starts within the window, in ascending order.
  std::deque<TimePoint> m_Starts;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_COLD_RATE_H
