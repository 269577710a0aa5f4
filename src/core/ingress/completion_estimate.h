/// \file
/// Expected completion of a request at a target, as known by an ingress.
#ifndef DANDELIONFALL_CORE_INGRESS_COMPLETION_ESTIMATE_H
#define DANDELIONFALL_CORE_INGRESS_COMPLETION_ESTIMATE_H

#include "core/ingress/target_choice.h"

namespace dandelionfall::core::ingress {

/// Expected completion of one request at one target.
struct CompletionEstimate {
  /// Time until the answer, in seconds.
  double m_Seconds = 0;
  /// Probability that the answer fails or comes after the soft deadline, from 0
  /// to 1.
  double m_MissShare = 0;
  /// Time of the caller that the request takes, in seconds. A caller without an
  /// answer in time has waited until its deadline for nothing.
  double m_LostSeconds = 0;
};

/// Load of a target and what it does with it.
struct TargetOutlook {
  /// Requests that run or wait at the target.
  double m_Load = 0;
  /// Requests that it can run concurrently.
  double m_Limit = 1;
  /// Time that it takes to run a request, in seconds.
  double m_ServiceSeconds = 0;
  /// Time to the gate and back, in seconds.
  double m_RoundTripSeconds = 0;
  /// Share of its requests that fail, from 0 to 1.
  double m_FailureShare = 0;
};

/// Estimates the completion of a request. The time at the target is assumed to
/// be evenly distributed between half and one and a half times the expected
/// one.
CompletionEstimate estimateCompletion(const TargetOutlook &At,
                                      const RequestOutlook &Request);

/// \param Of the target.
/// \param Context the assumed limit and the time.
/// \param TypicalSeconds service time of a target that has not reported one.
/// \returns what the ingress knows about the target.
TargetOutlook outlookOf(const Candidate &Of, const ChoiceContext &Context,
                        double TypicalSeconds);

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_COMPLETION_ESTIMATE_H
