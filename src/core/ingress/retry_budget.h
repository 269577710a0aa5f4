/// \file
/// Bounds retries to a share of the successful requests.
#ifndef DANDELIONFALL_CORE_INGRESS_RETRY_BUDGET_H
#define DANDELIONFALL_CORE_INGRESS_RETRY_BUDGET_H

#include "dandelionfall/core/time.h"

#include <cstdint>

namespace dandelionfall::core::ingress {

/// Token bucket of one service: successes fill it, retries empty it.
class RetryBudget {
public:
  /// Notes a whole answer.
  /// \param RetryPercent retries allowed for each 100 successful requests.
  void noteSuccess(std::uint32_t RetryPercent);
  /// Takes a token if there is one.
  /// \returns whether a retry is allowed.
  bool take(TimePoint Now);

private:
  void refill(TimePoint Now);

  double m_Tokens = 0;
  TimePoint m_RefilledAt;
  bool m_Started = false;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_RETRY_BUDGET_H
