/// \file
/// Finds out that the process slept, so that messages which waited meanwhile
/// are not taken for new ones.
#ifndef DANDELIONFALL_CORE_GATE_SLEEP_GUARD_H
#define DANDELIONFALL_CORE_GATE_SLEEP_GUARD_H

#include "dandelionfall/core/time.h"

#include <optional>

namespace dandelionfall::core::gate {

/// Watches the time between events. While links are open the gate is woken at
/// every `Interval`, so a longer gap means that the process did not run.
class SleepGuard {
public:
  /// Notes an event.
  void onEvent(TimePoint Now);
  /// Stops watching until the next event, since nobody asks for wake-ups.
  void stopWatching() { m_LastEvent.reset(); }
  /// \returns how long a message that is read now may have waited unread.
  Duration maxUnreadTime(TimePoint Now) const;
  /// \returns whether the process slept at some time after \p Start.
  bool sleptSince(TimePoint Start) const {
    return m_WokeAt && *m_WokeAt > Start;
  }
  /// \returns when the next event must come, if the time is watched.
  std::optional<TimePoint> nextWakeUp() const;

  /// Time between two wake-ups.
  static constexpr Duration Interval = std::chrono::milliseconds(100);
  /// Delay of a wake-up that is still put down to load.
  static constexpr Duration Tolerance = std::chrono::milliseconds(100);
  /// Time after a sleep within which messages may be old.
  static constexpr Duration BacklogTime = std::chrono::milliseconds(100);

private:
  std::optional<TimePoint> m_LastEvent;
  std::optional<TimePoint> m_WokeAt;
  Duration m_SleepTime{0};
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_SLEEP_GUARD_H
