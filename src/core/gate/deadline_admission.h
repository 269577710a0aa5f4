/// \file
/// Admission by deadline: a request is admitted only if it and all requests
/// admitted before it are expected to finish in time.
#ifndef DANDELIONFALL_CORE_GATE_DEADLINE_ADMISSION_H
#define DANDELIONFALL_CORE_GATE_DEADLINE_ADMISSION_H

#include "core/gate/admission.h"

namespace dandelionfall::core::gate {

/// Admission test and feedback of Islam, Balaji, Sadayappan and Panda, "Towards
/// Provision of Quality of Service Guarantees in Job Scheduling", for requests
/// of one slot each: the waiting requests are rescheduled together with the
/// arriving one, and a refusal states the earliest feasible time. A request
/// that would make less urgent waiting ones late takes their places.
class DeadlineAdmission final : public AdmissionStrategy {
public:
  std::string_view name() const override { return "deadline"; }
  QueueOrder order() const override { return QueueOrder::ByDeadline; }
  AdmissionDecision decide(const AdmissionView &View,
                           const ArrivingRequest &Arriving) const override;
  bool canFinishInTime(Duration Remaining,
                       const ServiceTimeEstimate &Expected) const override;

private:
  AdmissionDecision decideWithFullQueue(const AdmissionView &View,
                                        const ArrivingRequest &Arriving,
                                        Duration RetryAfter) const;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_DEADLINE_ADMISSION_H
