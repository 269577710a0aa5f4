#include "core/gate/admission.h"

#include "core/gate/deadline_admission.h"

#include <algorithm>
#include <array>

namespace dandelionfall::core::gate {

namespace {

/// First come, first served, without a queue limit.
class FcfsAdmission final : public AdmissionStrategy {
public:
  std::string_view name() const override { return "fcfs"; }
  QueueOrder order() const override { return QueueOrder::ByArrival; }
  AdmissionDecision
  decide(const AdmissionView & /*View*/,
         const ArrivingRequest & /*Arriving*/) const override {
    return {};
  }
  bool
  canFinishInTime(Duration /*Remaining*/,
                  const ServiceTimeEstimate & /*Expected*/) const override {
    return true;
  }
};

/// First come, first served, up to the profile's queue limit.
class BoundedAdmission final : public AdmissionStrategy {
public:
  std::string_view name() const override { return "bounded"; }
  QueueOrder order() const override { return QueueOrder::ByArrival; }
  AdmissionDecision
  decide(const AdmissionView &View,
         const ArrivingRequest & /*Arriving*/) const override {
    const bool HasFreeSlot =
        std::any_of(View.m_SlotsFreeAt.begin(), View.m_SlotsFreeAt.end(),
                    [&](TimePoint Free) { return Free <= View.m_Now; });
    if (HasFreeSlot || View.m_Waiting.size() < View.m_QueueLimit)
      return {};
    return {false, false, RefusalReason::QueueFull, View.m_ServiceTime.m_Mean};
  }
  bool
  canFinishInTime(Duration /*Remaining*/,
                  const ServiceTimeEstimate & /*Expected*/) const override {
    return true;
  }
};

const DeadlineAdmission TheDeadlineAdmission;
const FcfsAdmission TheFcfsAdmission;
const BoundedAdmission TheBoundedAdmission;

constexpr std::array<const AdmissionStrategy *, 3> Strategies = {
    &TheDeadlineAdmission, &TheFcfsAdmission, &TheBoundedAdmission};

} // namespace

std::span<const AdmissionStrategy *const> admissionStrategies() {
  return Strategies;
}

const AdmissionStrategy *findAdmission(std::string_view Name) {
  for (const AdmissionStrategy *Strategy : Strategies) {
    if (Strategy->name() == Name)
      return Strategy;
  }
  return nullptr;
}

} // namespace dandelionfall::core::gate
