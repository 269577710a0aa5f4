/// \file
/// Decides which gates a call may go to, and picks one.
#ifndef DANDELIONFALL_CORE_INGRESS_ROUTER_H
#define DANDELIONFALL_CORE_INGRESS_ROUTER_H

#include "core/ingress/call_records.h"
#include "core/ingress/service_table.h"

#include <random>

namespace dandelionfall::core::ingress {

/// Filters a service's targets and hands the rest to the strategy.
class Router {
public:
  /// \param Options the node's own identity.
  /// \throws Error if the strategy's name is unknown.
  explicit Router(const IngressOptions &Options);

  /// Picks a target that the call has not tried.
  /// \param View the call's service.
  /// \param Entry the call.
  /// \param AppliedVersion the version in force here.
  /// \param Now the time.
  /// \returns the target, or null if none takes work now.
  const Candidate *choose(const ServiceView &View, const Call &Entry,
                          Version AppliedVersion, TimePoint Now);

  /// Tells whether a target is known to have a place free, with some to spare.
  static bool hasSpareCapacity(const ServiceView &View, const Candidate &Chosen,
                               TimePoint Now);

  /// Tells when a target that takes no link now is tried again.
  /// \returns the time from now, or 0 if no target is pausing.
  static Duration remainingBackoff(const ServiceView &View, TimePoint Now);

private:
  std::mt19937_64 m_Random;
  const TargetChoice &m_Choice;
  std::uint64_t m_Turn = 0;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_ROUTER_H
