#include "core/gate/ramp.h"

#include <algorithm>

namespace dandelionfall::core::gate {

namespace {

/// Part of the limit that one raise adds.
constexpr std::uint32_t RaiseShare = 4;
/// Weight of the reference against a sample; the same in both directions, so
/// that it follows the mean.
constexpr int ReferenceShare = 16;

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
  const bool Fell = m_Limit > m_Initial;
  m_Limit = m_Initial;
  m_Healthy = 0;
  m_Answers = 0;
  m_Slow = 0;
  m_LastStep = Now;
  m_Reference = Duration{0};
  return Fell;
}

RampChange Ramp::onCompletion(Duration Sample, bool Whole, bool InUse,
                              TimePoint Now) {
  const bool First = m_Reference == Duration{0};
  const bool Jumped = !First && Sample > JumpFactor * m_Reference + Allowance;
  m_Slow = Jumped ? m_Slow + 1 : 0;
  if (m_Slow >= JumpStreak) {
    restart(Now);
    return RampChange::Restarted;
  }
  if (Jumped || !Whole)
    return RampChange::None;
  m_Answers = std::min(m_Answers + 1, m_ColdRequests);
  const bool Healthy =
      First || Sample <= HealthyFactor * m_Reference + Allowance;
  follow(Sample);
  if (!Healthy || !InUse || m_Limit == m_Slots || m_Answers < m_ColdRequests)
    return RampChange::None;
  ++m_Healthy;
  return m_Healthy >= m_Limit && Now - m_LastStep >= StepTime
             ? raise(Now)
             : RampChange::None;
}

RampChange Ramp::raise(TimePoint Now) {
  m_Limit = std::min(m_Limit + std::max(m_Limit / RaiseShare, 1U), m_Slots);
  m_Healthy = 0;
  m_LastStep = Now;
  return m_Limit == m_Slots ? RampChange::Finished : RampChange::Raised;
}

void Ramp::follow(Duration Sample) {
  if (m_Reference == Duration{0}) {
    m_Reference = std::max(Sample, Duration{1});
    return;
  }
  const Duration Error = Sample - m_Reference;
  m_Reference += Error / ReferenceShare;
}

} // namespace dandelionfall::core::gate
