/// \file
/// Bounds and times of the ingress.
#ifndef DANDELIONFALL_CORE_INGRESS_LIMITS_H
#define DANDELIONFALL_CORE_INGRESS_LIMITS_H

#include "dandelionfall/core/time.h"

#include <cstddef>

namespace dandelionfall::core::ingress {

/// Longest deadline that a caller may ask for.
constexpr Duration MaxDeadline = std::chrono::seconds(60);
/// Calls without a final answer; further ones are not run.
constexpr std::size_t MaxOpenCalls = 16384;
/// Requests that may wait for one link to open.
constexpr std::size_t MaxWaitingPerGate = 256;
/// Links kept open at most.
constexpr std::size_t MaxLinks = 1024;
/// Targets of one service whose links are opened ahead of a request.
constexpr std::size_t PreopenedLinksPerService = 8;
/// Requests given up by their call but not yet ended at their gate.
constexpr std::size_t MaxOrphans = 16384;
/// Gates that one call is offered to.
constexpr unsigned MaxGatesPerCall = 4;
/// Times that one call may be repeated after it may have run.
constexpr unsigned MaxRetries = 2;

/// Time for a link to open and be welcomed.
constexpr Duration OpenTimeout = std::chrono::milliseconds(300);
/// Age of the last proof of life at which a link with requests is pinged.
constexpr Duration PingInterval = std::chrono::milliseconds(200);
/// Ping interval of a link that is kept open without requests.
constexpr Duration IdlePingInterval = std::chrono::seconds(5);
/// Time without a pong after which a link counts as silent.
constexpr Duration PongTimeout = std::chrono::milliseconds(300);
/// Time without a pong, beyond two round trips, after which other gates go
/// first.
constexpr Duration LatePong = std::chrono::milliseconds(50);
/// Shortest time that a timer is set ahead.
constexpr Duration MinTimerStep = std::chrono::milliseconds(1);
/// Lateness of a timer that shows that the process itself did not run.
constexpr Duration LateTimer = std::chrono::milliseconds(100);
/// Refused openings in a row after which a gate counts as dead.
constexpr unsigned DeadGateRefusedOpens = 2;
/// First pause before a gate that takes no link is tried again; doubles.
constexpr Duration MinBackoff = std::chrono::milliseconds(50);
/// Longest such pause.
constexpr Duration MaxBackoff = std::chrono::seconds(5);
/// Time after which an unused link that is not kept open is closed, and an
/// unused service is forgotten.
constexpr Duration IdleTimeout = std::chrono::seconds(60);
/// Longest time that a settled request is kept from its gate.
constexpr Duration SettleDelay = std::chrono::milliseconds(50);
/// Most requests settled or inquired about by one message.
constexpr std::size_t MaxIdsSentAtOnce = 256;
/// Time after its deadline at which an orphan is forgotten.
constexpr Duration OrphanGrace = std::chrono::seconds(5);
/// Length of a call's history beyond which it is not continued in the log.
constexpr std::size_t MaxHistoryBytes = 1024;
/// Least time between two reports of the same newer version.
constexpr Duration NewerVersionInterval = std::chrono::seconds(1);

/// `Retry-After` of a call that no gate gave an earliest time for.
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);

/// Age at which a gate's reported load no longer counts.
constexpr Duration ReportLifetime = std::chrono::milliseconds(500);
/// Share of its limit up to which a target is chosen before those of farther
/// availability zones.
constexpr double SpillShare = 0.8;
/// Weight of the newest sample in smoothed values.
constexpr double SmoothingWeight = 0.2;
/// Share of failures above which a target is chosen only if no other has room:
/// more than one failure among the last few requests.
constexpr double UnhealthyFailureShare = 0.3;
/// Time without evidence after which the known share of failures halves, so
/// that a target that is avoided is tried again.
constexpr Duration FailureHalfLife = std::chrono::seconds(2);
/// Factor by which a target that always fails looks more loaded, plus one.
constexpr double FailurePenalty = 10.0;

/// Share of the retries that may always be made which is kept for requests that
/// have failed; the rest may also go to those that merely take long.
constexpr double FailureReserve = 0.5;

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_LIMITS_H
