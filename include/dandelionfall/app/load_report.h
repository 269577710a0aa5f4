/// \file
/// Results of a load run.
#ifndef DANDELIONFALL_APP_LOAD_REPORT_H
#define DANDELIONFALL_APP_LOAD_REPORT_H

#include "dandelionfall/core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace dandelionfall::app {

/// How a call of a load run ended.
enum class LoadOutcome : std::uint8_t {
  Answered,  ///< The target's complete response, status below 400.
  NotRun,    ///< Refused; the request was not run.
  Unknown,   ///< The request may have run.
  NoRoute,   ///< No route matches.
  HttpError, ///< Any other response with a status of 400 or above.
  Failed,    ///< Connection failure, protocol error or timeout.
};

/// Counts and latencies of a load run. Latency is measured from the time at
/// which a call was due, so that it includes a late start of the call, which
/// would otherwise make the results look better than they are.
class LoadReport {
public:
  /// \param Deadline time within which a call must get its final response.
  explicit LoadReport(core::Duration Deadline) : m_Deadline(Deadline) {}

  /// Records the outcome and latency of a finished call.
  void record(LoadOutcome Outcome, core::Duration Latency);
  /// Records the delay between the due time of a call and its start.
  void recordStart(core::Duration Delay);
  /// \returns number of calls with the outcome.
  std::uint64_t count(LoadOutcome Outcome) const;
  /// \returns number of finished calls.
  std::uint64_t total() const;
  /// \returns number of calls without a final response by their deadline.
  std::uint64_t deadlineMisses() const { return m_DeadlineMisses; }
  /// Computes a percentile of the latency of answered calls by nearest rank.
  /// \param Percent above 0 and up to 100.
  /// \returns the latency; 0 if no call was answered.
  core::Duration percentile(double Percent);
  /// \returns the counts as one line of `key=value` pairs; takes constant
  /// time, however many calls were recorded.
  std::string counts() const;
  /// \returns the complete report as one line of `key=value` pairs.
  std::string summary();

private:
  static constexpr std::size_t Outcomes = 6;

  core::Duration m_Deadline;
  std::array<std::uint64_t, Outcomes> m_Counts{};
  std::uint64_t m_DeadlineMisses = 0;
  std::uint64_t m_InTime = 0;
  core::Duration m_MaxStartDelay{0};
  std::vector<core::Duration> m_Latencies;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_LOAD_REPORT_H
