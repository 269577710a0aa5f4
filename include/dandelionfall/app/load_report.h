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
  Answered,  ///< The target's whole answer, with a status below 400.
  NotRun,    ///< Refused as not run.
  Unknown,   ///< The request may have run.
  NoRoute,   ///< No route fits.
  HttpError, ///< Any other answer with a status of 400 or above.
  Failed,    ///< No whole answer: broken connection, protocol or time limit.
};

/// Counts and latencies of a load run. Latency runs from the instant at which a
/// call was due, so that a late start of the call counts against the service
/// and not in its favour.
class LoadReport {
public:
  /// \param Deadline time in which a call must have its final answer.
  explicit LoadReport(core::Duration Deadline) : m_Deadline(Deadline) {}

  /// Notes the end of a call.
  void record(LoadOutcome Outcome, core::Duration Latency);
  /// Notes how late a call was started.
  void recordStart(core::Duration Delay);
  /// \returns calls that ended so.
  std::uint64_t count(LoadOutcome Outcome) const;
  /// \returns all calls that ended.
  std::uint64_t total() const;
  /// \returns calls without a final answer by their deadline.
  std::uint64_t deadlineMisses() const { return m_DeadlineMisses; }
  /// Finds a percentile of the latency of answered calls, by nearest rank.
  /// \param Percent above 0 and up to 100.
  /// \returns the latency; 0 if no call was answered.
  core::Duration percentile(double Percent);
  /// \returns the counts as `key=value` pairs in one line; takes the same time
  /// however many calls there were.
  std::string counts() const;
  /// \returns the whole report as `key=value` pairs in one line.
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
