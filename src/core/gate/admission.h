/// \file
/// Strategies that decide whether a gate admits a request.
#ifndef DANDELIONFALL_CORE_GATE_ADMISSION_H
#define DANDELIONFALL_CORE_GATE_ADMISSION_H

#include "core/gate/request_queue.h"
#include "core/gate/service_time.h"
#include "dandelionfall/core/traffic_message.h"

#include <span>
#include <string_view>
#include <vector>

namespace dandelionfall::core::gate {

/// An admitted request that has not started.
struct WaitingRequest {
  TimePoint m_Deadline;
  Duration m_Expected{0};
  /// Time after which the response counts as late; at most the deadline.
  TimePoint m_SoftDeadline;
  /// Whether the response is expected after the soft deadline.
  bool m_Late = false;
  Rank m_Rank = 0;
  /// See `QueuedRequest`.
  bool m_EndsEarly = false;
};

/// A request to decide on.
struct ArrivingRequest {
  /// Later than now.
  TimePoint m_Deadline;
  /// Time after which the response counts as late; at most the deadline.
  TimePoint m_SoftDeadline;
  Rank m_Rank = 0;
  /// Part of the target's room that more urgent requests take, from 0 to below
  /// 1. As many of them are expected to come while this one waits.
  double m_MoreUrgentPart = 0;
};

/// A waiting request that loses its place to a more urgent one.
struct Displaced {
  /// Its position in the queue.
  std::size_t m_Index = 0;
  /// Time from now after which it could be admitted.
  Duration m_RetryAfter{0};
  friend bool operator==(const Displaced &, const Displaced &) = default;
};

/// State of the gate on which a strategy decides.
struct AdmissionView {
  TimePoint m_Now;
  /// One entry for each slot within the concurrency limit: when it is expected
  /// to become free. Times in the past mean that it is free now.
  std::vector<TimePoint> m_SlotsFreeAt;
  /// When the next requests may start within the rate limits of the target, in
  /// ascending order: one for each waiting request, and one more; empty if
  /// there is no limit.
  std::vector<TimePoint> m_RateStarts;
  /// Waiting requests in the order in which they start.
  std::vector<WaitingRequest> m_Waiting;
  /// Expected service time of the arriving request.
  ServiceTimeEstimate m_ServiceTime;
  std::uint32_t m_QueueLimit = 0;
};

/// Result of `AdmissionStrategy::decide`.
struct AdmissionDecision {
  bool m_Admitted = true;
  /// For an admitted request: whether the response is expected after the soft
  /// deadline.
  bool m_Late = false;
  /// For a refusal: the reason.
  RefusalReason m_Reason = RefusalReason::Overload;
  /// For a refusal: time from now after which the request could be admitted; 0
  /// if unknown.
  Duration m_RetryAfter{0};
  /// For an admitted request: who loses its place to it, in the order of the
  /// queue.
  std::vector<Displaced> m_Displaced{};
  friend bool operator==(const AdmissionDecision &,
                         const AdmissionDecision &) = default;
};

/// Decides whether a gate admits a request. Stateless.
class AdmissionStrategy {
public:
  AdmissionStrategy() = default;
  AdmissionStrategy(const AdmissionStrategy &) = delete;
  AdmissionStrategy &operator=(const AdmissionStrategy &) = delete;
  virtual ~AdmissionStrategy() = default;

  /// \returns the name that selects the strategy.
  virtual std::string_view name() const = 0;
  /// \returns the order in which admitted requests start.
  virtual QueueOrder order() const = 0;
  /// Decides on an arriving request.
  /// \param View the state of the gate.
  /// \param Arriving the request.
  virtual AdmissionDecision decide(const AdmissionView &View,
                                   const ArrivingRequest &Arriving) const = 0;
  /// Checks whether an admitted request can still finish in time.
  /// \param Remaining time until its deadline, above 0.
  /// \param Expected its expected service time.
  virtual bool canFinishInTime(Duration Remaining,
                               const ServiceTimeEstimate &Expected) const = 0;
};

/// Strategy that is used by default.
inline constexpr std::string_view DefaultAdmission = "deadline";

/// \returns all strategies; they have static lifetime.
std::span<const AdmissionStrategy *const> admissionStrategies();

/// \returns the strategy of a name, or null if there is none.
const AdmissionStrategy *findAdmission(std::string_view Name);

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_ADMISSION_H
