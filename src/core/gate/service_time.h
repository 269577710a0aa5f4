/// \file
/// Smoothed service time of the target.
#ifndef DANDELIONFALL_CORE_GATE_SERVICE_TIME_H
#define DANDELIONFALL_CORE_GATE_SERVICE_TIME_H

#include "dandelionfall/core/time.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace dandelionfall::core::gate {

/// Expected service time; zero while there is no evidence.
struct ServiceTimeEstimate {
  Duration m_Mean{0};
  /// Smoothed distance of the samples from the mean.
  Duration m_Deviation{0};
  friend bool operator==(const ServiceTimeEstimate &,
                         const ServiceTimeEstimate &) = default;
};

/// Smooths service times by the method of RFC 6298 for round-trip times, with
/// less weight on the newest sample, since requests differ more.
class ServiceTimeEstimator {
public:
  /// Takes the service time of a whole answer.
  void addSample(Duration Sample, TimePoint Now);
  /// Takes the time after which a request was given up; it says only that the
  /// service time is no shorter.
  void addLowerBound(Duration Elapsed, TimePoint Now);
  /// Estimates the service time of the next request. Without evidence the
  /// estimate halves at every `HalfLife` while the target is idle, and at every
  /// `BusyHalfLife` else, so that one that is too high cannot refuse all work,
  /// or all of one kind, for good.
  /// \param IdleSince since when nothing ran, if nothing runs.
  ServiceTimeEstimate estimate(TimePoint Now,
                               std::optional<TimePoint> IdleSince) const;

  /// Time without evidence after which the estimate of an idle target halves.
  static constexpr Duration HalfLife = std::chrono::seconds(1);
  /// The same for a kind of request while the target is busy with others: a few
  /// seconds, since a kind may be rare.
  static constexpr Duration BusyHalfLife = std::chrono::seconds(4);

private:
  /// Samples taken, counted up to the largest share.
  int m_Samples = 0;
  TimePoint m_LastSample;
  ServiceTimeEstimate m_Smoothed;
};

/// Service times by kind of request. Kinds of one target may differ by an order
/// of magnitude, so one estimate for all would refuse the short ones.
class ServiceTimes {
public:
  /// \param Kind the kind of the request that ended.
  void addSample(const std::string &Kind, Duration Sample, TimePoint Now);
  void addLowerBound(const std::string &Kind, Duration Elapsed, TimePoint Now);
  /// Estimates the service time of the next request of a kind; zero if none of
  /// the kind has ended yet.
  ServiceTimeEstimate estimate(const std::string &Kind, TimePoint Now,
                               std::optional<TimePoint> IdleSince) const;
  /// \returns the estimate over all kinds.
  const ServiceTimeEstimator &overall() const { return m_Overall; }

private:
  /// Kinds that are told apart; bounds the memory of a target with many routes.
  static constexpr std::size_t MaxKinds = 512;

  ServiceTimeEstimator &estimatorOf(const std::string &Kind);

  ServiceTimeEstimator m_Overall;
  std::unordered_map<std::string, ServiceTimeEstimator> m_ByKind;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_SERVICE_TIME_H
