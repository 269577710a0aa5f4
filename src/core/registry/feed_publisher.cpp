#include "core/registry/feed_publisher.h"

#include "core/registry/limits.h"

#include <utility>

namespace dandelionfall::core::registry {

namespace {

bool isConfirmed(const ConfirmedRevision &Own, TimePoint Now) {
  return Own.m_ConfirmedAt && Now < *Own.m_ConfirmedAt + ConfirmationLimit;
}

} // namespace

void FeedPublisher::onFollow(LinkId Link, const ConfirmedRevision &Own,
                             std::vector<StoreRecord> Lacking, TimePoint Now) {
  const auto Known = m_Followers.find(Link);
  if (Known != m_Followers.end()) {
    Known->second = Now;
    if (!Lacking.empty() && isConfirmed(Own, Now))
      send(Link, Own, Lacking, Now);
    return;
  }
  if (m_Draining || m_Followers.size() >= m_MaxFollowers)
    return refuse(Link);
  if (m_Followers.empty()) {
    m_SentRevision = Own.m_Revision;
    m_NextNoticeAt = Now + NoticeInterval;
  }
  m_Followers.emplace(Link, Now);
  if (isConfirmed(Own, Now))
    return send(Link, Own, Lacking, Now);
  m_NoticeOwed = true;
  addUnsent(std::move(Lacking));
}

void FeedPublisher::addUnsent(std::vector<StoreRecord> Records) {
  for (StoreRecord &Each : Records) {
    StoreRecord &Unsent = m_Unsent[Each.m_Key];
    if (Each.m_Revision > Unsent.m_Revision)
      Unsent = std::move(Each);
  }
}

void FeedPublisher::send(LinkId Link, const ConfirmedRevision &Own,
                         const std::vector<StoreRecord> &Records,
                         TimePoint Now) {
  m_Commands.emplace_back(SendControl{
      Link, RevisionNotice{Own.m_Revision, Own.m_Held, Now - *Own.m_ConfirmedAt,
                           false, Records}});
}

void FeedPublisher::refuse(LinkId Link) {
  m_Commands.emplace_back(
      SendControl{Link, RevisionNotice{0, 0, NeverCalled, true, {}}});
  m_Commands.emplace_back(CloseControlLink{Link});
}

void FeedPublisher::onLinkClosed(LinkId Link) { m_Followers.erase(Link); }

void FeedPublisher::onRevision(const ConfirmedRevision &Own,
                               std::vector<StoreRecord> Changes,
                               TimePoint Now) {
  if (m_Followers.empty()) {
    m_Unsent.clear();
    return;
  }
  addUnsent(std::move(Changes));
  if (!isConfirmed(Own, Now))
    return;
  if (m_NoticeOwed || !m_Unsent.empty() || Own.m_Revision > m_SentRevision)
    sendToAll(Own, Now);
}

void FeedPublisher::sendToAll(const ConfirmedRevision &Own, TimePoint Now) {
  m_SentRevision = Own.m_Revision;
  m_NextNoticeAt = Now + NoticeInterval;
  m_NoticeOwed = false;
  std::vector<StoreRecord> Records;
  Records.reserve(m_Unsent.size());
  for (auto &[Key, Record] : std::exchange(m_Unsent, {}))
    Records.push_back(std::move(Record));
  for (const auto &[Link, AskedAt] : m_Followers)
    send(Link, Own, Records, Now);
}

void FeedPublisher::onTick(const ConfirmedRevision &Own, TimePoint Now) {
  if (m_Followers.empty() || Now < m_NextNoticeAt)
    return;
  std::erase_if(m_Followers, [&](const auto &Each) {
    if (Now < Each.second + FollowTimeout)
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
  for (const auto &[Link, AskedAt] : std::exchange(m_Followers, {}))
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
