#include "core/distribution/source_budget.h"

#include <algorithm>
#include <cmath>

namespace dandelionfall::core {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr double WatchTokensPerSecond = 1;
// At a lower rate, a watch would leave too few tokens for the reads that follow
// it.
constexpr double MinRateForWatch = 2;

} // namespace

SourceBudget::SourceBudget(double Budget, std::size_t Hosts, double Phase,
                           TimePoint Now)
    : m_Budget(std::max(Budget, 1e-3)),
      m_Hosts(std::max<std::size_t>(Hosts, 1)) {
  const auto Wait = static_cast<double>(period().count()) * Phase;
  m_Next = Now + Duration(static_cast<Duration::rep>(Wait));
}

double SourceBudget::rate() const {
  return AllocatedShare * m_Budget / static_cast<double>(m_Hosts);
}

bool SourceBudget::supportsWatch() const { return rate() >= MinRateForWatch; }

Duration SourceBudget::period() const {
  const double Rate = m_Watching ? rate() - WatchTokensPerSecond : rate();
  const double Length = MicrosecondsPerSecond / std::max(Rate, 1e-6);
  return Duration(std::max<Duration::rep>(
      1, static_cast<Duration::rep>(std::ceil(Length))));
}

void SourceBudget::rescale(Duration OldPeriod, TimePoint Now) {
  const double Left =
      static_cast<double>(std::max((m_Next - Now).count(), Duration::rep{0})) /
      static_cast<double>(OldPeriod.count());
  const double Wait = Left * static_cast<double>(period().count());
  m_Next = Now + Duration(static_cast<Duration::rep>(Wait));
}

void SourceBudget::setHosts(std::size_t Hosts, TimePoint Now) {
  Hosts = std::max<std::size_t>(Hosts, 1);
  if (Hosts == m_Hosts)
    return;
  advance(Now);
  const Duration OldPeriod = period();
  m_Hosts = Hosts;
  rescale(OldPeriod, Now);
}

void SourceBudget::setReaders(std::size_t Readers) {
  m_ReserveLimit = Readers == 0
                       ? 0
                       : static_cast<std::size_t>(ReserveShare * m_Budget /
                                                  static_cast<double>(Readers));
  constexpr std::size_t MaxReserve = 4;
  m_ReserveLimit = std::min(m_ReserveLimit, MaxReserve);
  m_Reserve = std::min(m_Reserve, m_ReserveLimit);
}

void SourceBudget::setWatching(bool Watching, TimePoint Now) {
  if (Watching == m_Watching)
    return;
  advance(Now);
  const Duration OldPeriod = period();
  m_Watching = Watching;
  rescale(OldPeriod, Now);
}

void SourceBudget::advance(TimePoint Now) {
  const Duration Period = period();
  // After a long pause only the tokens that can still be used are earned.
  constexpr Duration::rep MaxExpiredPeriods = 8;
  const TimePoint Oldest = Now - TokenLifetime - Period * MaxExpiredPeriods;
  if (m_Next < Oldest)
    m_Next += Period * ((Oldest - m_Next) / Period);
  for (; m_Next <= Now; m_Next += Period)
    m_Earned.push_back(m_Next);
  while (!m_Earned.empty() && m_Earned.front() + TokenLifetime < Now) {
    m_Earned.pop_front();
    m_Reserve = std::min(m_Reserve + 1, m_ReserveLimit);
  }
}

std::size_t SourceBudget::available(TimePoint Now) {
  advance(Now);
  return m_Earned.size() + m_Reserve;
}

bool SourceBudget::tryConsume(TimePoint Now) {
  advance(Now);
  if (!m_Earned.empty()) {
    m_Earned.pop_front();
    return true;
  }
  if (m_Reserve == 0)
    return false;
  --m_Reserve;
  return true;
}

} // namespace dandelionfall::core
