/// \file
/// Limits and timeouts of the ingress.
#ifndef DANDELIONFALL_CORE_INGRESS_LIMITS_H
#define DANDELIONFALL_CORE_INGRESS_LIMITS_H

#include "dandelionfall/core/time.h"

#include <cstddef>

namespace dandelionfall::core::ingress {

/// Longest deadline of a call; a longer one is shortened to it.
constexpr Duration MaxDeadline = std::chrono::seconds(60);
/// Maximum number of calls without a final response; further ones are not run.
constexpr std::size_t MaxOpenCalls = 16384;
/// Maximum number of requests that wait for one link to open.
constexpr std::size_t MaxWaitingPerGate = 256;
/// Maximum number of open links.
constexpr std::size_t MaxLinks = 1024;
/// Links that only requests may open; the others may also lead to accountants
/// of quotas.
constexpr std::size_t ReservedLinks = 512;
/// Targets of one service to which links are opened before a request needs
/// them.
constexpr std::size_t PreopenedLinksPerService = 8;
/// Maximum number of orphans: requests whose call has ended but which have not
/// ended at their gate.
constexpr std::size_t MaxOrphans = 16384;
/// Maximum number of gates selected for one call.
constexpr unsigned MaxGatesPerCall = 4;
/// Longest wait for a target that replaces one whose gate knew before this node
/// that it has left.
constexpr Duration MaxTargetsWait = std::chrono::milliseconds(200);
/// Maximum number of times that a call is repeated after it may have run,
/// unless its route sets a maximum number of attempts.
constexpr unsigned MaxRetries = 2;

/// Timeout for opening a link, and again for its welcome.
constexpr Duration OpenTimeout = std::chrono::milliseconds(300);
/// Time since the last confirmation after which a link with requests is pinged.
constexpr Duration PingInterval = std::chrono::milliseconds(200);
/// Ping interval of a link that is kept open without requests.
constexpr Duration IdlePingInterval = std::chrono::seconds(5);
/// Time without a pong after which a link is considered silent.
constexpr Duration PongTimeout = std::chrono::milliseconds(300);
/// Time without a pong, beyond two round trips, after which other gates are
/// preferred.
constexpr Duration LatePongMargin = std::chrono::milliseconds(50);
/// Shortest time ahead for which a timer is set.
constexpr Duration MinTimerStep = std::chrono::milliseconds(1);
/// Delay of a timer that shows that the process itself was suspended.
constexpr Duration SuspensionThreshold = std::chrono::milliseconds(100);
/// Consecutive refused attempts to open a link after which a gate is considered
/// dead.
constexpr unsigned DeadGateRefusedOpens = 2;
/// First delay before a gate that accepts no link is tried again; doubles each
/// time.
constexpr Duration MinBackoff = std::chrono::milliseconds(50);
/// Longest such delay.
constexpr Duration MaxBackoff = std::chrono::seconds(5);
/// Time after which an unused link that is not kept open is closed, and an
/// unused service is dropped.
constexpr Duration IdleTimeout = std::chrono::seconds(60);
/// Longest delay before a gate is notified of a settled request.
constexpr Duration SettleDelay = std::chrono::milliseconds(50);
/// Maximum number of ids in one `Settled` or `Inquiry` message.
constexpr std::size_t MaxIdsSentAtOnce = 256;
/// Time after its deadline at which an orphan is dropped.
constexpr Duration OrphanGrace = std::chrono::seconds(5);
/// Length of a call's history beyond which no further attempts are appended.
constexpr std::size_t MaxHistoryBytes = 1024;
/// Minimum time between two reports of the same newer version.
constexpr Duration NewerVersionInterval = std::chrono::seconds(1);

/// `Retry-After` of a call that was not run, if neither a refusing gate nor a
/// backoff determines the time.
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);

/// Age at which a load report of a gate is no longer used.
constexpr Duration ReportLifetime = std::chrono::milliseconds(500);
/// Share of its limit up to which a target is preferred to those in more
/// distant availability zones.
constexpr double SpilloverShare = 0.8;
/// Weight of the newest sample in smoothed values.
constexpr double SmoothingWeight = 0.2;
/// Share of failures above which a target is selected only if no other has
/// capacity: more than one failure among the last few requests.
constexpr double UnhealthyFailureShare = 0.3;
/// Time without new results in which the share of failures halves, so that a
/// target that is avoided is tried again.
constexpr Duration FailureHalfLife = std::chrono::seconds(2);
/// The cost of a target that always fails is multiplied by this value plus one.
constexpr double FailurePenalty = 10.0;

/// Time between two requests that check the stated rate of a target; doubles
/// with each refusal by its gate, since a rate that is used up is checked by
/// other nodes.
constexpr Duration MinRateCheckInterval = std::chrono::seconds(1);
/// Longest such time.
constexpr Duration MaxRateCheckInterval = std::chrono::seconds(4);

/// Share of the retry floor, the retries that are always allowed, that is
/// reserved for failed requests. Requests that are only slow may use the rest.
constexpr double FailureReserve = 0.5;

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_LIMITS_H
