/// \file
/// Limits retries to a share of the successful requests.
#ifndef DANDELIONFALL_CORE_INGRESS_RETRY_BUDGET_H
#define DANDELIONFALL_CORE_INGRESS_RETRY_BUDGET_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/time.h"

namespace dandelionfall::core::ingress {

/// Token bucket of one service: successes fill it, retries drain it. Its bounds
/// are those of the profile that is passed to each call.
class RetryBudget {
public:
  /// Records a complete response.
  void recordSuccess(const Profile &Policy);
  /// Consumes a token if one is available.
  /// \param Reserve tokens that must remain, for more important retries.
  /// \returns whether a retry is allowed.
  bool tryConsume(const Profile &Policy, TimePoint Now, double Reserve = 0);

private:
  void refill(const Profile &Policy, TimePoint Now);

  double m_Tokens = 0;
  TimePoint m_RefilledAt;
  bool m_Started = false;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_RETRY_BUDGET_H
