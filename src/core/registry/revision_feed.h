/// \file
/// Values shared by the two sides of a revision feed.
#ifndef DANDELIONFALL_SRC_CORE_REGISTRY_REVISION_FEED_H
#define DANDELIONFALL_SRC_CORE_REGISTRY_REVISION_FEED_H

#include "dandelionfall/core/control_link.h"
#include "dandelionfall/core/event.h"
#include "dandelionfall/core/published.h"
#include "dandelionfall/core/time.h"

#include <optional>
#include <variant>

namespace dandelionfall::core::registry {

/// Links of pulls are numbered from here; those of feeds from 1.
constexpr LinkId FirstPullLink = LinkId{1} << 62U;

/// Newest revision of a store that a node has read or was notified of, and when
/// the store last confirmed it.
struct ConfirmedRevision {
  Revision m_Revision = 0;
  /// Revision up to which the node itself holds all records.
  Revision m_Held = 0;
  std::optional<TimePoint> m_ConfirmedAt;
  /// Version of the configuration that the node has in force and the store has
  /// lost; 0 if there is none.
  Version m_Retained = 0;
  /// When the newest revision was proved to be that, or earlier.
  std::optional<TimePoint> m_ProvedAt = std::nullopt;
  friend bool operator==(const ConfirmedRevision &,
                         const ConfirmedRevision &) = default;
};

/// Command of a feed; executed in order.
using FeedCommand =
    std::variant<OpenControlLink, CloseControlLink, SendControl, Event>;

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_SRC_CORE_REGISTRY_REVISION_FEED_H
