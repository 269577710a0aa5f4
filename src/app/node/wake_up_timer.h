/// \file
/// Timer that follows the next wake-up a state machine asks for.
#ifndef DANDELIONFALL_SRC_APP_NODE_WAKE_UP_TIMER_H
#define DANDELIONFALL_SRC_APP_NODE_WAKE_UP_TIMER_H

#include "dandelionfall/core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>

namespace dandelionfall::app {

/// \returns the time on the process's monotonic clock.
inline core::TimePoint monotonicNow() {
  return std::chrono::time_point_cast<core::Duration>(
      std::chrono::steady_clock::now());
}

/// Calls back at the wanted time or a little earlier than a wanted time that
/// moved away. One thread only.
class WakeUpTimer {
public:
  /// \param Context the context to run on; must outlive the timer.
  /// \param Due called when the time has come.
  WakeUpTimer(boost::asio::io_context &Context, std::function<void()> OnDue);

  /// Sets the time of the next call; a timer that is armed for an earlier time
  /// is left alone.
  void arm(std::optional<core::TimePoint> WakeUp);

private:
  boost::asio::steady_timer m_Timer;
  std::function<void()> m_OnDue;
  std::optional<core::TimePoint> m_ArmedFor;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_WAKE_UP_TIMER_H
