#include "emulator/target_model.h"

#include <algorithm>

namespace dandelionfall::emulator {

namespace {

/// Time from a collapse until connections are accepted again.
constexpr Duration CollapseDownTime = 1s;
/// Requests that run at full speed at the beginning of a cold start.
constexpr std::uint32_t ColdSlots = 2;
/// A target collapses above this multiple of the requests at full speed.
constexpr std::uint32_t CollapseFactor = 2;
/// A failing request ends after this fraction of its service time.
constexpr int FailureDivisor = 10;

Duration scaled(Duration ServiceTime, double Factor) {
  return Duration(static_cast<Duration::rep>(
      Factor * static_cast<double>(ServiceTime.count())));
}

} // namespace

void TargetModel::restart(TimePoint Now) {
  m_ColdSince = Now;
  m_Cold = m_Behaviour.m_WarmUp > Duration{0};
  m_InFlight = 0;
}

std::uint32_t TargetModel::fullSpeedSlots(TimePoint Now) const {
  const std::uint32_t Slots = m_Behaviour.m_Slots;
  if (Slots == 0 || !m_Cold || Now >= m_ColdSince + m_Behaviour.m_WarmUp)
    return Slots;
  const double Share = static_cast<double>((Now - m_ColdSince).count()) /
                       static_cast<double>(m_Behaviour.m_WarmUp.count());
  return std::max(std::min(ColdSlots, Slots),
                  static_cast<std::uint32_t>(Share * Slots));
}

TargetRun TargetModel::startRequest(Duration ServiceTime, TimePoint Now,
                                    std::mt19937_64 &Random) {
  ++m_InFlight;
  const std::uint32_t Slots = fullSpeedSlots(Now);
  if (Slots > 0 && m_InFlight > CollapseFactor * Slots) {
    restart(Now);
    refuseUntil(Now + CollapseDownTime);
    return {TargetResult::Collapse, Duration{0}};
  }
  const double Slowdown =
      Slots == 0 ? 1.0 : std::max(1.0, 1.0 * m_InFlight / Slots);
  const TargetResult Result = drawResult(Random);
  Duration RunTime =
      scaled(ServiceTime, Slowdown * m_Behaviour.m_SlowdownFactor);
  if (Result == TargetResult::Failure)
    RunTime /= FailureDivisor;
  return {Result, RunTime};
}

TargetResult TargetModel::drawResult(std::mt19937_64 &Random) const {
  const std::pair<TargetResult, double> Shares[] = {
      {TargetResult::Failure, m_Behaviour.m_FailureShare},
      {TargetResult::Garbled, m_Behaviour.m_GarbleShare},
      {TargetResult::NoResponse, m_Behaviour.m_SilentShare}};
  for (const auto &[Result, Share] : Shares) {
    if (Share > 0 && std::bernoulli_distribution(Share)(Random))
      return Result;
  }
  return TargetResult::Answer;
}

} // namespace dandelionfall::emulator
