#include "core/registry/feed_publisher.h"

#include "core/registry/limits.h"

#include <utility>

namespace dandelionfall::core::registry {

namespace {

/// Patches that wait for a confirmation of the store.
constexpr std::size_t MaxUnsentPatches = 8;

bool isConfirmed(const ConfirmedRevision &Own, TimePoint Now) {
  return Own.m_ConfirmedAt && Now < *Own.m_ConfirmedAt + ConfirmationLimit;
}

} // namespace

void FeedPublisher::onFollow(LinkId Link, const FollowRevisions &Request,
                             const ConfirmedRevision &Own,
                             const RecordChanges &Lacking, TimePoint Now) {
  noteHistory(Own);
  const auto Known = m_Followers.find(Link);
  const bool IsNew = Known == m_Followers.end();
  if (IsNew && (m_Draining || m_Followers.size() >= m_MaxFollowers))
    return refuse(Link);
  if (m_Followers.empty()) {
    m_SentRevision = Own.m_Revision;
    m_SentHeld = Own.m_Held;
    m_NextNoticeAt = Now + NoticeInterval;
  }
  // Without a confirmation it asks again until there is one.
  const bool IsSent = isConfirmed(Own, Now);
  Follower &Asking = m_Followers[Link];
  Asking.m_AskedAt = Now;
  Asking.m_WantsPatches = Request.m_WantsPatches;
  Asking.m_ConfirmsPatches = Request.m_ReceivedPatches.has_value();
  Asking.m_ReceivedPatches = Request.m_ReceivedPatches.value_or(0);
  if (!IsSent) {
    m_NoticeOwed = true;
    return;
  }
  Asking.m_IsComplete = Asking.m_IsComplete || Lacking.m_IsComplete;
  if (IsNew || !Lacking.m_Records.empty() || !Lacking.m_Patches.empty())
    send(Link, Own, Lacking, Now);
}

void FeedPublisher::send(LinkId Link, const ConfirmedRevision &Own,
                         RecordChanges Changes, TimePoint Now) {
  Follower &Receiver = m_Followers.at(Link);
  Changes.m_IsComplete = Receiver.m_IsComplete;
  // Otherwise the patches of a quick succession queue up on the link, each for
  // a value that the next one replaces.
  const bool IsPending = Receiver.m_ConfirmsPatches &&
                         Receiver.m_ReceivedPatches < Receiver.m_SentPatches;
  if (!Receiver.m_WantsPatches || IsPending)
    Changes.m_Patches.clear();
  Receiver.m_SentPatches += Changes.m_Patches.empty() ? 0 : 1;
  RevisionNotice Notice{Own.m_Revision,           Own.m_Held,
                        Now - *Own.m_ConfirmedAt, false,
                        std::move(Changes),       Own.m_Retained};
  Notice.m_Probe = Receiver.m_Probe;
  if (Receiver.m_Probe && Own.m_ProvedAt)
    Notice.m_ProvedAgo = Now - *Own.m_ProvedAt;
  m_Commands.emplace_back(SendControl{Link, std::move(Notice)});
}

void FeedPublisher::refuse(LinkId Link) {
  m_Commands.emplace_back(
      SendControl{Link, RevisionNotice{0, 0, NeverCalled, true, {}, 0}});
  m_Commands.emplace_back(CloseControlLink{Link});
}

// What was sent of another history leaves open what a follower lacks.
void FeedPublisher::noteHistory(const ConfirmedRevision &Own) {
  if (std::exchange(m_History, historyOf(Own.m_Held)) == historyOf(Own.m_Held))
    return;
  for (auto &[Link, Each] : m_Followers)
    Each.m_IsComplete = false;
}

void FeedPublisher::onProbe(LinkId Link, const FreshnessProbe &Probe) {
  const auto Found = m_Followers.find(Link);
  if (Found != m_Followers.end())
    Found->second.m_Probe = Probe.m_Number;
}

void FeedPublisher::onLinkClosed(LinkId Link) { m_Followers.erase(Link); }

void FeedPublisher::onRevision(const ConfirmedRevision &Own,
                               RecordChanges Changes, TimePoint Now) {
  noteHistory(Own);
  m_Large = std::move(Changes.m_Large);
  if (m_Followers.empty()) {
    m_UnsentRecords.clear();
    m_UnsentPatches.clear();
    return;
  }
  for (StoreRecord &Each : Changes.m_Records) {
    StoreRecord &Unsent = m_UnsentRecords[Each.m_Key];
    if (Each.m_Revision > Unsent.m_Revision)
      Unsent = std::move(Each);
  }
  for (RecordPatch &Each : Changes.m_Patches)
    addUnsent(std::move(Each));
  // Followers read what they lack themselves.
  if (m_UnsentPatches.size() > MaxUnsentPatches)
    m_UnsentPatches.clear();
  if (!isConfirmed(Own, Now))
    return;
  if (m_NoticeOwed || !m_UnsentRecords.empty() || !m_UnsentPatches.empty() ||
      Own.m_Revision > m_SentRevision || Own.m_Held > m_SentHeld)
    sendToAll(Own, Now);
}

// Of several patches of a record most are for values that the last one
// replaces. Followers ask for one from what they hold.
void FeedPublisher::addUnsent(RecordPatch Patch) {
  const auto Dropped =
      std::erase_if(m_UnsentPatches, [&](const RecordPatch &Each) {
        return Each.m_Key == Patch.m_Key;
      });
  if (Dropped == 0)
    m_UnsentPatches.push_back(std::move(Patch));
}

void FeedPublisher::sendToAll(const ConfirmedRevision &Own, TimePoint Now) {
  m_SentRevision = Own.m_Revision;
  m_SentHeld = Own.m_Held;
  m_NextNoticeAt = Now + NoticeInterval;
  m_NoticeOwed = false;
  RecordChanges Changes;
  Changes.m_Large = m_Large;
  Changes.m_Patches = std::exchange(m_UnsentPatches, {});
  for (auto &[Key, Record] : std::exchange(m_UnsentRecords, {}))
    Changes.m_Records.push_back(std::move(Record));
  for (const auto &[Link, Each] : m_Followers)
    send(Link, Own, Changes, Now);
}

void FeedPublisher::onTick(const ConfirmedRevision &Own, TimePoint Now) {
  if (m_Followers.empty() || Now < m_NextNoticeAt)
    return;
  std::erase_if(m_Followers, [&](const auto &Each) {
    if (Now < Each.second.m_AskedAt + FollowTimeout)
      return false;
    m_Commands.emplace_back(CloseControlLink{Each.first});
    return true;
  });
  // Without a confirmation the followers receive nothing and rely on other
  // nodes.
  if (isConfirmed(Own, Now))
    return sendToAll(Own, Now);
  m_NextNoticeAt = Now + NoticeInterval;
  m_NoticeOwed = true;
}

void FeedPublisher::startDrain() {
  m_Draining = true;
  for (const auto &[Link, Each] : std::exchange(m_Followers, {}))
    refuse(Link);
}

std::optional<TimePoint> FeedPublisher::nextWakeUp() const {
  if (m_Followers.empty())
    return std::nullopt;
  return m_NextNoticeAt;
}

std::vector<FeedCommand> FeedPublisher::takeCommands() {
  return std::exchange(m_Commands, {});
}

} // namespace dandelionfall::core::registry
