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
  if (Seen <= OwnRevision || Seen < m_SeenRevision)
    return;
  m_SeenRevision = Seen;
  m_PeerAddress = Address;
  if (!m_PullAt)
    m_PullAt = Now + PeerPullDelay;
}

std::optional<std::string> PeerPull::takeDuePeer(Revision OwnRevision,
                                                 TimePoint Now) {
  if (!m_PullAt || Now < *m_PullAt)
    return takeDueSeed(OwnRevision, Now);
  m_PullAt.reset();
  if (m_SeenRevision <= OwnRevision)
    return std::nullopt;
  if (m_PullSentAt && !isOverdue(Now)) {
    m_PullAt = *m_PullSentAt + PeerPullTimeout;
    return std::nullopt;
  }
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
  if (m_PullAt && m_NextSeedAt)
    return std::min(*m_PullAt, *m_NextSeedAt);
  return m_PullAt ? m_PullAt : m_NextSeedAt;
}

bool PeerPull::isOverdue(TimePoint Now) const {
  return m_PullSentAt && Now >= *m_PullSentAt + PeerPullTimeout;
}

} // namespace dandelionfall::core
