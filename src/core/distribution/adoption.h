/// \file
/// Puts held versions in force.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_ADOPTION_H
#define DANDELIONFALL_CORE_DISTRIBUTION_ADOPTION_H

#include "core/distribution/blackboard.h"

#include <deque>

namespace dandelionfall::core {

/// Applies a version only once enough other nodes hold it, so that a node
/// which applied it and restarts beside a stale source finds someone who
/// knows.
class Adoption : public Controller {
public:
  /// After this time the reachable peers are enough, and the holder in another
  /// availability zone is not waited for.
  static constexpr Duration HolderTimeout = std::chrono::seconds(3);

  void run(Blackboard &Board) override;
  TimePoint wakeUp(const Blackboard &Board) const override;

private:
  /// Held versions above the one in force, in ascending order.
  std::deque<ConfigurationPtr> m_WaitingVersions;
  TimePoint m_WaitingVersionsSince;
};

/// Lets a started node serve once it has the highest version that its peers
/// named.
class Readiness : public Controller {
public:
  /// After this time without any peer that still holds it, the version that
  /// peers named is not waited for.
  static constexpr Duration LostVersionTimeout = std::chrono::seconds(10);

  void run(Blackboard &Board) override;
  TimePoint wakeUp(const Blackboard &Board) const override;

private:
  void abandonLostVersion(Blackboard &Board);

  std::optional<TimePoint> m_VersionLostSince;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_ADOPTION_H
