#include "core/gate/service_time.h"

#include <algorithm>

namespace dandelionfall::core::gate {

namespace {

constexpr int MeanDivisor = 32;
constexpr int DeviationDivisor = 16;
constexpr int MaxHalvings = 30;

} // namespace

void ServiceTimeEstimator::addSample(Duration Sample, TimePoint Now) {
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
  const auto Halvings =
      std::clamp<std::int64_t>((Now - Since) / Life, 0, MaxHalvings);
  const std::int64_t Divisor = std::int64_t{1} << Halvings;
  return {m_Smoothed.m_Mean / Divisor, m_Smoothed.m_Deviation / Divisor};
}

ServiceTimeEstimator &ServiceTimes::estimatorOf(const std::string &Kind) {
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
  estimatorOf(Kind).addSample(Sample, Now);
}

void ServiceTimes::addLowerBound(const std::string &Kind, Duration Elapsed,
                                 TimePoint Now) {
  m_Overall.addLowerBound(Elapsed, Now);
  estimatorOf(Kind).addLowerBound(Elapsed, Now);
}

ServiceTimeEstimate
ServiceTimes::estimate(const std::string &Kind, TimePoint Now,
                       std::optional<TimePoint> IdleSince) const {
  const auto Found = m_ByKind.find(Kind);
  return Found == m_ByKind.end() ? ServiceTimeEstimate{}
                                 : Found->second.estimate(Now, IdleSince);
}

} // namespace dandelionfall::core::gate
