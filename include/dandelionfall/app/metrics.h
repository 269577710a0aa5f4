/// \file
/// Counters, gauges and latency distributions of one process, exported in the
/// Prometheus text format.
#ifndef DANDELIONFALL_APP_METRICS_H
#define DANDELIONFALL_APP_METRICS_H

#include "dandelionfall/core/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace dandelionfall::app {

/// Monotonic counters; each has one row in the table in metrics.cpp.
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
  BodiesRefused,
  CallsUnknownKey,
  CallsOverQuota,
  CallsPipelined,
  ZoneRequestsKept,
  ZoneRequestsSentForGain,
  ZoneRequestsSentForDeadline,
  ZoneRequestsSentForLackOfTargets,
  CreditRequestsSent,
  CreditsGranted,
  CreditRequestsDenied,
};

/// Values that can rise and fall.
enum class Gauge : std::uint8_t {
  AppliedVersion,
  HeldVersion,
  Ready,
  ControlLinks,
  TargetInFlight,
  TargetLimit,
  TargetQueued,
  BodyHeldBytes,
  BodyLimitBytes,
  BodiesWaiting,
  ResponseHeldBytes,
  ResponseLimitBytes,
  ResponsesWaiting,
  ProofAge,
};

/// Durations whose distribution is recorded.
enum class Timing : std::uint8_t {
  CallTotal,     ///< From a caller's complete request to the final response.
  TargetService, ///< From the start at the target to its complete response.
};

/// The process's metrics. Thread-safe.
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
