#include "core/gate/service_time.h"

#include <algorithm>

namespace dandelionfall::core::gate {

namespace {

constexpr int MeanShare = 8;
constexpr int DeviationShare = 4;
constexpr int MostHalvings = 30;

} // namespace

void ServiceTime::addSample(Duration Sample, TimePoint Now) {
  m_LastSample = Now;
  if (!m_HasSample) {
    m_HasSample = true;
    m_Smoothed = {Sample, Sample / 2};
    return;
  }
  const Duration Error = Sample - m_Smoothed.m_Mean;
  const Duration Distance = std::chrono::abs(Error);
  m_Smoothed.m_Mean += Error / MeanShare;
  m_Smoothed.m_Deviation +=
      (Distance - m_Smoothed.m_Deviation) / DeviationShare;
}

void ServiceTime::addLowerBound(Duration Elapsed, TimePoint Now) {
  if (Elapsed > m_Smoothed.m_Mean)
    addSample(Elapsed, Now);
}

ServiceTimeEstimate
ServiceTime::estimate(TimePoint Now, std::optional<TimePoint> IdleSince) const {
  if (!m_HasSample || !IdleSince)
    return m_Smoothed;
  const TimePoint Since = std::max(m_LastSample, *IdleSince);
  const auto Halvings =
      std::clamp<std::int64_t>((Now - Since) / HalfLife, 0, MostHalvings);
  const std::int64_t Divisor = std::int64_t{1} << Halvings;
  return {m_Smoothed.m_Mean / Divisor, m_Smoothed.m_Deviation / Divisor};
}

} // namespace dandelionfall::core::gate
