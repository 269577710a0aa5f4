/// \file
/// Targets that stated in a response that they are about to stop.
#ifndef DANDELIONFALL_CORE_LEAVING_TARGETS_H
#define DANDELIONFALL_CORE_LEAVING_TARGETS_H

#include "dandelionfall/core/configuration.h"

#include <cstddef>
#include <deque>
#include <set>
#include <vector>

namespace dandelionfall::core {

/// The starts of targets that stated that they are leaving. The statement is
/// final for a start, so it is kept apart from the entry of the target and from
/// its address, and all nodes exchange it. Not thread-safe.
class LeavingTargets {
public:
  /// Maximum number of targets; beyond it the one added first is dropped.
  static constexpr std::size_t MaxTargets = 4096;
  /// Maximum number of targets in a snapshot and in one exchanged message.
  static constexpr std::size_t MaxExchanged = 1024;

  /// \returns whether no target is leaving, as is usual.
  bool empty() const { return m_Targets.empty(); }
  /// \returns whether this start of the target is leaving.
  bool contains(const TargetInstance &Target) const;
  /// Adds a target.
  /// \returns whether it was not known.
  bool add(const TargetInstance &Target);

  /// Removes and returns the targets that were added since the last call, for
  /// the other nodes.
  std::vector<TargetInstance> takeNews();
  /// \returns the targets added last, for a node that has just been connected.
  std::vector<TargetInstance> snapshot() const;

private:
  std::set<TargetInstance> m_Targets;
  /// The same targets in the order in which they were added.
  std::deque<TargetInstance> m_Order;
  std::vector<TargetInstance> m_News;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_LEAVING_TARGETS_H
