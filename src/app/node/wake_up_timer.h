/// \file
/// Timer for the next wake-up that a state machine requests.
#ifndef DANDELIONFALL_SRC_APP_NODE_WAKE_UP_TIMER_H
#define DANDELIONFALL_SRC_APP_NODE_WAKE_UP_TIMER_H

#include "dandelionfall/core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>

namespace dandelionfall::app {

/// \returns the time on the process's monotonic clock, which counts the time
/// for which the host was suspended: deadlines and leases pass meanwhile.
core::TimePoint monotonicNow();

/// Calls back at the requested time. If the requested time is moved to a later
/// one, the call at the earlier time still happens. Not thread-safe.
class WakeUpTimer {
public:
  /// \param Context the context to run on; must outlive the timer.
  /// \param OnDue called at the requested time.
  WakeUpTimer(boost::asio::io_context &Context, std::function<void()> OnDue);

  /// Requests a call at `WakeUp`. Has no effect without a time or if the timer
  /// is already armed for an earlier one.
  void arm(std::optional<core::TimePoint> WakeUp);

private:
  boost::asio::steady_timer m_Timer;
  std::function<void()> m_OnDue;
  std::optional<core::TimePoint> m_ArmedFor;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_WAKE_UP_TIMER_H
