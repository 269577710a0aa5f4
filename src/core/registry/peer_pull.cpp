#include "dandelionfall/core/peer_pull.h"

#include "core/registry/limits.h"

#include <algorithm>

namespace dandelionfall::core {

using namespace registry;

void PeerPull::start(TimePoint Now) {
  if (!m_Seeds.empty())
    m_NextSeedAt = Now + SeedPullDelay;
}

void PeerPull::onPeerRevision(Revision Seen, const std::string &Address,
                              Revision OwnRevision, TimePoint Now) {
  m_Missing.add(Seen, OwnRevision, Now);
  if (Seen == m_Missing.newest())
    m_PeerAddress = Address;
}

void PeerPull::setStoreAnswers(bool Answers) { m_StoreAnswers = Answers; }

std::optional<TimePoint> PeerPull::pullAt() const {
  const std::optional<TimePoint> SeenAt = m_Missing.oldestSeenAt();
  if (!SeenAt)
    return std::nullopt;
  const TimePoint Due =
      *SeenAt + (m_StoreAnswers ? PeerPullDelayIfAnswering : PeerPullDelay);
  return m_PullNotBefore ? std::max(Due, *m_PullNotBefore) : Due;
}

std::optional<std::string> PeerPull::takeDuePeer(Revision OwnRevision,
                                                 TimePoint Now) {
  m_Missing.removeUpTo(OwnRevision);
  const std::optional<TimePoint> Due = pullAt();
  if (!Due || Now < *Due)
    return takeDueSeed(OwnRevision, Now);
  if (m_PullSentAt && Now < *m_PullSentAt + PeerPullTimeout) {
    m_PullNotBefore = *m_PullSentAt + PeerPullTimeout;
    return std::nullopt;
  }
  m_Missing.clear();
  m_PullNotBefore.reset();
  m_PullSentAt = Now;
  return m_PeerAddress;
}

std::optional<std::string> PeerPull::takeDueSeed(Revision OwnRevision,
                                                 TimePoint Now) {
  if (!m_NextSeedAt || Now < *m_NextSeedAt)
    return std::nullopt;
  m_NextSeedAt.reset();
  if (OwnRevision > 0)
    return std::nullopt;
  m_NextSeedAt = Now + SeedPullInterval;
  return m_Seeds[m_NextSeed++ % m_Seeds.size()];
}

std::optional<TimePoint> PeerPull::nextWakeUp() const {
  const std::optional<TimePoint> PullAt = pullAt();
  if (PullAt && m_NextSeedAt)
    return std::min(*PullAt, *m_NextSeedAt);
  return PullAt ? PullAt : m_NextSeedAt;
}

} // namespace dandelionfall::core
