#include "core/gate/ramp.h"

#include <algorithm>

namespace dandelionfall::core::gate {

namespace {

/// Divisor of the limit that gives the size of one increase.
constexpr std::uint32_t RaiseDivisor = 4;
/// The reference moves by the difference between a sample and the reference,
/// divided by this value. It is the same for higher and lower samples, so that
/// the reference follows the mean.
constexpr int ReferenceDivisor = 16;

} // namespace

void Ramp::configure(std::uint32_t Initial, std::uint32_t Slots,
                     std::uint32_t ColdRequests) {
  m_ColdRequests = ColdRequests;
  m_Slots = std::max(Slots, 1U);
  m_Initial = std::clamp(Initial, 1U, m_Slots);
  if (m_Limit == 0)
    m_Limit = m_Initial;
  m_Limit = std::min(m_Limit, m_Slots);
}

bool Ramp::restart(TimePoint Now) {
  const bool Lowered = m_Limit > m_Initial;
  m_Limit = m_Initial;
  m_HealthyCount = 0;
  m_CompleteResponses = 0;
  m_SlowStreak = 0;
  m_LastChange = Now;
  m_Reference = Duration{0};
  return Lowered;
}

RampChange Ramp::onCompletion(Duration Sample, bool Complete, bool InUse,
                              TimePoint Now) {
  const bool First = m_Reference == Duration{0};
  const bool Jumped = !First && Sample > JumpFactor * m_Reference + Allowance;
  m_SlowStreak = Jumped ? m_SlowStreak + 1 : 0;
  if (m_SlowStreak >= JumpStreak) {
    restart(Now);
    return RampChange::Restarted;
  }
  if (Jumped || !Complete)
    return RampChange::None;
  m_CompleteResponses = std::min(m_CompleteResponses + 1, m_ColdRequests);
  const bool Healthy =
      First || Sample <= HealthyFactor * m_Reference + Allowance;
  updateReference(Sample);
  if (!Healthy || !InUse || m_Limit == m_Slots ||
      m_CompleteResponses < m_ColdRequests)
    return RampChange::None;
  ++m_HealthyCount;
  return m_HealthyCount >= m_Limit && Now - m_LastChange >= MinRaiseInterval
             ? raise(Now)
             : RampChange::None;
}

RampChange Ramp::raise(TimePoint Now) {
  m_Limit = std::min(m_Limit + std::max(m_Limit / RaiseDivisor, 1U), m_Slots);
  m_HealthyCount = 0;
  m_LastChange = Now;
  return m_Limit == m_Slots ? RampChange::Finished : RampChange::Raised;
}

void Ramp::updateReference(Duration Sample) {
  if (m_Reference == Duration{0}) {
    m_Reference = std::max(Sample, Duration{1});
    return;
  }
  const Duration Difference = Sample - m_Reference;
  m_Reference += Difference / ReferenceDivisor;
}

} // namespace dandelionfall::core::gate
