#include "app/node/link_watch.h"

namespace dandelionfall::app {

bool LinkWatch::admit(core::LinkId Link, core::TimePoint Now) {
  if (m_Links.size() >= MaxLinks || m_Unheard >= MaxUnheard)
    return false;
  m_Links[Link] = {Now, false};
  ++m_Unheard;
  return true;
}

void LinkWatch::onFrame(core::LinkId Link, core::TimePoint Now) {
  const auto Found = m_Links.find(Link);
  if (Found == m_Links.end())
    return;
  if (!Found->second.m_Heard)
    --m_Unheard;
  Found->second = {Now, true};
}

void LinkWatch::onClosed(core::LinkId Link) {
  const auto Found = m_Links.find(Link);
  if (Found == m_Links.end())
    return;
  if (!Found->second.m_Heard)
    --m_Unheard;
  m_Links.erase(Found);
}

std::vector<core::LinkId> LinkWatch::findSilent(core::TimePoint Now) {
  const bool HeldUp =
      m_LastSearch.has_value() && Now > *m_LastSearch + MaxSearchGap;
  m_LastSearch = Now;
  if (HeldUp) {
    for (auto &[Link, Each] : m_Links)
      Each.m_LastHeard = Now;
  }
  std::vector<core::LinkId> Result;
  for (const auto &[Link, Each] : m_Links) {
    const auto Limit = Each.m_Heard ? MaxSilence : FirstFrameTimeout;
    if (Now >= Each.m_LastHeard + Limit)
      Result.push_back(Link);
  }
  return Result;
}

} // namespace dandelionfall::app
