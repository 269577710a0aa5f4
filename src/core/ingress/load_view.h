/// \file
/// Load of one gate's target, as estimated by an ingress.
#ifndef DANDELIONFALL_CORE_INGRESS_LOAD_VIEW_H
#define DANDELIONFALL_CORE_INGRESS_LOAD_VIEW_H

#include "dandelionfall/core/traffic_message.h"

#include <cstdint>

namespace dandelionfall::core::ingress {

/// Combines the load reports of the gate with the ingress's own counts.
class LoadView {
public:
  /// Records a request sent to the gate.
  void recordSent();
  /// Records the end of a request sent to the gate.
  void recordEnded();
  /// Resets the state after a restart of the gate, which has no request left.
  void recordRestart();
  /// Records a load report of the gate.
  /// \param Ending requests of this ingress that the report no longer contains
  /// and whose end is not recorded yet.
  void recordReport(const Capacity &Report, TimePoint Now,
                    std::uint32_t Ending = 0);
  /// Records the round-trip time of a ping.
  void recordRoundTrip(Duration Sample);
  /// Records whether a request succeeded, that is, got a complete response
  /// without a server error.
  void recordResult(bool Succeeded, TimePoint Now);

  /// \returns the estimated number of requests that run or wait at the target.
  std::uint32_t load(TimePoint Now) const;
  /// \returns the expected number of requests that run or wait at the target. A
  /// report past its lifetime loses weight with its age.
  double expectedLoad(TimePoint Now) const;
  /// \returns the expected load if the other ingresses, which see the same
  /// report, have sent as many more requests since as this one has, in
  /// proportion to their usual share of the load.
  double crowdedLoad(TimePoint Now) const;
  /// \returns whether the gate has reported.
  bool isReported() const { return m_Reported; }
  /// \returns the service time as of the latest report, or 0.
  Duration serviceTime() const { return m_Report.m_ServiceTime; }
  /// \param Assumed the limit of a target that has not reported one.
  /// \returns the number of requests that the target can run concurrently.
  std::uint32_t limit(std::uint32_t Assumed) const;
  /// \param Assumed the limit of a target that has not reported one.
  /// \returns a cost that increases with load, latency and failures.
  double cost(std::uint32_t Assumed, TimePoint Now) const;
  /// \returns the smoothed share of failures, from 0 to 1; decays while there
  /// are no new results.
  double failureShare(TimePoint Now) const;
  /// \returns whether the target stated a rate, as of the latest report.
  bool isRateLimited() const { return m_Report.m_StatedRate.has_value(); }
  /// \returns the smoothed round-trip time.
  Duration roundTrip() const { return m_RoundTrip; }
  /// \returns the number of requests sent that have not ended.
  std::uint32_t outstanding() const { return m_Outstanding; }

private:
  Capacity m_Report;
  bool m_Reported = false;
  TimePoint m_ReportedAt;
  std::uint32_t m_Outstanding = 0;
  std::uint32_t m_SentSinceReport = 0;
  std::uint32_t m_OutstandingAtReport = 0;
  double m_MeanOwn = 0;
  double m_MeanOthers = 0;
  Duration m_RoundTrip{0};
  double m_FailureShare = 0;
  TimePoint m_LastResult;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_LOAD_VIEW_H
