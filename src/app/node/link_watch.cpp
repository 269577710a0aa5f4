#include "app/node/link_watch.h"

namespace dandelionfall::app {

bool LinkWatch::admit(core::LinkId Link, core::TimePoint Now) {
  if (m_Links.size() >= MaxLinks ||
      m_AwaitingFirstFrame >= MaxAwaitingFirstFrame)
    return false;
  m_Links[Link] = {Now, false};
  ++m_AwaitingFirstFrame;
  return true;
}

void LinkWatch::onFrame(core::LinkId Link, core::TimePoint Now) {
  const auto Found = m_Links.find(Link);
  if (Found == m_Links.end())
    return;
  if (!Found->second.m_HasSentFrame)
    --m_AwaitingFirstFrame;
  Found->second = {Now, true};
}

void LinkWatch::onClosed(core::LinkId Link) {
  const auto Found = m_Links.find(Link);
  if (Found == m_Links.end())
    return;
  if (!Found->second.m_HasSentFrame)
    --m_AwaitingFirstFrame;
  m_Links.erase(Found);
}

std::vector<core::LinkId> LinkWatch::findSilent(core::TimePoint Now) {
  const bool WasPaused =
      m_LastCheck.has_value() && Now > *m_LastCheck + MaxCheckInterval;
  m_LastCheck = Now;
  if (WasPaused) {
    for (auto &[Link, Each] : m_Links)
      Each.m_LastFrame = Now;
  }
  std::vector<core::LinkId> Result;
  for (const auto &[Link, Each] : m_Links) {
    const auto Limit = Each.m_HasSentFrame ? SilenceTimeout : FirstFrameTimeout;
    if (Now >= Each.m_LastFrame + Limit)
      Result.push_back(Link);
  }
  return Result;
}

} // namespace dandelionfall::app
