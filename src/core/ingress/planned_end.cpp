#include "core/ingress/planned_end.h"

#include <algorithm>

namespace dandelionfall::core::ingress {

PlannedEnd::Longest &PlannedEnd::findOrAdd(const std::string &Kind) {
  if (m_ByKind.size() >= MaxKinds && !m_ByKind.contains(Kind))
    m_ByKind.erase(m_ByKind.begin());
  return m_ByKind[Kind];
}

void PlannedEnd::recordAnswer(const std::string &Kind, Duration Elapsed) {
  Longest &Times = findOrAdd(Kind);
  if (Times.m_Calls == WindowCalls)
    Times = {0, Duration{0}, Times.m_Current, true};
  ++Times.m_Calls;
  Times.m_Current = std::max(Times.m_Current, Elapsed);
}

void PlannedEnd::recordUnanswered(const std::string &Kind, Duration Elapsed) {
  Longest &Times = findOrAdd(Kind);
  if (Elapsed > std::max(Times.m_Current, Times.m_Previous))
    Times.m_Current = Duration::max();
}

std::optional<TimePoint> PlannedEnd::limitDeadline(const std::string &Kind,
                                                   TimePoint Deadline,
                                                   Duration AnswerGrace,
                                                   Duration OldestOpen,
                                                   TimePoint Now) const {
  if (!isBefore(Deadline + AnswerGrace))
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
  if (Expected > Latest - Now)
    return std::nullopt;
  return Latest;
}

} // namespace dandelionfall::core::ingress
