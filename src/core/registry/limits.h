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
/// Longest wait of one watch of a node that others follow; each reply confirms
/// their revision.
constexpr Duration PublisherWatchWait = std::chrono::milliseconds(800);
/// Longest wait of one watch of a follower. Feeds of other nodes tell what it
/// misses.
constexpr Duration FollowerWatchWait = std::chrono::seconds(8);
/// Time limit for the first byte of the reply to a call, in addition to its
/// wait.
constexpr Duration CallTimeout = std::chrono::milliseconds(750);
/// Longest wait of one watch of a key prefix. It only speeds up what the watch
/// of all records delivers.
constexpr Duration PrefixWatchWait = std::chrono::seconds(8);
/// Minimum time between a change and the next watch, so that changes in quick
/// succession are read together. A fifth of the two seconds within which a
/// change must be applied.
constexpr Duration MinWatchInterval = std::chrono::milliseconds(400);
/// The same for a watch of a key prefix: a target that replaces another one at
/// its address is listed together with the removal of the other.
constexpr Duration PrefixWatchInterval = MinWatchInterval;
/// The same for a follower. Most of its calls are due to changes in quick
/// succession.
constexpr Duration FollowerWatchInterval = std::chrono::milliseconds(600);
/// Time for the reply to a watch once the store has reached a newer revision:
/// to transfer and parse a large record on a small machine. Later a new
/// linearizable call reads it.
constexpr Duration CatchUpDelay = std::chrono::milliseconds(400);
/// The same for a node that others send all changes: to transfer a patch of the
/// maximum size to each follower of a node.
constexpr Duration FedCatchUpDelay = std::chrono::milliseconds(800);
/// Delay after the first failed call; doubles with each further failure.
constexpr Duration FirstRetryDelay = std::chrono::milliseconds(50);
/// Maximum delay between two calls. Together with the call timeout it limits
/// how late the recovery of the store is detected.
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(800);
/// Time after which no serializable call sees a history of the store that
/// another one has replaced.
constexpr Duration MaxStaleness = std::chrono::seconds(10);
/// Failures of calls, or dropped replies, in a row that are logged.
constexpr unsigned MaxLoggedFailures = 4;
/// Time for a store that has returned to load its records; until then a listing
/// without a record that must be there is not taken.
constexpr Duration PartialListingLimit = std::chrono::seconds(2);
/// Time over which the nodes that learn of a later history of the store from
/// others list its records.
constexpr Duration HistoryListingSpread = std::chrono::milliseconds(400);
/// Consecutive failed calls after which the store counts as unreachable.
constexpr unsigned UnreachableAfterFailures = 2;
/// Time after the recovery of the store within which running targets write
/// their lapsed entries again.
constexpr Duration LapseGrace = std::chrono::seconds(2);
/// Time within which a store that began another history has again what it lost:
/// until then its newest configuration can be older than the one in force.
constexpr Duration RewriteTime = LapseGrace;
/// Time for which a target that has left is remembered. A copy from which a
/// store is restored is seconds old.
constexpr Duration DepartureMemory = std::chrono::minutes(1);

/// Time for the response of a target that stops at the deadline to arrive. A
/// request aborted sooner is indistinguishable from a broken connection.
constexpr Duration AnswerGrace = std::chrono::milliseconds(100);
/// Maximum number of removals stored for peers. A peer that lacks older
/// removals receives all records.
constexpr std::size_t MaxRemovalHistory = 4096;
/// Time for a newer revision seen at a peer to arrive from the store, before it
/// is pulled from the peer.
constexpr Duration PeerPullDelay = std::chrono::milliseconds(700);
/// The same while the store answers: the call that catches up must have failed.
constexpr Duration PeerPullDelayIfAnswering =
    FollowerWatchInterval + CatchUpDelay + CallTimeout;
/// Time for the store to answer a node that has just started, before the node
/// pulls from a seed. Many times a normal response time, and short compared
/// with the time for which callers wait.
constexpr Duration SeedPullDelay = std::chrono::milliseconds(300);
/// Time until the next seed is tried; a seed that no longer exists may not even
/// refuse the connection.
constexpr Duration SeedPullInterval = std::chrono::milliseconds(400);
/// Nodes that a node asks for what they have in force when it starts.
constexpr std::size_t InquiredNodes = 2;
/// Time for them to reply. Short compared with the time for which callers wait.
constexpr Duration StartInquiryTime = std::chrono::milliseconds(300);
/// Time limit for the reply of a peer.
constexpr Duration PeerPullTimeout = std::chrono::milliseconds(1000);

/// Size of a value up to which feeds carry it. Above the size of an entry of a
/// target, far below that of a configuration.
constexpr std::size_t MaxSmallRecordBytes = 2048;
/// Limit of the size of a value, patched or not; above what stores accept.
constexpr std::size_t MaxPatchedBytes = 4U << 20U;
/// Maximum size of a patch, compressed. A change that takes more is read from
/// the store by each node.
constexpr std::size_t MaxPatchBytes = 65'536;
/// Time for the feed that sends patches to bring a record that another feed has
/// announced, before that one is asked for it. Followed nodes can follow each
/// other, directly or not.
constexpr Duration PatchDelay = std::chrono::milliseconds(150);
/// Values of a large record kept as bases of patches: followed nodes read
/// different versions of a quick succession.
constexpr std::size_t StoredLargeValues = 4;
/// Interval between two notices of a feed without a newer revision.
constexpr Duration NoticeInterval = std::chrono::milliseconds(250);
/// Time without a notice after which a feed counts as lost.
constexpr Duration FeedSilenceLimit = std::chrono::milliseconds(700);
/// Interval between the probes that bound the age of a feed's notices.
constexpr Duration ProbeInterval = std::chrono::milliseconds(500);
/// Delay of a timer from which a node was occupied or stood still.
constexpr Duration MaxTimerDelay = std::chrono::milliseconds(50);
/// Maximum silence of a feed that a node attributes to its own pauses.
constexpr Duration MaxExcusedSilence = std::chrono::seconds(1);
/// Age of the store's last confirmation from which a revision is not relied on.
/// The publisher's calls are at most a watch and an interval apart, and its
/// notices one more interval; the rest is for a slow store or node.
constexpr Duration ConfirmationLimit = PublisherWatchWait + MinWatchInterval +
                                       NoticeInterval +
                                       std::chrono::milliseconds(200);
/// Time for which a node whose feed was lost is not followed again.
constexpr Duration LostFeedDelay = std::chrono::seconds(4);
/// Time for which a node that refused a follower is not asked again.
constexpr Duration RefusedFeedDelay = std::chrono::minutes(5);
/// Delay before a lost feed is replaced; doubles with each further loss until a
/// feed is reliable.
constexpr Duration FirstFeedDelay = std::chrono::milliseconds(50);
constexpr Duration MaxFeedDelay = std::chrono::milliseconds(3200);
/// Time from the start of a node to its first reliable feed, for which its own
/// listing counts as current.
constexpr Duration StartTime = std::chrono::milliseconds(1200);
/// Interval at which a follower repeats its request to a publisher.
constexpr Duration FollowInterval = std::chrono::seconds(4);
/// Time without a repeated request after which a publisher drops a follower.
constexpr Duration FollowTimeout = std::chrono::seconds(10);
/// Interval at which a follower looks for a feed that it prefers to its own.
constexpr Duration FeedReviewInterval = std::chrono::seconds(12);
/// Feeds that a node follows at the same time, from different hosts.
constexpr std::size_t FollowedFeeds = 2;

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_CORE_REGISTRY_LIMITS_H
