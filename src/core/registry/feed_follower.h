/// \file
/// Learns from other nodes which revision of a shared store is current.
#ifndef DANDELIONFALL_SRC_CORE_REGISTRY_FEED_FOLLOWER_H
#define DANDELIONFALL_SRC_CORE_REGISTRY_FEED_FOLLOWER_H

#include "core/registry/feed_candidates.h"
#include "core/registry/freshness_probes.h"
#include "core/registry/limits.h"
#include "core/registry/revision_feed.h"
#include "dandelionfall/core/revision_proof.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dandelionfall::core::registry {

/// Follows the revision feeds of `FollowedFeeds` other nodes, one of them in
/// another availability zone where there is one, and replaces a feed that is
/// silent, refused, or no longer confirmed by the store. Not thread-safe.
class FeedFollower {
public:
  /// \param OwnAddress link address of this node.
  /// \param OwnZone availability zone of this node.
  /// \param SendsProbes whether followed nodes are asked to prove how current
  /// their revision is.
  FeedFollower(const std::string &OwnAddress, std::string OwnZone,
               bool SendsProbes = false);

  /// Replaces the nodes that can be followed.
  void onNodes(std::vector<NodeAddress> Nodes, TimePoint Now);
  /// Handles the opening of a link that this class requested.
  /// \returns whether the link belongs to a feed.
  bool onLinkOpened(LinkId Link, TimePoint Now);
  /// Handles a link that failed or was closed by the other node.
  void onLinkClosed(LinkId Link, TimePoint Now);
  /// Handles a notice.
  /// \returns the address of the node that sent it; empty if the link belongs
  /// to no feed.
  std::string onNotice(LinkId Link, const RevisionNotice &Notice,
                       TimePoint Now);
  /// \returns what the last notice on a link proves, if anything.
  const std::optional<RevisionProof> &proofOf(LinkId Link) const;
  /// Handles a notice of a history of the store that this node no longer
  /// follows: its sender is there, and confirms nothing.
  void onOutdatedNotice(LinkId Link, const RevisionNotice &Notice,
                        TimePoint Now);
  /// Asks a followed node for what this node lacks, at most once in a notice
  /// interval: a patch did not fit.
  /// \param Bases values from which patches fit.
  /// \returns false if the node was asked too short a time ago.
  bool askAgain(LinkId Link, const LargeRevisions &Bases, TimePoint Now);
  /// Does the same, and lets that feed send patches from now on: it has a
  /// record that the one which sends them does not have yet.
  bool takePatchesFrom(LinkId Link, const LargeRevisions &Bases, TimePoint Now);
  /// Confirms patches, so that the followed node sends the next ones.
  void confirmPatches(LinkId Link, const LargeRevisions &Bases);
  /// Sets the revision up to which this node holds all records, and the version
  /// of the configuration that it retains; 0 if there is none. Followed nodes
  /// are notified at once of another history of the store.
  void setHeld(Revision Held, Version Retained);
  /// Does not count a time for which this node was occupied or stood still as
  /// silence of the feeds.
  /// \param Delay lower bound of that time.
  void onDelay(Duration Delay, TimePoint Now);
  /// Opens missing feeds and closes those that can't be relied on.
  void onTick(TimePoint Now);
  /// Closes all feeds and opens no more.
  void stop();
  /// \returns when `onTick` must be called next, if at all.
  std::optional<TimePoint> nextWakeUp() const;
  /// \returns the number of feeds that can be relied on.
  std::size_t reliableFeeds(TimePoint Now) const;
  /// \returns whether a feed that can be relied on sends all small records.
  bool hasCompleteFeed(TimePoint Now) const;
  /// \returns the highest revision of the feeds that can be relied on, and the
  /// latest confirmation of any of them.
  ConfirmedRevision newest(TimePoint Now) const;
  /// \returns whether another node of the availability zone ranks before this
  /// one.
  bool hasBetterNode() const { return !m_Candidates.inZone().empty(); }
  /// \returns the commands collected since the last call.
  std::vector<FeedCommand> takeCommands();

private:
  struct Feed {
    NodeAddress m_Node;
    LinkId m_Link = 0;
    bool m_Opened = false;
    /// When the last notice arrived; at first, when the feed was requested.
    TimePoint m_HeardAt;
    /// Time since the last notice for which this node was not listening, at
    /// least; at most `MaxExcusedSilence`.
    Duration m_NotListened{0};
    /// End of the time for a notice after this node was not listening.
    std::optional<TimePoint> m_GraceUntil;
    /// When the store confirmed the revision of the last notice; empty before
    /// the first notice.
    std::optional<TimePoint> m_ConfirmedAt;
    Revision m_Revision = 0;
    /// Whether the last notice was complete.
    bool m_IsComplete = false;
    /// Notices with patches that have arrived.
    std::uint64_t m_ReceivedPatches = 0;
    /// Whether the node was last asked to send patches.
    bool m_WantsPatches = true;
    /// When the node may be asked again before its next regular turn.
    TimePoint m_NextAskAt;
    TimePoint m_NextFollowAt;
    FreshnessProbes m_Probes;
    /// What its last notice proved.
    std::optional<RevisionProof> m_Proof;
  };
  using Slot = std::optional<Feed>;

  Slot *findSlot(LinkId Link);
  static TimePoint reliableUntil(const Feed &Followed);
  bool wantsPatches(std::size_t Index, TimePoint Now) const;
  /// Asks for patches where they are wanted now.
  void askForPatches(TimePoint Now);
  void sendFollow(Feed &Followed, bool WantsPatches,
                  const LargeRevisions &Bases = {});
  void sendDueProbe(Feed &Followed, TimePoint Now);
  const NodeAddress *choose(std::size_t Index) const;
  void open(Slot &Free, const NodeAddress &Node, TimePoint Now);
  void close(Slot &Open);
  void drop(Slot &Open, const char *Cause, Duration AvoidedFor, TimePoint Now);
  bool isInFailingZone(const NodeAddress &Node) const;
  void review(TimePoint Now);
  void report(EventId Id, const Feed &Followed, const std::string &Detail);

  FeedCandidates m_Candidates;
  std::array<Slot, FollowedFeeds> m_Slots;
  /// Index of the feed that sends patches while it is complete. At first it
  /// differs between nodes, so that they share out the load.
  std::size_t m_PatchFeed;
  /// Nodes that are not followed until a time.
  std::map<NodeAddress, TimePoint> m_AvoidedUntil;
  /// When the next feed may be opened.
  TimePoint m_NextOpenAt;
  /// Feeds lost since one was last reliable.
  unsigned m_Losses = 0;
  std::optional<TimePoint> m_NextReviewAt;
  LinkId m_LastLink = 0;
  Revision m_Held = 0;
  Version m_Retained = 0;
  bool m_Stopped = false;
  bool m_SendsProbes = false;
  std::vector<FeedCommand> m_Commands;
};

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_SRC_CORE_REGISTRY_FEED_FOLLOWER_H
