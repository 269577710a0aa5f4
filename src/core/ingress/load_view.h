/// \file
/// What an ingress knows of the load of one gate's target.
#ifndef DANDELIONFALL_CORE_INGRESS_LOAD_VIEW_H
#define DANDELIONFALL_CORE_INGRESS_LOAD_VIEW_H

#include "dandelionfall/core/traffic_message.h"

#include <cstdint>

namespace dandelionfall::core::ingress {

/// Joins the gate's reports with the ingress's own count.
class LoadView {
public:
  /// Notes a request handed to the gate.
  void recordSent();
  /// Notes that a request handed to the gate has ended.
  void recordEnded();
  /// Notes that nothing of what was sent is left at the gate.
  void recordRestart();
  /// Notes the gate's report.
  void recordReport(const Capacity &Report, TimePoint Now);
  /// Notes the round trip of a ping.
  void recordRoundTrip(Duration Sample);
  /// Notes whether a request came to a whole answer.
  void recordResult(bool Succeeded, TimePoint Now);

  /// \returns the requests that run or wait at the target, as far as known.
  std::uint32_t load(TimePoint Now) const;
  /// \param Assumed the limit of a target that has reported none.
  /// \returns the requests that the target may run at once.
  std::uint32_t limit(std::uint32_t Assumed) const;
  /// \param Assumed the limit of a target that has reported none.
  /// \returns a cost that rises with load, latency and failures.
  double cost(std::uint32_t Assumed, TimePoint Now) const;
  /// \returns the smoothed share of failures, from 0 to 1; it fades while there
  /// is no new evidence.
  double failureShare(TimePoint Now) const;
  /// \returns the smoothed round trip.
  Duration roundTrip() const { return m_RoundTrip; }
  /// \returns the requests sent and not ended.
  std::uint32_t outstanding() const { return m_Outstanding; }

private:
  Capacity m_Report;
  bool m_Reported = false;
  TimePoint m_ReportedAt;
  std::uint32_t m_Outstanding = 0;
  std::uint32_t m_SentSinceReport = 0;
  Duration m_RoundTrip{0};
  double m_FailureShare = 0;
  TimePoint m_LastResult;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_LOAD_VIEW_H
