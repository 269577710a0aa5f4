/// \file
/// Time constants and limits for reading a shared store.
#ifndef DANDELIONFALL_CORE_REGISTRY_LIMITS_H
#define DANDELIONFALL_CORE_REGISTRY_LIMITS_H

#include "dandelionfall/core/time.h"

#include <cstddef>

namespace dandelionfall::core::registry {

/// Longest wait of one watch. A watch on a silently broken connection is
/// detected one call timeout later; a change must be applied within two
/// seconds.
constexpr Duration MaxWatchWait = std::chrono::milliseconds(1500);
/// Time limit for the reply to a call, in addition to its wait.
constexpr Duration CallTimeout = std::chrono::milliseconds(750);
/// Minimum time between a change and the next watch, so that changes in quick
/// succession are read together. A fifth of the two seconds within which a
/// change must be applied.
constexpr Duration MinWatchInterval = std::chrono::milliseconds(400);
/// Delay after the first failed call; doubles with each further failure.
constexpr Duration FirstRetryDelay = std::chrono::milliseconds(50);
/// Maximum delay between two calls. Together with the call timeout it limits
/// how late the recovery of the store is detected.
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(800);
/// Consecutive failed calls after which the store counts as unreachable.
constexpr unsigned UnreachableAfterFailures = 2;
/// Time after the recovery of the store within which running targets write
/// their lapsed entries again.
constexpr Duration LapseGrace = std::chrono::seconds(2);

/// Time for the response of a target that stops at the deadline to arrive. A
/// request aborted sooner is indistinguishable from a broken connection.
constexpr Duration AnswerGrace = std::chrono::milliseconds(100);
/// Maximum number of removals stored for peers. A peer that lacks older
/// removals receives all records.
constexpr std::size_t MaxRemovalHistory = 4096;
/// Time for a newer revision seen at a peer to arrive from the store, before it
/// is pulled from the peer.
constexpr Duration PeerPullDelay = std::chrono::milliseconds(700);
/// Time for the store to answer a node that has just started, before the node
/// pulls from a seed. Many times a normal response time, and short compared
/// with the time for which callers wait.
constexpr Duration SeedPullDelay = std::chrono::milliseconds(300);
/// Time until the next seed is tried; a seed that no longer exists may not even
/// refuse the connection.
constexpr Duration SeedPullInterval = std::chrono::milliseconds(400);
/// Time limit for the reply of a peer.
constexpr Duration PeerPullTimeout = std::chrono::milliseconds(1000);

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_CORE_REGISTRY_LIMITS_H
