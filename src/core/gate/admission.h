/// \file
/// Strategies that decide whether a gate takes a request.
#ifndef DANDELIONFALL_CORE_GATE_ADMISSION_H
#define DANDELIONFALL_CORE_GATE_ADMISSION_H

#include "core/gate/request_queue.h"
#include "core/gate/service_time.h"
#include "dandelionfall/core/traffic_message.h"

#include <span>
#include <string_view>
#include <vector>

namespace dandelionfall::core::gate {

/// A request that waits for its turn.
struct WaitingRequest {
  TimePoint m_Deadline;
  Duration m_Expected{0};
  /// When the answer is wanted; no later than the deadline.
  TimePoint m_SoftDeadline;
  /// Whether the answer will come later than wanted.
  bool m_Late = false;
};

/// A request that arrives.
struct ArrivingRequest {
  /// Later than now.
  TimePoint m_Deadline;
  /// When the answer is wanted; no later than the deadline.
  TimePoint m_SoftDeadline;
};

/// What a strategy knows when a request arrives.
struct AdmissionView {
  TimePoint m_Now;
  /// For each request that may run at once, when its place is expected to be
  /// free; past times mean that it is free now.
  std::vector<TimePoint> m_SlotsFreeAt;
  /// The waiting requests in the order in which they start.
  std::vector<WaitingRequest> m_Waiting;
  /// Expected service time of the arriving request.
  ServiceTimeEstimate m_ServiceTime;
  std::uint32_t m_QueueLimit = 0;
};

/// A strategy's decision.
struct AdmissionDecision {
  bool m_Admitted = true;
  /// For an admitted one: whether the answer will come later than wanted.
  bool m_Late = false;
  /// For a refusal: why.
  RefusalReason m_Reason = RefusalReason::Overload;
  /// For a refusal: earliest time from now at which the request could be
  /// admitted; 0 if unknown.
  Duration m_RetryAfter{0};
  friend bool operator==(const AdmissionDecision &,
                         const AdmissionDecision &) = default;
};

/// Decides whether a gate takes a request; without state of its own.
class AdmissionStrategy {
public:
  AdmissionStrategy() = default;
  AdmissionStrategy(const AdmissionStrategy &) = delete;
  AdmissionStrategy &operator=(const AdmissionStrategy &) = delete;
  virtual ~AdmissionStrategy() = default;

  /// \returns the name that it is chosen by.
  virtual std::string_view name() const = 0;
  /// \returns the order in which admitted requests start.
  virtual QueueOrder order() const = 0;
  /// Decides on an arriving request.
  /// \param View the state of the gate.
  /// \param Arriving the request.
  virtual AdmissionDecision decide(const AdmissionView &View,
                                   const ArrivingRequest &Arriving) const = 0;
  /// Tells whether an admitted request should still start.
  /// \param Remaining time until its deadline, above 0.
  /// \param Expected the service time.
  virtual bool isWorthStarting(Duration Remaining,
                               const ServiceTimeEstimate &Expected) const = 0;
};

/// Name of the strategy that nodes use.
inline constexpr std::string_view DefaultAdmission = "deadline";

/// \returns all strategies; they live as long as the program.
std::span<const AdmissionStrategy *const> admissionStrategies();

/// Finds a strategy.
/// \param Name its name.
/// \returns the strategy, or null if there is none of that name.
const AdmissionStrategy *findAdmission(std::string_view Name);

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_ADMISSION_H
