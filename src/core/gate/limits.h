/// \file
/// Limits of the gate on memory and time.
#ifndef DANDELIONFALL_CORE_GATE_LIMITS_H
#define DANDELIONFALL_CORE_GATE_LIMITS_H

#include "dandelionfall/core/time.h"

#include <chrono>
#include <cstddef>

namespace dandelionfall::core::gate {

/// Longest time for which the failure of a request is held back until it is
/// known whether its target ended.
constexpr Duration MaxVerdictWait = std::chrono::milliseconds(20);

/// Concurrent current links: one for each ingress of the largest fleet, plus a
/// reserve for ingresses that are being replaced.
inline constexpr std::size_t MaxLinks = 20'000;
/// Ingress incarnations with a remembered highest epoch.
inline constexpr std::size_t MaxKnownIngresses = 32'768;
/// Requests of one ingress that are waiting, running or not yet settled.
inline constexpr std::size_t MaxEntriesPerIngress = 4096;
/// Bytes of responses stored until they are settled.
inline constexpr std::size_t MaxHeldAnswerBytes = 16U << 20U;
/// Ids remembered as fenced by an inquiry.
inline constexpr std::size_t MaxFencedIds = 32'768;
/// Ids remembered as settled or refused.
inline constexpr std::size_t MaxRetiredIds = 16'384;
/// Upper bound on the remaining time of a dispatch; longer ones are shortened
/// to it.
inline constexpr Duration MaxRemaining = std::chrono::minutes(10);
/// Time after the last message and the last deadline of an ingress after which
/// its finished requests are removed.
inline constexpr Duration ForgetMargin = std::chrono::seconds(10);
/// Interval of the search for silent ingresses.
inline constexpr Duration SweepInterval = std::chrono::seconds(1);
/// Longest time that a draining gate waits for its last responses to be
/// settled.
inline constexpr Duration DrainLinger = std::chrono::seconds(2);
/// Time after the availability zone went out at which requests that still wait
/// are refused.
inline constexpr Duration ZoneOutGrace = std::chrono::seconds(1);
/// Longest time that a request may wait for the rate limit of a target. Beyond
/// it, another target is the better choice.
inline constexpr Duration MaxRateWait = std::chrono::milliseconds(300);
/// Longest time between two requests to a target that states a low rate.
inline constexpr Duration MaxStatedInterval = std::chrono::seconds(2);
/// Longest time that an abandoned request occupies its slot.
inline constexpr Duration MaxAbandonedHold = std::chrono::seconds(5);
/// Time that an abandoned request occupies its slot while no service time has
/// been measured.
inline constexpr Duration DefaultAbandonedHold = std::chrono::seconds(1);
/// Time without a request at the target after which its cold start restarts.
inline constexpr Duration MaxIdleTime = std::chrono::seconds(10);
/// Shortest time that an abandoned request occupies its slot.
inline constexpr Duration MinAbandonedHold = std::chrono::milliseconds(10);

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_LIMITS_H
