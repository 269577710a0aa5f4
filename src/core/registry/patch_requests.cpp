#include "core/registry/patch_requests.h"

#include "core/registry/limits.h"

#include <algorithm>

namespace dandelionfall::core::registry {

void PatchRequests::onChanges(LinkId Link, const RecordChanges &Changes,
                              bool WasMissing, TimePoint Now) {
  const bool HoldsAll = m_Registry.holdsAll(Changes.m_Large);
  if (HoldsAll && Changes.m_Patches.empty())
    return;
  m_Follower.setHeld(m_Registry.revision(), m_Registry.retainedVersion());
  const LargeRevisions Bases = m_Registry.basesOf(Changes.m_Large);
  if (HoldsAll && WasMissing) {
    m_Unconfirmed.erase(Link);
    return m_Follower.confirmPatches(Link, Bases);
  }
  if (!Changes.m_Patches.empty()) {
    if (!HoldsAll && m_Follower.askAgain(Link, Bases, Now)) {
      m_Unconfirmed.erase(Link);
      return;
    }
    m_Unconfirmed.try_emplace(Link, Unconfirmed{{}, Now + NoticeInterval})
        .first->second.m_Large = Changes.m_Large;
  }
  if (HoldsAll)
    return;
  const TimePoint Until = m_Expected ? m_Expected->m_Until : Now + PatchDelay;
  m_Expected = {Link, Changes.m_Large, Until};
}

void PatchRequests::confirmDue(TimePoint Now) {
  std::erase_if(m_Unconfirmed, [&](const auto &Each) {
    if (Now < Each.second.m_At)
      return false;
    m_Follower.confirmPatches(Each.first,
                              m_Registry.basesOf(Each.second.m_Large));
    return true;
  });
}

void PatchRequests::onTick(TimePoint Now) {
  confirmDue(Now);
  if (!m_Expected || Now < m_Expected->m_Until)
    return;
  if (!m_Registry.holdsAll(m_Expected->m_Large)) {
    const LargeRevisions Bases = m_Registry.basesOf(m_Expected->m_Large);
    m_Follower.setHeld(m_Registry.revision(), m_Registry.retainedVersion());
    if (!m_Follower.takePatchesFrom(m_Expected->m_Link, Bases, Now)) {
      m_Expected->m_Until = Now + PatchDelay;
      return;
    }
  }
  m_Expected.reset();
}

std::optional<TimePoint> PatchRequests::nextWakeUp() const {
  std::optional<TimePoint> Next;
  if (m_Expected)
    Next = m_Expected->m_Until;
  for (const auto &[Link, Each] : m_Unconfirmed)
    Next = std::min(Next.value_or(Each.m_At), Each.m_At);
  return Next;
}

} // namespace dandelionfall::core::registry
