#include "dandelionfall/app/load_report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <sstream>

namespace dandelionfall::app {

namespace {

constexpr double HundredPercent = 100;

/// Percentile with its key in the report.
struct PercentileRow {
  const char *m_Key;
  double m_Percent;
};

constexpr PercentileRow Percentiles[] = {
    {"p50_ms", 50},     {"p90_ms", 90},       {"p99_ms", 99},
    {"p99_9_ms", 99.9}, {"p99_99_ms", 99.99}, {"max_ms", 100},
};

/// Outcome with its key in the report.
struct OutcomeRow {
  const char *m_Key;
  LoadOutcome m_Outcome;
};

constexpr OutcomeRow OutcomeRows[] = {
    {"answered", LoadOutcome::Answered},    {"not_run", LoadOutcome::NotRun},
    {"unknown", LoadOutcome::Unknown},      {"no_route", LoadOutcome::NoRoute},
    {"http_error", LoadOutcome::HttpError}, {"failed", LoadOutcome::Failed},
};

double milliseconds(core::Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

} // namespace

void LoadReport::record(LoadOutcome Outcome, core::Duration Latency) {
  ++m_Counts.at(static_cast<std::size_t>(Outcome));
  const bool IsLate = Latency > m_Deadline || Outcome == LoadOutcome::Failed;
  m_DeadlineMisses += IsLate ? 1 : 0;
  if (Outcome != LoadOutcome::Answered)
    return;
  m_InTime += IsLate ? 0 : 1;
  m_Latencies.push_back(Latency);
}

void LoadReport::recordStart(core::Duration Delay) {
  m_MaxStartDelay = std::max(m_MaxStartDelay, Delay);
}

std::uint64_t LoadReport::count(LoadOutcome Outcome) const {
  return m_Counts.at(static_cast<std::size_t>(Outcome));
}

std::uint64_t LoadReport::total() const {
  return std::accumulate(m_Counts.begin(), m_Counts.end(), std::uint64_t{0});
}

core::Duration LoadReport::percentile(double Percent) {
  if (m_Latencies.empty())
    return core::Duration::zero();
  const double Rank = std::ceil(Percent / HundredPercent *
                                static_cast<double>(m_Latencies.size()));
  const auto Index = static_cast<std::size_t>(std::max(Rank, 1.0)) - 1;
  const auto Chosen = m_Latencies.begin() + static_cast<std::ptrdiff_t>(Index);
  std::nth_element(m_Latencies.begin(), Chosen, m_Latencies.end());
  return *Chosen;
}

std::string LoadReport::counts() const {
  std::ostringstream Stream;
  Stream << "calls=" << total();
  for (const OutcomeRow &Row : OutcomeRows)
    Stream << " " << Row.m_Key << "=" << count(Row.m_Outcome);
  Stream << " deadline_misses=" << m_DeadlineMisses;
  return Stream.str();
}

std::string LoadReport::summary() {
  const double InTime = total() == 0
                            ? 0
                            : HundredPercent * static_cast<double>(m_InTime) /
                                  static_cast<double>(total());
  std::ostringstream Stream;
  Stream << std::fixed << std::setprecision(3) << counts()
         << " in_time_pct=" << InTime;
  for (const PercentileRow &Row : Percentiles)
    Stream << " " << Row.m_Key << "="
           << milliseconds(percentile(Row.m_Percent));
  Stream << " latest_start_ms=" << milliseconds(m_MaxStartDelay);
  return Stream.str();
}

} // namespace dandelionfall::app
