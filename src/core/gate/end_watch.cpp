#include "core/gate/end_watch.h"

#include <utility>

namespace dandelionfall::core::gate {

void EndWatch::onConnectionBroken(const std::vector<OccupiedSlot> &Running,
                                  TimePoint Now) {
  // All connections of a target that ends break together, so the first one
  // finds all requests still running.
  if (!m_Suspicion)
    m_Suspicion = Suspicion{Now, false, false, Running};
}

bool EndWatch::takeDueCheck(TimePoint Now) {
  if (!m_Suspicion || m_Suspicion->m_CheckDemanded ||
      Now < m_Suspicion->m_CheckAt)
    return false;
  m_Suspicion->m_CheckDemanded = true;
  return true;
}

void EndWatch::onAccepted(TimePoint Now) {
  if (!m_Suspicion || m_Suspicion->m_IsLastCheck) {
    m_Suspicion.reset();
    return;
  }
  m_Suspicion->m_CheckAt = Now + CheckDelay;
  m_Suspicion->m_CheckDemanded = false;
  m_Suspicion->m_IsLastCheck = true;
}

std::vector<OccupiedSlot> EndWatch::onRefused() {
  if (!m_Suspicion)
    return {};
  return std::exchange(m_Suspicion, std::nullopt)->m_Running;
}

void EndWatch::onEnded(const RequestId &End,
                       const std::vector<OccupiedSlot> &Running) {
  m_LatestEnd = End;
  m_RanAtLatestEnd.clear();
  for (const OccupiedSlot &Slot : Running)
    m_RanAtLatestEnd.insert(Slot.m_Id);
}

std::optional<RequestId> EndWatch::endOf(const RequestId &Request) const {
  return m_RanAtLatestEnd.contains(Request) ? std::optional(m_LatestEnd)
                                            : std::nullopt;
}

std::optional<TimePoint> EndWatch::nextWakeUp() const {
  if (!m_Suspicion || m_Suspicion->m_CheckDemanded)
    return std::nullopt;
  return m_Suspicion->m_CheckAt;
}

} // namespace dandelionfall::core::gate
