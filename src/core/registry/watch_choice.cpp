#include "core/registry/watch_choice.h"

#include <string>

namespace dandelionfall::core::registry {

WatchMode chooseWatchMode(const WatchSituation &Now) {
  if (Now.m_Followers > 0 && (Now.m_Feeds == 0 || !Now.m_HasBetterNode))
    return WatchMode::Publishing;
  if (Now.m_IsFed)
    return WatchMode::Fed;
  return Now.m_Feeds > 0 || Now.m_IsStarting ? WatchMode::Following
                                             : WatchMode::Alone;
}

Event makeModeEvent(WatchMode Mode, WatchMode Previous,
                    const WatchSituation &Now, Revision Held) {
  return {EventId::WatchModeChanged,
          std::string("mode=") + nameOf(Mode) + " previous=" +
              nameOf(Previous) + " feeds=" + std::to_string(Now.m_Feeds) +
              " followers=" + std::to_string(Now.m_Followers) +
              " revision=" + formatRevision(Held)};
}

} // namespace dandelionfall::core::registry
