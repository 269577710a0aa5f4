/// \file
/// Times and bounds of reading a shared store.
#ifndef DANDELIONFALL_CORE_REGISTRY_LIMITS_H
#define DANDELIONFALL_CORE_REGISTRY_LIMITS_H

#include "dandelionfall/core/time.h"

#include <cstddef>

namespace dandelionfall::core::registry {

/// Longest wait of one watch. A watch on a connection that has gone silent is
/// noticed one timeout later, within the two seconds in which a change must be
/// in force.
constexpr Duration MaxWatchWait = std::chrono::milliseconds(1500);
/// Time for the answer to a call, beyond its wait.
constexpr Duration CallTimeout = std::chrono::milliseconds(750);
/// Least time between two watches: changes that come in quick succession are
/// read together. A fifth of the two seconds in which one must be in force.
constexpr Duration MinWatchInterval = std::chrono::milliseconds(400);
/// Pause after the first failed call; doubles with each further one.
constexpr Duration FirstRetryDelay = std::chrono::milliseconds(50);
/// Longest pause between two calls. With the call timeout it bounds how late
/// the store's return is noticed.
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(800);
/// Failed calls in a row after which the store counts as unreachable.
constexpr unsigned UnreachableAfterFailures = 2;
/// Time after the store's return in which entries that lapsed meanwhile are
/// written again by the targets that live.
constexpr Duration LapseGrace = std::chrono::seconds(2);

/// Time in which the answer of a target that stops at its deadline comes back;
/// a request that is broken off sooner looks like one that was cut.
constexpr Duration AnswerGrace = std::chrono::milliseconds(100);
/// Removed records that peers can be told of; beyond them a peer that is far
/// behind gets all records.
constexpr std::size_t MaxRemovalHistory = 4096;
/// Time that a newer revision seen at a peer may take to come from the store
/// itself, before the peer is asked for it.
constexpr Duration PeerPullDelay = std::chrono::milliseconds(700);
/// Time that the store has to answer a started node before it asks a seed: many
/// times what an answer takes, and little beside a caller's patience.
constexpr Duration SeedPullDelay = std::chrono::milliseconds(300);
/// Time until the next seed is asked; one that is gone may not even refuse.
constexpr Duration SeedPullInterval = std::chrono::milliseconds(400);
/// Time for a peer's answer.
constexpr Duration PeerPullTimeout = std::chrono::milliseconds(1000);

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_CORE_REGISTRY_LIMITS_H
