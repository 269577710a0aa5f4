/// \file
/// Limits and times of the quotas.
#ifndef DANDELIONFALL_CORE_QUOTA_LIMITS_H
#define DANDELIONFALL_CORE_QUOTA_LIMITS_H

#include "dandelionfall/core/time.h"

#include <cstddef>

namespace dandelionfall::core::quota {

/// Maximum number of accountants of a team.
constexpr std::size_t MaxAccountants = 3;
/// Least number of requests that the bucket of an accountant must hold to grant
/// any.
constexpr double MinBurst = 1.0;
/// The same for a team to have more than one accountant: of several small
/// buckets, parts of a credit are left over in each.
constexpr double MinShareBurst = 3.0;
/// Share of the tolerance that the buckets use. The rest covers the time
/// between the use of a credit and the start of the request at the target.
constexpr double BucketToleranceShare = 0.5;
/// Time for which credit may be used.
constexpr Duration LeaseTime = std::chrono::milliseconds(150);

/// Longest time for which a call waits for credit.
constexpr Duration MaxCreditWait = std::chrono::milliseconds(150);
/// Time without a reply after which another accountant is asked.
constexpr Duration AskTimeout = std::chrono::milliseconds(50);
/// Maximum number of such replies that are still accepted.
constexpr std::size_t MaxLateAsks = 4;
/// Time for which an accountant that didn't reply, or doesn't act as one, is
/// not asked again.
constexpr Duration SilenceHold = std::chrono::milliseconds(200);
/// Shortest time for which an accountant that has no credit is not asked again.
constexpr Duration MinDenialHold = std::chrono::milliseconds(20);
/// Longest time after which credit is said to be expected.
constexpr Duration MaxCreditRetryAfter = std::chrono::seconds(10);
/// Time constant of the smoothed demand for a team's credit.
constexpr Duration DemandTime = std::chrono::seconds(1);
/// Share of the demand within a lease that is asked for in advance.
constexpr double AdvanceShare = 0.5;
/// Time after which the state of a team that is not called is dropped.
constexpr Duration IdleTeamTime = std::chrono::seconds(60);

} // namespace dandelionfall::core::quota

#endif // DANDELIONFALL_CORE_QUOTA_LIMITS_H
