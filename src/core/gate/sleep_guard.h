/// \file
/// Detects that the process was suspended, so that messages that waited unread
/// during the suspension are not treated as new.
#ifndef DANDELIONFALL_CORE_GATE_SLEEP_GUARD_H
#define DANDELIONFALL_CORE_GATE_SLEEP_GUARD_H

#include "dandelionfall/core/time.h"

#include <optional>

namespace dandelionfall::core::gate {

/// Measures the time between events. While links are open the gate is woken
/// every `Interval`, so a longer gap means that the process did not run.
class SleepGuard {
public:
  /// Records that the process runs: an input or a timer is being handled.
  void onEvent(TimePoint Now);
  /// Stops measuring until the next event, since no wake-ups are requested.
  void stopWatching() { m_LastEvent.reset(); }
  /// \returns how long a message that is read now may have waited unread.
  Duration maxUnreadTime(TimePoint Now) const;
  /// \returns whether the process was suspended at some time after \p Start.
  bool sleptSince(TimePoint Start) const {
    return m_WokeAt && *m_WokeAt > Start;
  }
  /// \returns when the next wake-up is due, if the time is measured.
  std::optional<TimePoint> nextWakeUp() const;

  static constexpr Duration Interval = std::chrono::milliseconds(100);
  /// Delay of a wake-up that is still attributed to load.
  static constexpr Duration Tolerance = std::chrono::milliseconds(100);
  /// Time after a suspension during which messages read may be old.
  static constexpr Duration BacklogTime = std::chrono::milliseconds(100);

private:
  std::optional<TimePoint> m_LastEvent;
  std::optional<TimePoint> m_WokeAt;
  Duration m_SleepTime{0};
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_SLEEP_GUARD_H
