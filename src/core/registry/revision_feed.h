/// \file
/// Values shared by the two sides of a revision feed.
#ifndef DANDELIONFALL_SRC_CORE_REGISTRY_REVISION_FEED_H
#define DANDELIONFALL_SRC_CORE_REGISTRY_REVISION_FEED_H

#include "dandelionfall/core/control_link.h"
#include "dandelionfall/core/event.h"
#include "dandelionfall/core/time.h"

#include <optional>
#include <variant>

namespace dandelionfall::core::registry {

/// A revision up to which a node holds all records of a store, and when the
/// store last confirmed it to that node.
struct ConfirmedRevision {
  Revision m_Revision = 0;
  std::optional<TimePoint> m_ConfirmedAt;
  friend bool operator==(const ConfirmedRevision &,
                         const ConfirmedRevision &) = default;
};

/// Command of a feed; executed in order.
using FeedCommand =
    std::variant<OpenControlLink, CloseControlLink, SendControl, Event>;

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_SRC_CORE_REGISTRY_REVISION_FEED_H
