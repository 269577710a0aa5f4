/// \file
/// Pauses after connections that the target refused.
#ifndef DANDELIONFALL_CORE_GATE_HOLD_OFF_H
#define DANDELIONFALL_CORE_GATE_HOLD_OFF_H

#include "dandelionfall/core/time.h"

#include <cstdint>

namespace dandelionfall::core::gate {

/// Pause during which no request is sent to the target. Each refused connection
/// doubles it, up to a limit.
class HoldOff {
public:
  /// Handles a refused connection.
  /// \param Start when the request was sent to the target. A start before the
  /// end of the latest pause is ignored, since it gives no new evidence.
  /// \returns whether a new pause began.
  bool onRefused(TimePoint Start, TimePoint Now);
  /// Ends the pause, since the target accepted a connection.
  void onConnected();
  /// \returns the remaining time of the pause; 0 if there is none.
  Duration remaining(TimePoint Now) const;
  /// \returns whether the last connection was refused; only one request at a
  /// time is sent then.
  bool isProbing() const { return m_Refused > 0; }
  /// \returns the end of the latest pause.
  TimePoint until() const { return m_Until; }

  static constexpr Duration FirstPause = std::chrono::milliseconds(50);
  static constexpr Duration LongestPause = std::chrono::seconds(2);

private:
  std::uint32_t m_Refused = 0;
  TimePoint m_Until = TimePoint::min();
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_HOLD_OFF_H
