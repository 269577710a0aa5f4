#include "core/gate/sleep_guard.h"

namespace dandelionfall::core::gate {

void SleepGuard::onEvent(TimePoint Now) {
  if (m_LastEvent && Now - *m_LastEvent > Interval + Tolerance) {
    m_SleepTime = Now - *m_LastEvent;
    m_WokeAt = Now;
  }
  m_LastEvent = Now;
}

Duration SleepGuard::maxUnreadTime(TimePoint Now) const {
  const bool MayBeOld = m_WokeAt && Now - *m_WokeAt <= BacklogTime;
  return MayBeOld ? m_SleepTime : Duration{0};
}

std::optional<TimePoint> SleepGuard::nextWakeUp() const {
  if (!m_LastEvent)
    return std::nullopt;
  return *m_LastEvent + Interval;
}

} // namespace dandelionfall::core::gate
