#include "core/ingress/retry_budget.h"

#include <algorithm>

namespace dandelionfall::core::ingress {

void RetryBudget::recordSuccess(const Profile &Policy) {
  m_Tokens =
      std::min(Policy.m_RetryCeiling, m_Tokens + Policy.m_RetryPercent / 100.0);
}

bool RetryBudget::tryConsume(const Profile &Policy, TimePoint Now,
                             double Reserve) {
  refill(Policy, Now);
  if (m_Tokens < 1.0 + Reserve)
    return false;
  m_Tokens -= 1.0;
  return true;
}

void RetryBudget::refill(const Profile &Policy, TimePoint Now) {
  if (!m_Started) {
    m_Started = true;
    m_RefilledAt = Now;
    m_Tokens = std::max(m_Tokens, Policy.m_RetryFloor);
    return;
  }
  const std::chrono::duration<double> Elapsed = Now - m_RefilledAt;
  m_RefilledAt = Now;
  if (m_Tokens >= Policy.m_RetryFloor)
    return;
  m_Tokens =
      std::min(Policy.m_RetryFloor,
               m_Tokens + Elapsed.count() * Policy.m_RetryFloorPerSecond);
}

} // namespace dandelionfall::core::ingress
