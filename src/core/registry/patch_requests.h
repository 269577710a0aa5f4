/// \file
/// Asks followed nodes for the large records that they announced.
#ifndef DANDELIONFALL_SRC_CORE_REGISTRY_PATCH_REQUESTS_H
#define DANDELIONFALL_SRC_CORE_REGISTRY_PATCH_REQUESTS_H

#include "core/registry/feed_follower.h"
#include "dandelionfall/core/registry.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace dandelionfall::core::registry {

/// Sees to it that a node is sent the large records that a feed has announced
/// and the node lacks: a patch that did not fit is replaced at once, and one
/// that another feed should send is waited for. Repeated until the record has
/// arrived. Not thread-safe.
class PatchRequests {
public:
  /// \param Held records of this node; must outlive this object.
  /// \param Follower feeds that are asked; must outlive this object.
  PatchRequests(const Registry &Held, FeedFollower &Follower)
      : m_Registry(Held), m_Follower(Follower) {}

  /// Handles a notice whose changes have been applied.
  /// \param Link the link of the feed.
  /// \param WasMissing whether a large record that it names was missing before.
  void onChanges(LinkId Link, const RecordChanges &Changes, bool WasMissing,
                 TimePoint Now);
  /// Asks for what has not arrived in time.
  void onTick(TimePoint Now);
  /// \returns when `onTick` must be called next, if at all.
  std::optional<TimePoint> nextWakeUp() const;

private:
  /// What the latest notice announced that this node lacks.
  struct Expected {
    LinkId m_Link = 0;
    std::map<std::string, Revision, std::less<>> m_Large;
    TimePoint m_Until;
  };

  /// Patches that were of no use, to be confirmed later: an answer at once
  /// could bring them again without end.
  struct Unconfirmed {
    std::map<std::string, Revision, std::less<>> m_Large;
    TimePoint m_At;
  };

  void confirmDue(TimePoint Now);

  const Registry &m_Registry;
  FeedFollower &m_Follower;
  std::optional<Expected> m_Expected;
  std::map<LinkId, Unconfirmed> m_Unconfirmed;
};

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_SRC_CORE_REGISTRY_PATCH_REQUESTS_H
