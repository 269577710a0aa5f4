/// \file
/// Selects the gate for a request of a call.
#ifndef DANDELIONFALL_CORE_INGRESS_ROUTER_H
#define DANDELIONFALL_CORE_INGRESS_ROUTER_H

#include "core/ingress/answer_sizes.h"
#include "core/ingress/call_records.h"
#include "core/ingress/service_table.h"
#include "dandelionfall/core/request_fingerprint.h"

#include <optional>
#include <random>

namespace dandelionfall::core::ingress {

/// Filters the targets of a service and passes the rest to the strategy.
class Router {
public:
  /// \param Options identity of the node; its leaving targets must outlive this
  /// object.
  /// \throws Error if the name of the strategy is unknown.
  explicit Router(const IngressOptions &Options);

  /// Selects a target that the call has not tried.
  /// \param View service of the call.
  /// \param Entry the call.
  /// \param AppliedVersion version applied at this node.
  /// \param Suspect fingerprint of the request if it is suspected of crashing
  /// targets; all nodes then select the same target, so that no two targets run
  /// it at the same time.
  /// \param Now the current time.
  /// \returns the target, or null if none accepts requests now.
  const Candidate *choose(ServiceView &View, const Call &Entry,
                          Version AppliedVersion,
                          const std::optional<RequestFingerprint> &Suspect,
                          TimePoint Now);

  /// Records the answer to a call, from whose size that of later ones is
  /// expected.
  void recordAnswer(const Call &Entry, const HttpResponse &Response);
  /// \returns the requests so far by availability zone, if the strategy counts
  /// them.
  const ZoneTrafficCounts &zoneTraffic() const { return m_ZoneTraffic; }

  /// Checks whether a target has free capacity with a margin.
  static bool hasSpareCapacity(const ServiceView &View, const Candidate &Chosen,
                               TimePoint Now);

  /// Finds the earliest end of the targets' backoffs.
  /// \returns the time from now, or 0 if no target is backed off.
  static Duration remainingBackoff(const ServiceView &View, TimePoint Now);

private:
  bool isLeaving(const Target &Entry) const;
  RequestOutlook outlookOf(const Call &Entry, TimePoint Now) const;
  /// \returns the target with the highest hash for the request among those
  /// whose gate responds, else among the others, or null.
  static const Candidate *chooseForSuspect(const Candidates &Usable,
                                           const RequestFingerprint &Request,
                                           TimePoint Now);
  /// \returns a target whose stated rate is due to be checked, or null.
  static const Candidate *takeRateCheck(const Candidates &Linked,
                                        TimePoint Now);

  std::mt19937_64 m_Random;
  const TargetChoice &m_Choice;
  const LeavingTargets &m_LeavingTargets;
  const ZonePrices m_Prices;
  AnswerSizes m_AnswerSizes;
  ZoneTrafficCounts m_ZoneTraffic;
  std::uint64_t m_Turn = 0;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_ROUTER_H
