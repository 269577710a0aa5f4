/// \file
/// Tells other nodes which revision of a shared store is current.
#ifndef DANDELIONFALL_SRC_CORE_REGISTRY_FEED_PUBLISHER_H
#define DANDELIONFALL_SRC_CORE_REGISTRY_FEED_PUBLISHER_H

#include "core/registry/revision_feed.h"
#include "dandelionfall/core/control_message.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dandelionfall::core::registry {

/// Sends revision notices, with what changed, to a bounded number of followers:
/// at once when the revision rises or a record changes, and at regular
/// intervals while the store confirms the revision. Not thread-safe.
class FeedPublisher {
public:
  /// \param MaxFollowers number of followers that the machine can carry.
  explicit FeedPublisher(std::size_t MaxFollowers)
      : m_MaxFollowers(MaxFollowers) {}

  /// Accepts or refuses a follower, or renews an accepted one.
  /// \param Link the link on which the follower asked.
  /// \param Request what it asked for.
  /// \param Own the node's own revision.
  /// \param Lacking what the follower lacks.
  void onFollow(LinkId Link, const FollowRevisions &Request,
                const ConfirmedRevision &Own, const RecordChanges &Lacking,
                TimePoint Now);
  /// Handles a probe; the next notices repeat it and tell the age of the proof.
  void onProbe(LinkId Link, const FreshnessProbe &Probe);
  /// Removes the follower on a closed link, if there is one.
  void onLinkClosed(LinkId Link);
  /// Sends the revision to all followers if it is newer than the last one sent,
  /// or confirmed again, or if records changed.
  /// \param Changes what changed since the last call.
  void onRevision(const ConfirmedRevision &Own, RecordChanges Changes,
                  TimePoint Now);
  /// Sends due notices and drops followers that no longer ask.
  void onTick(const ConfirmedRevision &Own, TimePoint Now);
  /// Refuses all followers, now and later.
  void startDrain();
  /// \returns when `onTick` must be called next, if at all.
  std::optional<TimePoint> nextWakeUp() const;
  /// \returns the number of followers.
  std::size_t followers() const { return m_Followers.size(); }
  /// \returns the commands collected since the last call.
  std::vector<FeedCommand> takeCommands();

private:
  struct Follower {
    TimePoint m_AskedAt;
    /// Whether it was sent all small records that it lacked when it asked.
    bool m_IsComplete = false;
    bool m_WantsPatches = true;
    /// Whether it states which patches it has received.
    bool m_ConfirmsPatches = false;
    /// Notices with patches that it was sent, and that it has received.
    std::uint64_t m_SentPatches = 0;
    std::uint64_t m_ReceivedPatches = 0;
    /// Number of its latest probe.
    std::optional<std::int64_t> m_Probe;
  };

  void send(LinkId Link, const ConfirmedRevision &Own, RecordChanges Changes,
            TimePoint Now);
  void addUnsent(RecordPatch Patch);
  void refuse(LinkId Link);
  void noteHistory(const ConfirmedRevision &Own);
  void sendToAll(const ConfirmedRevision &Own, TimePoint Now);

  std::size_t m_MaxFollowers;
  std::map<LinkId, Follower> m_Followers;
  /// History of the store that was last announced to the followers.
  HistoryNumber m_History = 0;
  Revision m_SentRevision = 0;
  Revision m_SentHeld = 0;
  /// Large records of the last changes.
  std::map<std::string, Revision, std::less<>> m_Large;
  /// Records that wait for a notice until the store confirms the revision, by
  /// key.
  std::map<std::string, StoreRecord, std::less<>> m_UnsentRecords;
  std::vector<RecordPatch> m_UnsentPatches;
  TimePoint m_NextNoticeAt;
  /// Whether followers wait for a notice until the store confirms the revision.
  bool m_NoticeOwed = false;
  bool m_Draining = false;
  std::vector<FeedCommand> m_Commands;
};

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_SRC_CORE_REGISTRY_FEED_PUBLISHER_H
