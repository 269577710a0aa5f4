#include "core/ingress/planned_end.h"

#include <algorithm>

namespace dandelionfall::core::ingress {

void PlannedEnd::recordElapsed(const std::string &Kind, Duration Elapsed) {
  if (m_ByKind.size() >= MaxKinds && !m_ByKind.contains(Kind))
    m_ByKind.clear();
  Longest &Times = m_ByKind[Kind];
  if (Times.m_Calls == WindowCalls)
    Times = {0, Duration{0}, Times.m_Current, true};
  ++Times.m_Calls;
  Times.m_Current = std::max(Times.m_Current, Elapsed);
}

std::optional<TimePoint> PlannedEnd::limitDeadline(const std::string &Kind,
                                                   TimePoint Deadline,
                                                   Duration AnswerGrace,
                                                   Duration OldestOpen,
                                                   TimePoint Now) const {
  if (!m_End || Deadline + AnswerGrace <= *m_End)
    return Deadline;
  const auto Found = m_ByKind.find(Kind);
  if (Found == m_ByKind.end())
    return std::nullopt;
  const Longest &Times = Found->second;
  if (!Times.m_HasPrevious && Times.m_Calls < MinCalls)
    return std::nullopt;
  const TimePoint Latest = *m_End - AnswerGrace;
  const Duration Expected =
      std::max({Times.m_Current, Times.m_Previous, OldestOpen});
  if (Now + Expected > Latest)
    return std::nullopt;
  return Latest;
}

} // namespace dandelionfall::core::ingress
