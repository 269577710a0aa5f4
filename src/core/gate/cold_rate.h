/// \file
/// Bounds the requests that a cold target gets in any second.
#ifndef DANDELIONFALL_CORE_GATE_COLD_RATE_H
#define DANDELIONFALL_CORE_GATE_COLD_RATE_H

#include "dandelionfall/core/time.h"

#include <deque>
#include <optional>

namespace dandelionfall::core::gate {

/// Counts the starts of the last second, cold or not: a target may turn cold at
/// any moment, and the second before counts too.
class ColdRate {
public:
  /// Sets the bound.
  /// \param PerSecond starts in any second while cold; 0 means no bound.
  void configure(double PerSecond) { m_PerSecond = PerSecond; }
  /// Notes that the target is cold at least until a time.
  void extendColdUntil(TimePoint Until);
  /// Notes that the target is known to be warm.
  void setWarm() { m_ColdUntil.reset(); }
  /// Counts nothing as known of the last second, as after a start of this
  /// process: the whole bound counts as used up.
  void assumeLimitReached(TimePoint Now) { m_LimitReachedUntil = Now + Window; }
  /// Notes that a request was given to the target.
  void recordStart(TimePoint Now);
  /// \returns whether the target is cold.
  bool isCold(TimePoint Now) const;
  /// \returns when the next request may start; `Now` if at once.
  TimePoint earliestStart(TimePoint Now) const;
  /// \returns requests that may start in a second; nothing if warm or
  /// unbounded.
  std::optional<double> limit(TimePoint Now) const;

private:
  /// Length of the window in which starts are counted. It is longer than the
  /// second of the bound by what a request may spend on its way to the target.
  static constexpr Duration Window = std::chrono::milliseconds(1100);

  double m_PerSecond = 0;
  std::optional<TimePoint> m_ColdUntil;
  std::optional<TimePoint> m_LimitReachedUntil;
  /// Starts within the window, in order.
  std::deque<TimePoint> m_Starts;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_COLD_RATE_H
