/// \file
/// Applies held versions and determines when the node is ready.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_ADOPTION_H
#define DANDELIONFALL_CORE_DISTRIBUTION_ADOPTION_H

#include "core/distribution/blackboard.h"

#include <deque>

namespace dandelionfall::core {

/// Applies a version only once enough other nodes hold it, so that a node which
/// applied it and restarts while the source is stale can get it from a peer.
class Adoption : public Controller {
public:
  /// Time that held versions wait for holders. After it, no more holders are
  /// required than there are reachable peers, and none in another availability
  /// zone.
  static constexpr Duration HolderTimeout = std::chrono::seconds(3);

  void run(Blackboard &Board) override;
  TimePoint wakeUp(const Blackboard &Board) const override;

private:
  /// Held versions above the applied one, in ascending order.
  std::deque<ConfigurationPtr> m_WaitingVersions;
  TimePoint m_WaitingVersionsSince;
};

/// Makes a started node ready once it has applied the highest version that its
/// peers reported.
class Readiness : public Controller {
public:
  /// If for this long no peer holds the version that peers reported, the node
  /// stops waiting for it.
  static constexpr Duration LostVersionTimeout = std::chrono::seconds(10);

  void run(Blackboard &Board) override;
  TimePoint wakeUp(const Blackboard &Board) const override;

private:
  void abandonLostVersion(Blackboard &Board);

  std::optional<TimePoint> m_VersionLostSince;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_ADOPTION_H
