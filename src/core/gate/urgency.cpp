#include "core/gate/urgency.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numbers>

namespace dandelionfall::core::gate {

namespace {

/// Interval of the decay; between two decays only sums change.
constexpr Duration DecayInterval = std::chrono::milliseconds(100);
/// Requests of a rank, after the decay, below which it is not remembered.
constexpr double LeastAsked = 0.01;

} // namespace

void ServedShares::recordAsked(Rank Of, TimePoint Now) {
  decay(Now);
  countsOf(Of).m_Asked += 1;
  m_All.m_Asked += 1;
}

void ServedShares::recordServed(Rank Of, TimePoint Now) {
  decay(Now);
  countsOf(Of).m_Served += 1;
  m_All.m_Served += 1;
}

void ServedShares::recordLost(Rank Of, TimePoint Now) {
  decay(Now);
  Counts &Counted = countsOf(Of);
  const double Taken = std::min(Counted.m_Served, 1.0);
  Counted.m_Served -= Taken;
  m_All.m_Served -= Taken;
}

double ServedShares::moreUrgentRate(Rank Than) const {
  double Sum = 0;
  for (const auto &[Each, Counted] : m_ByRank) {
    if (Each < Than)
      Sum += Counted.m_Served;
  }
  const std::chrono::duration<double> Half = HalfLife;
  return Sum * std::numbers::ln2 / Half.count();
}

Rank ServedShares::competingRank(Rank Own) const {
  const auto Found = m_ByRank.find(Own);
  if (Found == m_ByRank.end() || Found == m_ByRank.begin())
    return Own;
  const Counts &Of = Found->second;
  // Served / asked of the rank is compared with that of all.
  const bool IsShort =
      Of.m_Served * m_All.m_Asked < KeptPart * m_All.m_Served * Of.m_Asked;
  return IsShort ? m_ByRank.begin()->first : Own;
}

void ServedShares::decay(TimePoint Now) {
  if (m_ByRank.empty()) {
    m_DecayedAt = Now;
    return;
  }
  if (Now - m_DecayedAt < DecayInterval)
    return;
  const std::chrono::duration<double> Passed = Now - m_DecayedAt;
  const std::chrono::duration<double> Half = HalfLife;
  const double Factor = std::exp2(-Passed.count() / Half.count());
  m_DecayedAt = Now;
  m_All = {};
  for (auto Each = m_ByRank.begin(); Each != m_ByRank.end();) {
    Counts &Of = Each->second;
    Of = {Of.m_Asked * Factor, Of.m_Served * Factor};
    if (Of.m_Asked < LeastAsked) {
      Each = m_ByRank.erase(Each);
      continue;
    }
    m_All.m_Asked += Of.m_Asked;
    m_All.m_Served += Of.m_Served;
    ++Each;
  }
}

ServedShares::Counts &ServedShares::countsOf(Rank Of) {
  const auto Found = m_ByRank.find(Of);
  if (Found != m_ByRank.end())
    return Found->second;
  if (m_ByRank.size() >= MaxRanks)
    return std::prev(m_ByRank.end())->second;
  return m_ByRank[Of];
}

} // namespace dandelionfall::core::gate
