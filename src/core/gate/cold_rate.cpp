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
  if (!isCold(Now))
    return Now;
  TimePoint Next = Now;
  if (m_LimitReachedUntil)
    Next = std::max(Next, *m_LimitReachedUntil);
  const auto Bound = static_cast<std::size_t>(std::max(m_PerSecond, 1.0));
  if (m_Starts.size() >= Bound)
    Next = std::max(Next, m_Starts[m_Starts.size() - Bound] + Window);
  return std::min(Next, *m_ColdUntil);
}

std::optional<double> ColdRate::limit(TimePoint Now) const {
  return isCold(Now) ? std::optional(m_PerSecond) : std::nullopt;
}

} // namespace dandelionfall::core::gate
