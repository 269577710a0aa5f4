#include "core/gate/service_time.h"

#include <algorithm>

namespace dandelionfall::core::gate {

namespace {

constexpr int MeanDivisor = 32;
constexpr int DeviationDivisor = 16;
constexpr int MaxHalvings = 30;

int halvings(Duration Time, Duration HalfLife) {
  return static_cast<int>(
      std::clamp<std::int64_t>(Time / HalfLife, 0, MaxHalvings));
}

} // namespace

void ServiceTimeEstimator::addSample(Duration Sample, TimePoint Now) {
  m_Samples >>= halvings(Now - m_LastSample, BusyHalfLife);
  m_LastSample = Now;
  m_Samples = std::min(m_Samples + 1, MeanDivisor);
  if (m_Samples == 1) {
    m_Smoothed = {Sample, Sample / 2};
    return;
  }
  const Duration Error = Sample - m_Smoothed.m_Mean;
  const Duration Distance = std::chrono::abs(Error);
  m_Smoothed.m_Mean += Error / m_Samples;
  m_Smoothed.m_Deviation += (Distance - m_Smoothed.m_Deviation) /
                            std::min(m_Samples, DeviationDivisor);
}

void ServiceTimeEstimator::addLowerBound(Duration Elapsed, TimePoint Now) {
  if (Elapsed > m_Smoothed.m_Mean)
    addSample(Elapsed, Now);
}

ServiceTimeEstimate
ServiceTimeEstimator::estimate(TimePoint Now,
                               std::optional<TimePoint> IdleSince) const {
  if (m_Samples == 0)
    return m_Smoothed;
  const TimePoint Since =
      std::max(m_LastSample, IdleSince.value_or(m_LastSample));
  const Duration Life = IdleSince ? HalfLife : BusyHalfLife;
  const std::int64_t Divisor = std::int64_t{1} << halvings(Now - Since, Life);
  return {m_Smoothed.m_Mean / Divisor, m_Smoothed.m_Deviation / Divisor};
}

ServiceTimes::KindTimes &ServiceTimes::timesOf(const std::string &Kind) {
  const auto Found = m_ByKind.find(Kind);
  if (Found != m_ByKind.end())
    return Found->second;
  // At the limit all kinds are discarded, since those of an earlier
  // configuration must not displace the ones in use.
  if (m_ByKind.size() >= MaxKinds)
    m_ByKind.clear();
  return m_ByKind[Kind];
}

void ServiceTimes::addSample(const std::string &Kind, Duration Sample,
                             TimePoint Now) {
  m_Overall.addSample(Sample, Now);
  KindTimes &Times = timesOf(Kind);
  if (Times.m_ProbedAt && Now - Sample >= *Times.m_ProbedAt)
    Times = KindTimes();
  Times.m_Estimator.addSample(Sample, Now);
}

void ServiceTimes::addLowerBound(const std::string &Kind, Duration Elapsed,
                                 TimePoint Now) {
  m_Overall.addLowerBound(Elapsed, Now);
  timesOf(Kind).m_Estimator.addLowerBound(Elapsed, Now);
}

ServiceTimeEstimate
ServiceTimes::estimate(const std::string &Kind, TimePoint Now,
                       std::optional<TimePoint> IdleSince) const {
  const auto Found = m_ByKind.find(Kind);
  if (Found == m_ByKind.end())
    return {};
  const ServiceTimeEstimator &Own = Found->second.m_Estimator;
  const Duration Distance =
      std::chrono::abs(Own.smoothed().m_Mean - m_Overall.smoothed().m_Mean);
  if (Own.samples() == 0 ||
      Distance > Own.smoothed().m_Deviation / NoiseDivisor)
    return Own.estimate(Now, IdleSince);
  ServiceTimeEstimate Common = m_Overall.estimate(Now, IdleSince);
  if (Own.samples() >= OwnDeviationSamples)
    Common.m_Deviation = Own.estimate(Now, IdleSince).m_Deviation;
  return Common;
}

std::optional<ServiceTimeEstimate>
ServiceTimes::probeEstimate(const std::string &Kind, TimePoint Now,
                            std::optional<TimePoint> IdleSince) const {
  const auto Found = m_ByKind.find(Kind);
  if (Found == m_ByKind.end() || Now < m_ProbesUntil)
    return std::nullopt;
  const KindTimes &Times = Found->second;
  const Duration Mean = Times.m_Estimator.smoothed().m_Mean;
  const TimePoint Latest =
      std::max(Times.m_Estimator.lastSample(),
               Times.m_ProbedAt.value_or(Times.m_Estimator.lastSample()));
  if (Now - Latest < std::max(ProbePauseFactor * Mean, MinProbePause))
    return std::nullopt;
  const ServiceTimeEstimate Common = m_Overall.estimate(Now, IdleSince);
  const ServiceTimeEstimate Own = estimate(Kind, Now, IdleSince);
  if (Common.m_Mean + Common.m_Deviation >= Own.m_Mean + Own.m_Deviation)
    return std::nullopt;
  return Common;
}

void ServiceTimes::recordProbe(const std::string &Kind, TimePoint Now) {
  KindTimes &Times = timesOf(Kind);
  Times.m_ProbedAt = Now;
  m_ProbesUntil = Now + Times.m_Estimator.smoothed().m_Mean;
}

} // namespace dandelionfall::core::gate
