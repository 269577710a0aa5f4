#include "dandelionfall/core/peer_pull.h"

#include "core/registry/limits.h"

#include <algorithm>

namespace dandelionfall::core {

using namespace registry;

void PeerPull::start(TimePoint Now) {
  if (!m_Seeds.empty())
    m_SeedAt = Now + SeedPullDelay;
}

void PeerPull::onSighting(Revision Seen, const std::string &Address,
                          Revision Known, TimePoint Now) {
  if (Seen <= Known || Seen < m_Seen)
    return;
  m_Seen = Seen;
  m_Address = Address;
  if (!m_AskAt)
    m_AskAt = Now + PeerPullDelay;
}

std::optional<std::string> PeerPull::takeDue(Revision Known, TimePoint Now) {
  if (!m_AskAt || Now < *m_AskAt)
    return takeSeed(Known, Now);
  m_AskAt.reset();
  if (m_Seen <= Known)
    return std::nullopt;
  if (m_AskedAt && !isOverdue(Now)) {
    m_AskAt = *m_AskedAt + PeerPullTimeout;
    return std::nullopt;
  }
  m_AskedAt = Now;
  return m_Address;
}

std::optional<std::string> PeerPull::takeSeed(Revision Known, TimePoint Now) {
  if (!m_SeedAt || Now < *m_SeedAt)
    return std::nullopt;
  m_SeedAt.reset();
  if (Known > 0)
    return std::nullopt;
  m_SeedAt = Now + SeedPullInterval;
  return m_Seeds[m_NextSeed++ % m_Seeds.size()];
}

std::optional<TimePoint> PeerPull::nextWakeUp() const {
  if (m_AskAt && m_SeedAt)
    return std::min(*m_AskAt, *m_SeedAt);
  return m_AskAt ? m_AskAt : m_SeedAt;
}

bool PeerPull::isOverdue(TimePoint Now) const {
  return m_AskedAt && Now >= *m_AskedAt + PeerPullTimeout;
}

} // namespace dandelionfall::core
