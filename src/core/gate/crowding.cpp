#include "core/gate/crowding.h"

#include <algorithm>

namespace dandelionfall::core::gate {

void Crowding::Mean::add(double Sample) {
  m_Samples = std::min(m_Samples + 1, Memory);
  m_Value += (Sample - m_Value) / m_Samples;
}

void Crowding::configure(std::uint32_t Slots) {
  if (Slots == m_Slots)
    return;
  m_Slots = Slots;
  forget();
}

void Crowding::forget() {
  m_Limit = m_Slots;
  m_Roomy.clear();
  m_Slowdown.assign(m_Slots + 1, Mean());
  m_Retrial = FirstRetrial;
}

std::uint32_t Crowding::roomySlots() const {
  return std::max(1U, static_cast<std::uint32_t>(RoomShare * m_Slots));
}

bool Crowding::addSample(const std::string &Kind, Duration Sample,
                         std::uint32_t InFlight, TimePoint Now) {
  const bool Lifted = lift(Now);
  const auto Time = static_cast<double>(Sample.count());
  if (InFlight <= roomySlots()) {
    if (m_Roomy.size() < MaxKinds || m_Roomy.contains(Kind))
      m_Roomy[Kind].add(Time);
    return Lifted;
  }
  const auto Roomy = m_Roomy.find(Kind);
  // Above the slots are only requests from before they were fewer.
  if (InFlight >= m_Slowdown.size() || Roomy == m_Roomy.end() ||
      !Roomy->second.isKnown() || Roomy->second.m_Value <= 0)
    return Lifted;
  m_Slowdown[InFlight].add(Time / Roomy->second.m_Value);
  return setLimit(bestLimit(), Now) || Lifted;
}

double Crowding::fullSlowdown() const {
  if (m_Slowdown.empty() || !m_Slowdown.back().isKnown())
    return 0;
  return m_Slowdown.back().m_Value;
}

std::uint32_t Crowding::bestLimit() const {
  const double Full = fullSlowdown();
  if (Full <= 0)
    return m_Limit;
  std::uint32_t Best = roomySlots();
  double Most = Best;
  for (std::uint32_t Level = Best + 1; Level <= m_Slots; ++Level) {
    const Mean &Known = m_Slowdown[Level];
    if (!Known.isKnown() || Level / Known.m_Value <= Most)
      continue;
    Best = Level;
    Most = Level / Known.m_Value;
  }
  return Most >= LeastGain * m_Slots / Full ? Best : m_Slots;
}

bool Crowding::setLimit(std::uint32_t Limit, TimePoint Now) {
  if (Limit == m_Limit)
    return false;
  const bool Lowered = m_Limit == m_Slots;
  m_Limit = Limit;
  if (Lowered) {
    m_LiftAt = Now + m_Retrial;
    m_Retrial = std::min(2 * m_Retrial, LongestRetrial);
  }
  return true;
}

// What was measured above the limit grows old, since nothing runs there.
bool Crowding::lift(TimePoint Now) {
  if (m_Limit == m_Slots || Now < m_LiftAt)
    return false;
  for (std::uint32_t Level = m_Limit + 1; Level <= m_Slots; ++Level)
    m_Slowdown[Level] = Mean();
  m_Limit = m_Slots;
  return true;
}

} // namespace dandelionfall::core::gate
