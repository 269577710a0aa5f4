#include "core/ingress/load_view.h"

#include "core/ingress/limits.h"

#include <algorithm>
#include <cmath>

namespace dandelionfall::core::ingress {

namespace {

// Keeps targets without a measured latency comparable to fast ones.
constexpr Duration MinLatency = std::chrono::milliseconds(1);
// Weight of a report in the mean shares of this ingress and of the others.
constexpr double CrowdWeight = 0.05;
// Most requests that others are taken to send for each own one.
constexpr double MaxCrowd = 8;

} // namespace

void LoadView::recordSent() {
  ++m_Outstanding;
  ++m_SentSinceReport;
}

void LoadView::recordEnded() {
  if (m_Outstanding > 0)
    --m_Outstanding;
}

void LoadView::recordRestart() { *this = LoadView(); }

void LoadView::recordReport(const Capacity &Report, TimePoint Now,
                            std::uint32_t Ending) {
  m_Report = Report;
  m_Reported = true;
  m_ReportedAt = Now;
  m_SentSinceReport = 0;
  m_OutstandingAtReport = m_Outstanding - std::min(m_Outstanding, Ending);
  const std::uint32_t Total = Report.m_InFlight + Report.m_Queued;
  const auto Smooth = [](double &Mean, std::uint32_t Sample) {
    Mean += CrowdWeight * (Sample - Mean);
  };
  Smooth(m_MeanOwn, m_OutstandingAtReport);
  Smooth(m_MeanOthers, Total - std::min(Total, m_OutstandingAtReport));
}

void LoadView::recordRoundTrip(Duration Sample) {
  if (m_RoundTrip == Duration{0}) {
    m_RoundTrip = Sample;
    return;
  }
  const double Smoothed =
      static_cast<double>(m_RoundTrip.count()) * (1 - SmoothingWeight) +
      static_cast<double>(Sample.count()) * SmoothingWeight;
  m_RoundTrip = Duration(static_cast<Duration::rep>(Smoothed));
}

void LoadView::recordResult(bool Succeeded, TimePoint Now) {
  const double Sample = Succeeded ? 0.0 : 1.0;
  m_FailureShare =
      failureShare(Now) * (1 - SmoothingWeight) + Sample * SmoothingWeight;
  m_LastResult = Now;
}

double LoadView::failureShare(TimePoint Now) const {
  if (m_FailureShare <= 0)
    return 0;
  const std::chrono::duration<double> SinceLastResult = Now - m_LastResult;
  const std::chrono::duration<double> HalfLife = FailureHalfLife;
  return m_FailureShare * std::exp2(-SinceLastResult / HalfLife);
}

std::uint32_t LoadView::load(TimePoint Now) const {
  if (!m_Reported || Now - m_ReportedAt > ReportLifetime)
    return m_Outstanding;
  // Requests of this ingress may have been on their way when the report was
  // sent.
  return std::max(m_Outstanding,
                  m_Report.m_InFlight + m_Report.m_Queued + m_SentSinceReport);
}

double LoadView::expectedLoad(TimePoint Now) const {
  // The ingress knows its own share exactly; that of the others is taken to
  // last.
  const std::uint32_t Total = m_Report.m_InFlight + m_Report.m_Queued;
  const double OfOthers = Total - std::min(Total, m_OutstandingAtReport);
  const std::chrono::duration<double> Overdue =
      std::max(Duration{0}, Now - m_ReportedAt - ReportLifetime);
  const std::chrono::duration<double> HalfLife = ReportLifetime;
  return m_Outstanding + OfOthers * std::exp2(-Overdue / HalfLife);
}

double LoadView::crowdedLoad(TimePoint Now) const {
  const double Sent =
      static_cast<double>(m_Outstanding) - m_OutstandingAtReport;
  if (Sent <= 0 || m_MeanOwn <= 0)
    return expectedLoad(Now);
  return expectedLoad(Now) +
         Sent * std::min(MaxCrowd, m_MeanOthers / m_MeanOwn);
}

std::uint32_t LoadView::limit(std::uint32_t Assumed) const {
  return std::max(1U, m_Reported ? m_Report.m_Limit : Assumed);
}

double LoadView::cost(std::uint32_t Assumed, TimePoint Now) const {
  const Duration Latency =
      std::max(MinLatency, m_Report.m_ServiceTime + m_RoundTrip);
  const double Occupancy =
      static_cast<double>(load(Now) + 1) / static_cast<double>(limit(Assumed));
  return Occupancy * static_cast<double>(Latency.count()) *
         (1 + FailurePenalty * failureShare(Now));
}

} // namespace dandelionfall::core::ingress
