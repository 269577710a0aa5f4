#include "core/registry/start_inquiry.h"

#include "core/registry/limits.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core::registry {

namespace {

/// Links of inquiries are numbered from here; those of feeds from 1.
constexpr LinkId FirstInquiryLink = LinkId{1} << 61U;

} // namespace

void StartInquiry::start(const std::vector<NodeAddress> &Nodes, TimePoint Now) {
  if (m_EndsAt)
    return;
  m_EndsAt = Now + StartInquiryTime;
  for (const NodeAddress &Each : Nodes) {
    if (Each.m_Address != m_OwnAddress)
      m_Candidates.push_back(Each.m_Address);
  }
  std::shuffle(m_Candidates.begin(), m_Candidates.end(), m_Random);
  for (std::size_t Count = 0; Count < InquiredNodes; ++Count)
    askNext();
}

void StartInquiry::askNext() {
  if (m_Candidates.empty())
    return;
  const LinkId Link = FirstInquiryLink + m_LastLink++;
  m_Asked.insert(Link);
  m_Commands.emplace_back(OpenControlLink{Link, m_Candidates.back()});
  m_Candidates.pop_back();
}

void StartInquiry::onReply(LinkId Link) {
  if (m_Asked.erase(Link) > 0)
    m_Commands.emplace_back(CloseControlLink{Link});
}

void StartInquiry::onLinkClosed(LinkId Link) {
  if (m_Asked.erase(Link) > 0)
    askNext();
}

void StartInquiry::onTick(TimePoint Now) {
  if (!m_EndsAt || Now < *m_EndsAt)
    return;
  for (const LinkId Link : std::exchange(m_Asked, {}))
    m_Commands.emplace_back(CloseControlLink{Link});
}

bool StartInquiry::isOver(TimePoint Now) const {
  return m_EndsAt && (m_Asked.empty() || Now >= *m_EndsAt);
}

std::optional<TimePoint> StartInquiry::nextWakeUp() const {
  return m_Asked.empty() ? std::nullopt : m_EndsAt;
}

std::vector<FeedCommand> StartInquiry::takeCommands() {
  return std::exchange(m_Commands, {});
}

} // namespace dandelionfall::core::registry
