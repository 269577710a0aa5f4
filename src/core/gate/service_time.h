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
/// with a lower weight of the newest sample, since service times vary more. The
/// weight of the earlier samples halves with each `BusyHalfLife` between two
/// samples.
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

  /// \returns the estimate without its decay.
  const ServiceTimeEstimate &smoothed() const { return m_Smoothed; }
  /// \returns the number of samples that the estimate rests on, at most the
  /// divisor of the mean.
  int samples() const { return m_Samples; }
  /// \returns the time of the latest sample.
  TimePoint lastSample() const { return m_LastSample; }

  /// Half-life of the estimate of an idle target without new samples.
  static constexpr Duration HalfLife = std::chrono::seconds(1);
  /// Half-life of the estimate for one kind while the target is busy with other
  /// kinds. It is a few seconds long, since a kind may be rare.
  static constexpr Duration BusyHalfLife = std::chrono::seconds(4);

private:
  /// Weight of the earlier samples, up to the largest divisor.
  int m_Samples = 0;
  TimePoint m_LastSample;
  ServiceTimeEstimate m_Smoothed;
};

/// Service times by kind of request. The kinds of one target may differ by an
/// order of magnitude, so a common estimate would cause the short ones to be
/// refused. But a kind that can't be told apart from all others shares their
/// mean: of two kinds that compete for too little room, the one with the
/// slightly higher estimate would get next to nothing.
///
/// A kind that is refused because of its estimate gives no samples that could
/// lower it. So one of its requests is admitted at times with the estimate of
/// all kinds, as a probe, and its service time replaces the estimate. On a
/// target that serves the kind slowly, the probes occupy a fifth of a slot.
class ServiceTimes {
public:
  /// \param Kind kind of the request that ended.
  void addSample(const std::string &Kind, Duration Sample, TimePoint Now);
  void addLowerBound(const std::string &Kind, Duration Elapsed, TimePoint Now);
  /// Estimates the service time of the next request of a kind; zero if no
  /// request of the kind has ended yet.
  /// \param IdleSince when the target became idle; nothing while it is busy.
  ServiceTimeEstimate estimate(const std::string &Kind, TimePoint Now,
                               std::optional<TimePoint> IdleSince) const;
  /// \returns the estimate of a probe, if a probe of the kind is due and the
  /// estimate of the kind is the higher one.
  std::optional<ServiceTimeEstimate>
  probeEstimate(const std::string &Kind, TimePoint Now,
                std::optional<TimePoint> IdleSince) const;
  /// Records that a request of the kind was admitted as a probe.
  void recordProbe(const std::string &Kind, TimePoint Now);
  /// \returns the estimate over all kinds.
  const ServiceTimeEstimator &overall() const { return m_Overall; }

private:
  /// Limit on distinct kinds, which bounds the memory for a target with many
  /// routes.
  static constexpr std::size_t MaxKinds = 512;
  /// Shortest time without a sample before a probe, as a multiple of the mean
  /// of the kind.
  static constexpr int ProbePauseFactor = 4;
  static constexpr Duration MinProbePause = std::chrono::milliseconds(100);
  /// Samples of a kind from which on its deviation is its own.
  static constexpr int OwnDeviationSamples = 16;
  /// Part of the deviation within which two means are not told apart.
  static constexpr int NoiseDivisor = 2;

  struct KindTimes {
    ServiceTimeEstimator m_Estimator;
    /// When the latest probe was admitted, until its sample.
    std::optional<TimePoint> m_ProbedAt;
  };

  KindTimes &timesOf(const std::string &Kind);

  ServiceTimeEstimator m_Overall;
  std::unordered_map<std::string, KindTimes> m_ByKind;
  /// Until when the latest probe is expected to occupy a slot. The next one, of
  /// any kind, is admitted after it.
  TimePoint m_ProbesUntil = TimePoint::min();
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_SERVICE_TIME_H
