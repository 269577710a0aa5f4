/// \file
/// Bounds of the gate on what it keeps and for how long.
#ifndef DANDELIONFALL_CORE_GATE_LIMITS_H
#define DANDELIONFALL_CORE_GATE_LIMITS_H

#include "dandelionfall/core/time.h"

#include <chrono>
#include <cstddef>

namespace dandelionfall::core::gate {

/// Current links at once; one for each ingress of the largest fleet and some to
/// spare for those being replaced.
inline constexpr std::size_t MaxLinks = 20'000;
/// Ingress incarnations whose highest epoch is remembered.
inline constexpr std::size_t MaxKnownIngresses = 32'768;
/// Requests of one ingress that wait, run or are not yet settled.
inline constexpr std::size_t MaxEntriesPerIngress = 4096;
/// Bytes of answers kept until they are settled.
inline constexpr std::size_t MaxHeldAnswerBytes = 16U << 20U;
/// Ids remembered as fenced by an inquiry.
inline constexpr std::size_t MaxFencedIds = 32'768;
/// Ids remembered as settled or refused.
inline constexpr std::size_t MaxRetiredIds = 16'384;
/// Longest deadline taken from a dispatch.
inline constexpr Duration MaxRemaining = std::chrono::minutes(10);
/// Silence of an ingress past its last deadline after which its finished
/// requests are dropped.
inline constexpr Duration ForgetMargin = std::chrono::seconds(10);
/// Time between two searches for silent ingresses.
inline constexpr Duration SweepInterval = std::chrono::seconds(1);
/// Longest wait of a drained gate for its last answers to be settled.
inline constexpr Duration DrainLinger = std::chrono::seconds(2);
/// Time after which a request that still waits is refused when the
/// availability zone is out.
inline constexpr Duration ZoneOutGrace = std::chrono::seconds(1);
/// Longest wait of a request for its turn at a cold target; other targets are
/// a better choice beyond it.
inline constexpr Duration MaxColdWait = std::chrono::milliseconds(300);
/// Longest time that an abandoned request occupies its slot.
inline constexpr Duration MaxAbandonedHold = std::chrono::seconds(5);
/// Time that an abandoned request occupies its slot while no service time is
/// known.
inline constexpr Duration DefaultAbandonedHold = std::chrono::seconds(1);
/// Time without a request at the target after which its cold start begins anew.
inline constexpr Duration MaxIdleTime = std::chrono::seconds(10);
/// Shortest time that an abandoned request occupies its slot.
inline constexpr Duration MinAbandonedHold = std::chrono::milliseconds(10);

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_LIMITS_H
