#include "app/node/wake_up_timer.h"

#include <utility>

namespace dandelionfall::app {

WakeUpTimer::WakeUpTimer(boost::asio::io_context &Context,
                         std::function<void()> Due)
    : m_Timer(Context), m_Due(std::move(Due)) {}

void WakeUpTimer::arm(std::optional<core::TimePoint> Wanted) {
  if (!Wanted.has_value())
    return;
  // Re-arming costs more than a call that comes too early and finds nothing
  // due.
  if (m_ArmedFor.has_value() && *m_ArmedFor <= *Wanted)
    return;
  m_ArmedFor = Wanted;
  m_Timer.expires_at(*Wanted);
  m_Timer.async_wait([this](boost::system::error_code Code) {
    if (Code)
      return;
    m_ArmedFor.reset();
    m_Due();
  });
}

} // namespace dandelionfall::app
