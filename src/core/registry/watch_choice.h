/// \file
/// Chooses how a node watches a shared store.
#ifndef DANDELIONFALL_SRC_CORE_REGISTRY_WATCH_CHOICE_H
#define DANDELIONFALL_SRC_CORE_REGISTRY_WATCH_CHOICE_H

#include "dandelionfall/core/store_reader.h"

#include <cstddef>

namespace dandelionfall::core::registry {

/// What the choice depends on.
struct WatchSituation {
  /// Feeds of other nodes that can be relied on.
  std::size_t m_Feeds = 0;
  /// Nodes that follow this one.
  std::size_t m_Followers = 0;
  /// Whether another node of the availability zone ranks before this one.
  bool m_HasBetterNode = false;
  /// Whether a feed sends everything.
  bool m_IsFed = false;
  /// Whether the listing of a node that has just started is recent enough.
  bool m_IsStarting = false;
};

/// \returns the mode. Of the nodes with followers the first of each
/// availability zone reads for all; the others forward the notices that they
/// receive.
WatchMode chooseWatchMode(const WatchSituation &Now);

/// \returns the event of a change of the mode.
Event makeModeEvent(WatchMode Mode, WatchMode Previous,
                    const WatchSituation &Now, Revision Held);

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_SRC_CORE_REGISTRY_WATCH_CHOICE_H
