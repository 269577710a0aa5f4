#include "app/node/wake_up_timer.h"

#include <ctime>
#include <utility>

namespace dandelionfall::app {

core::TimePoint monotonicNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return core::TimePoint(std::chrono::duration_cast<core::Duration>(
      std::chrono::seconds(Now.tv_sec) +
      std::chrono::nanoseconds(Now.tv_nsec)));
}

WakeUpTimer::WakeUpTimer(boost::asio::io_context &Context,
                         std::function<void()> OnDue)
    : m_Timer(Context), m_OnDue(std::move(OnDue)) {}

void WakeUpTimer::arm(std::optional<core::TimePoint> WakeUp) {
  if (!WakeUp.has_value())
    return;
  // Re-arming costs more than an early call that finds nothing to do.
  if (m_ArmedFor.has_value() && *m_ArmedFor <= *WakeUp)
    return;
  m_ArmedFor = WakeUp;
  // The timer's own clock stands still while the host is suspended.
  m_Timer.expires_after(*WakeUp - monotonicNow());
  m_Timer.async_wait([this](boost::system::error_code Code) {
    if (Code)
      return;
    m_ArmedFor.reset();
    m_OnDue();
  });
}

} // namespace dandelionfall::app
