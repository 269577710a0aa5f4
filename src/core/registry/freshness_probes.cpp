#include "core/registry/freshness_probes.h"

#include "core/registry/limits.h"

#include <algorithm>

namespace dandelionfall::core::registry {

namespace {

/// Probes whose sending time is remembered: what is older proves too little.
constexpr std::size_t MaxRememberedProbes = 64;

} // namespace

std::optional<FreshnessProbe> FreshnessProbes::takeDue(TimePoint Now) {
  if (!m_NextAt || Now < *m_NextAt)
    return std::nullopt;
  m_NextAt = Now + ProbeInterval;
  m_Sent.push_back({++m_LastNumber, Now});
  if (m_Sent.size() > MaxRememberedProbes)
    m_Sent.pop_front();
  return FreshnessProbe{m_LastNumber};
}

std::optional<TimePoint>
FreshnessProbes::provedAt(const RevisionNotice &Notice) {
  if (!Notice.m_Probe || Notice.m_ProvedAgo == NeverCalled ||
      Notice.m_ProvedAgo < Duration{0} || Notice.m_Refused)
    return std::nullopt;
  const auto Found =
      std::find_if(m_Sent.begin(), m_Sent.end(), [&](const Sent &Each) {
        return Each.m_Number == *Notice.m_Probe;
      });
  if (Found == m_Sent.end())
    return std::nullopt;
  // Later notices on the link repeat this probe or a later one.
  m_Sent.erase(m_Sent.begin(), Found);
  return m_Sent.front().m_At - Notice.m_ProvedAgo;
}

} // namespace dandelionfall::core::registry
