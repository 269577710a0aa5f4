/// \file
/// Counters and distributions of one process, readable in the Prometheus text
/// format.
#ifndef DANDELIONFALL_APP_METRICS_H
#define DANDELIONFALL_APP_METRICS_H

#include "dandelionfall/core/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace dandelionfall::app {

/// Things that are counted; each has one row in the table of metrics.cpp.
enum class Counter : std::uint8_t {
  CallsAnswered,
  CallsNotRun,
  CallsUnknown,
  CallsNoRoute,
  CallerErrors,
  DispatchesSent,
  DispatchesTaken,
  TargetStarts,
  Refusals,
  ControlBytesSent,
  ControlBytesReceived,
  TrafficBytesSent,
  TrafficBytesReceived,
  SourceCalls,
};

/// Values that go up and down.
enum class Gauge : std::uint8_t {
  AppliedVersion,
  HeldVersion,
  Ready,
  ControlLinks,
  TargetInFlight,
  TargetLimit,
  TargetQueued,
};

/// Durations of which a distribution is kept.
enum class Timing : std::uint8_t {
  CallTotal,     ///< From a caller's whole request to the final answer.
  TargetService, ///< From the start at the target to its whole answer.
};

/// The process's metrics. Safe for use by several threads.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void add(Counter Which, std::uint64_t Amount = 1);
  void set(Gauge Which, double Value);
  void observe(Timing Which, core::Duration Value);
  /// \returns the count.
  std::uint64_t count(Counter Which) const;
  /// \returns all metrics in the Prometheus text format.
  std::string prometheusText() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_METRICS_H
