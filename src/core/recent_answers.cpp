#include "dandelionfall/core/recent_answers.h"

namespace dandelionfall::core {

void RecentAnswers::record(const RequestFingerprint &Request, TimePoint Now) {
  if (m_Table == nullptr)
    m_Table = std::make_unique<Table>();
  (*m_Table)[Request.m_Low % Capacity] = {Request, Now};
}

std::optional<TimePoint>
RecentAnswers::find(const RequestFingerprint &Request) const {
  if (m_Table == nullptr)
    return std::nullopt;
  const Entry &Known = (*m_Table)[Request.m_Low % Capacity];
  return Known.m_Request == Request ? Known.m_At : std::nullopt;
}

} // namespace dandelionfall::core
