/// \file
/// Estimates the service time of the target.
#ifndef DANDELIONFALL_CORE_GATE_SERVICE_TIME_H
#define DANDELIONFALL_CORE_GATE_SERVICE_TIME_H

#include "dandelionfall/core/time.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace dandelionfall::core::gate {

/// Expected service time; zero while there are no samples.
struct ServiceTimeEstimate {
  Duration m_Mean{0};
  /// Smoothed absolute difference of the samples from the mean.
  Duration m_Deviation{0};
  friend bool operator==(const ServiceTimeEstimate &,
                         const ServiceTimeEstimate &) = default;
};

/// Smooths service times with the method of RFC 6298 for round-trip times, but
/// with a lower weight of the newest sample, since service times vary more.
class ServiceTimeEstimator {
public:
  /// Adds the service time of a complete response.
  void addSample(Duration Sample, TimePoint Now);
  /// Adds the time after which a request was abandoned, which is only a lower
  /// bound of its service time.
  void addLowerBound(Duration Elapsed, TimePoint Now);
  /// Estimates the service time of the next request. Without new samples the
  /// estimate halves every `HalfLife` while the target is idle and every
  /// `BusyHalfLife` otherwise, so that an estimate that is too high cannot
  /// cause all requests, or all of one kind, to be refused permanently.
  /// \param IdleSince when the target became idle; nothing while it is busy.
  ServiceTimeEstimate estimate(TimePoint Now,
                               std::optional<TimePoint> IdleSince) const;

  /// Half-life of the estimate of an idle target without new samples.
  static constexpr Duration HalfLife = std::chrono::seconds(1);
  /// Half-life of the estimate for one kind while the target is busy with other
  /// kinds. It is a few seconds long, since a kind may be rare.
  static constexpr Duration BusyHalfLife = std::chrono::seconds(4);

private:
  /// Number of samples, counted up to the largest divisor.
  int m_Samples = 0;
  TimePoint m_LastSample;
  ServiceTimeEstimate m_Smoothed;
};

/// Service times by kind of request. The kinds of one target may differ by an
/// order of magnitude, so a common estimate would cause the short ones to be
/// refused.
class ServiceTimes {
public:
  /// \param Kind kind of the request that ended.
  void addSample(const std::string &Kind, Duration Sample, TimePoint Now);
  void addLowerBound(const std::string &Kind, Duration Elapsed, TimePoint Now);
  /// Estimates the service time of the next request of a kind; zero if no
  /// request of the kind has ended yet.
  ServiceTimeEstimate estimate(const std::string &Kind, TimePoint Now,
                               std::optional<TimePoint> IdleSince) const;
  /// \returns the estimate over all kinds.
  const ServiceTimeEstimator &overall() const { return m_Overall; }

private:
  /// Limit on distinct kinds, which bounds the memory for a target with many
  /// routes.
  static constexpr std::size_t MaxKinds = 512;

  ServiceTimeEstimator &estimatorOf(const std::string &Kind);

  ServiceTimeEstimator m_Overall;
  std::unordered_map<std::string, ServiceTimeEstimator> m_ByKind;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_SERVICE_TIME_H
