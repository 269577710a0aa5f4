#include "core/quota/credit_bucket.h"

#include "core/quota/limits.h"

#include <algorithm>
#include <cmath>

namespace dandelionfall::core::quota {

namespace {

/// Absorbs rounding, so that a bucket reaches a whole number in time.
constexpr double Rounding = 1e-9;

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

CreditBucket::CreditBucket(double RatePerSecond, double Burst, double Level,
                           TimePoint Now)
    : m_RatePerSecond(RatePerSecond), m_Burst(Burst),
      m_Level(std::min(Level, Burst)), m_AsOf(Now) {}

void CreditBucket::refill(TimePoint Until) {
  if (Until <= m_AsOf)
    return;
  m_Level = std::min(m_Level + m_RatePerSecond * secondsOf(Until - m_AsOf),
                     m_Burst - m_Lent);
  m_AsOf = Until;
}

// The end of each lease makes room only from then on.
void CreditBucket::advance(TimePoint Now) {
  while (!m_Leases.empty() && m_Leases.front().m_End <= Now) {
    refill(m_Leases.front().m_End);
    m_Lent -= m_Leases.front().m_Count;
    m_Leases.pop_front();
  }
  refill(Now);
}

void CreditBucket::configure(double RatePerSecond, double Burst,
                             TimePoint Now) {
  advance(Now);
  m_RatePerSecond = RatePerSecond;
  m_Burst = Burst;
  m_Level = std::min(m_Level, m_Burst - m_Lent);
}

std::uint32_t CreditBucket::take(std::uint32_t Wanted, TimePoint Now) {
  advance(Now);
  if (Wanted == 0 || m_Level + Rounding < 1)
    return 0;
  const std::uint32_t Taken = static_cast<std::uint32_t>(
      std::min(std::floor(m_Level + Rounding), static_cast<double>(Wanted)));
  m_Level -= Taken;
  m_Lent += Taken;
  const TimePoint End = m_AsOf + LeaseTime;
  if (!m_Leases.empty() && m_Leases.back().m_End == End)
    m_Leases.back().m_Count += Taken;
  else
    m_Leases.push_back({End, Taken});
  return Taken;
}

Duration CreditBucket::waitForOne(TimePoint Now) {
  advance(Now);
  if (m_Level + Rounding >= 1)
    return Duration{0};
  if (m_RatePerSecond <= 0 || m_Burst + Rounding < 1)
    return MaxCreditRetryAfter;
  double Level = m_Level;
  double Lent = m_Lent;
  TimePoint Time = Now;
  const auto UntilOne = [&] {
    const double Seconds = (1 - Level) / m_RatePerSecond;
    return Seconds >= secondsOf(MaxCreditRetryAfter)
               ? MaxCreditRetryAfter
               : std::chrono::ceil<Duration>(
                     std::chrono::duration<double>(Seconds));
  };
  for (const Lease &Next : m_Leases) {
    if (m_Burst - Lent + Rounding >= 1 && Time + UntilOne() <= Next.m_End)
      break;
    Level = std::min(Level + m_RatePerSecond * secondsOf(Next.m_End - Time),
                     m_Burst - Lent);
    Lent -= Next.m_Count;
    Time = Next.m_End;
  }
  return std::min(Time - Now + std::max(UntilOne(), Duration{0}),
                  MaxCreditRetryAfter);
}

} // namespace dandelionfall::core::quota
