#include "core/registry/record_requests.h"

#include "core/registry/limits.h"

#include <algorithm>

namespace dandelionfall::core::registry {

void RecordRequests::onClaim(LinkId Link, const RecordClaim &Claim) {
  m_Claims.insert_or_assign(Link, Claim);
}

void RecordRequests::onReply(LinkId Link) {
  if (m_Open == Link)
    m_Open.reset();
}

void RecordRequests::onLinkClosed(LinkId Link) {
  onReply(Link);
  m_Claims.erase(Link);
  m_NextAt.erase(Link);
}

std::optional<LinkId> RecordRequests::takeDue(
    const std::function<bool(const RecordClaim &)> &IsMissing, TimePoint Now) {
  std::erase_if(m_Claims,
                [&](const auto &Each) { return !IsMissing(Each.second); });
  if (m_Open && Now < m_OpenUntil)
    return std::nullopt;
  m_Open.reset();
  const auto Due =
      std::find_if(m_Claims.begin(), m_Claims.end(), [&](const auto &Each) {
        return askableAt(Each.first) <= Now;
      });
  if (Due == m_Claims.end())
    return std::nullopt;
  m_Open = Due->first;
  m_OpenUntil = Now + PeerPullTimeout;
  m_NextAt.insert_or_assign(*m_Open, m_OpenUntil);
  m_Claims.erase(Due);
  return m_Open;
}

std::optional<TimePoint> RecordRequests::nextWakeUp() const {
  std::optional<TimePoint> Next;
  for (const auto &[Link, Claim] : m_Claims) {
    const TimePoint At = askableAt(Link);
    Next = Next ? std::min(*Next, At) : At;
  }
  return Next && m_Open ? std::max(*Next, m_OpenUntil) : Next;
}

TimePoint RecordRequests::askableAt(LinkId Link) const {
  const auto Found = m_NextAt.find(Link);
  return Found == m_NextAt.end() ? TimePoint{} : Found->second;
}

} // namespace dandelionfall::core::registry
