/// \file
/// Start times of requests under a limit on the starts within a window.
#ifndef DANDELIONFALL_CORE_GATE_RATE_WINDOW_H
#define DANDELIONFALL_CORE_GATE_RATE_WINDOW_H

#include "dandelionfall/core/time.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace dandelionfall::core::gate {

/// Limit on the number of starts within any window of a length.
struct RateWindow {
  /// At least 1.
  std::size_t m_Starts = 1;
  Duration m_Length{0};
};

/// Finds when the next requests may start, each as early as possible.
/// \param Limit the limit.
/// \param Earlier earlier starts, in ascending order.
/// \param Count number of requests.
/// \param From time before which none starts.
/// \returns the starts, in ascending order.
std::vector<TimePoint> nextStarts(const RateWindow &Limit,
                                  const std::deque<TimePoint> &Earlier,
                                  std::size_t Count, TimePoint From);

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_RATE_WINDOW_H
