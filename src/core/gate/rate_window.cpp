#include "core/gate/rate_window.h"

#include <algorithm>

namespace dandelionfall::core::gate {

std::vector<TimePoint> nextStarts(const RateWindow &Limit,
                                  const std::deque<TimePoint> &Earlier,
                                  std::size_t Count, TimePoint From) {
  std::deque<TimePoint> Starts = Earlier;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    TimePoint Next = From;
    if (Starts.size() >= Limit.m_Starts)
      Next = std::max(Next,
                      Starts[Starts.size() - Limit.m_Starts] + Limit.m_Length);
    Starts.push_back(Next);
  }
  return {Starts.end() - static_cast<std::ptrdiff_t>(Count), Starts.end()};
}

} // namespace dandelionfall::core::gate
