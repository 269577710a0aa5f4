/// \file
/// Pauses after refused connections of the target.
#ifndef DANDELIONFALL_CORE_GATE_HOLD_OFF_H
#define DANDELIONFALL_CORE_GATE_HOLD_OFF_H

#include "dandelionfall/core/time.h"

#include <cstdint>

namespace dandelionfall::core::gate {

/// Pause during which the target is given nothing, doubled by each refused
/// connection up to a bound.
class HoldOff {
public:
  /// Takes a refused connection.
  /// \param Start when the request was given to the target; one from before
  /// the end of the latest pause tells nothing new.
  /// \returns whether a new pause began.
  bool onRefused(TimePoint Start, TimePoint Now);
  /// Notes that the target took a connection.
  void onConnected();
  /// \returns the time left of the pause; 0 if there is none.
  Duration remaining(TimePoint Now) const;
  /// \returns whether the last connection was refused.
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
