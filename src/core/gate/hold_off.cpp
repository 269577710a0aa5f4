#include "core/gate/hold_off.h"

#include <algorithm>

namespace dandelionfall::core::gate {

bool HoldOff::onRefused(TimePoint Start, TimePoint Now) {
  if (Start < m_Until)
    return false;
  constexpr std::uint32_t MaxDoublings = 10;
  const Duration Pause = FirstPause * (1U << std::min(m_Refused, MaxDoublings));
  ++m_Refused;
  m_Until = Now + std::min(Pause, LongestPause);
  return true;
}

void HoldOff::onConnected() {
  m_Refused = 0;
  m_Until = TimePoint::min();
}

Duration HoldOff::remaining(TimePoint Now) const {
  return Now < m_Until ? m_Until - Now : Duration{0};
}

} // namespace dandelionfall::core::gate
