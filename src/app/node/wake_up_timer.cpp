#include "app/node/wake_up_timer.h"

#include <utility>

namespace dandelionfall::app {

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
  m_Timer.expires_at(*WakeUp);
  m_Timer.async_wait([this](boost::system::error_code Code) {
    if (Code)
      return;
    m_ArmedFor.reset();
    m_OnDue();
  });
}

} // namespace dandelionfall::app
