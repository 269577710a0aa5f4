#include "core/ingress/retry_budget.h"

#include "core/ingress/limits.h"

#include <algorithm>

namespace dandelionfall::core::ingress {

void RetryBudget::noteSuccess(std::uint32_t RetryPercent) {
  m_Tokens = std::min(RetryCeiling, m_Tokens + RetryPercent / 100.0);
}

bool RetryBudget::take(TimePoint Now) {
  refill(Now);
  if (m_Tokens < 1.0)
    return false;
  m_Tokens -= 1.0;
  return true;
}

void RetryBudget::refill(TimePoint Now) {
  if (!m_Started) {
    m_Started = true;
    m_RefilledAt = Now;
    m_Tokens = std::max(m_Tokens, RetryFloor);
    return;
  }
  const std::chrono::duration<double> Elapsed = Now - m_RefilledAt;
  m_RefilledAt = Now;
  if (m_Tokens >= RetryFloor)
    return;
  m_Tokens =
      std::min(RetryFloor, m_Tokens + Elapsed.count() * RetryFloorPerSecond);
}

} // namespace dandelionfall::core::ingress
