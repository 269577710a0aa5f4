#include "dandelionfall/core/peer_pull.h"

#include "core/registry/limits.h"

namespace dandelionfall::core {

using namespace registry;

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
    return std::nullopt;
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

bool PeerPull::isOverdue(TimePoint Now) const {
  return m_AskedAt && Now >= *m_AskedAt + PeerPullTimeout;
}

} // namespace dandelionfall::core
