#include "core/gate/cold_rate.h"

#include <algorithm>

namespace dandelionfall::core::gate {

void ColdRate::extendColdUntil(TimePoint Until) {
  m_ColdUntil = m_ColdUntil ? std::max(*m_ColdUntil, Until) : Until;
}

void ColdRate::recordStart(TimePoint Now) {
  while (!m_Starts.empty() && m_Starts.front() + Window <= Now)
    m_Starts.pop_front();
  m_Starts.push_back(Now);
}

bool ColdRate::isCold(TimePoint Now) const {
  return m_PerSecond > 0 && m_ColdUntil && Now < *m_ColdUntil;
}

TimePoint ColdRate::earliestStart(TimePoint Now) const {
  return isCold(Now) ? nextStarts(1, Now).front() : Now;
}

std::vector<TimePoint> ColdRate::nextStarts(std::size_t Count,
                                            TimePoint Now) const {
  if (!isCold(Now))
    return {};
  const RateWindow Limit{static_cast<std::size_t>(std::max(m_PerSecond, 1.0)),
                         Window};
  std::vector<TimePoint> Starts = gate::nextStarts(
      Limit, m_Starts, Count, std::max(Now, m_LimitReachedUntil.value_or(Now)));
  for (TimePoint &Each : Starts)
    Each = std::min(Each, *m_ColdUntil);
  return Starts;
}

std::optional<double> ColdRate::limit(TimePoint Now) const {
  return isCold(Now) ? std::optional(m_PerSecond) : std::nullopt;
}

} // namespace dandelionfall::core::gate
