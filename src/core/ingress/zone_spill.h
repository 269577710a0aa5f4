/// \file
/// Decides which requests leave the availability zone of the ingress, and how
/// many.
#ifndef DANDELIONFALL_CORE_INGRESS_ZONE_SPILL_H
#define DANDELIONFALL_CORE_INGRESS_ZONE_SPILL_H

#include "core/ingress/completion_estimate.h"
#include "core/ingress/target_choice.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelionfall::core::ingress {

/// Verdict on one request.
enum class ZoneVerdict : std::uint8_t {
  Stay,   ///< Leaving gains nothing, or less than it costs.
  Pays,   ///< The time gained is worth more than the transfer.
  InTime, ///< Only a target elsewhere is expected to answer in time.
};

/// Compares the best target at home with one elsewhere.
/// \param Home completion at the best target at home.
/// \param Away completion elsewhere.
/// \param Request the request.
/// \param PriceSeconds price of the transfer, as the time of the caller that is
/// worth the same.
ZoneVerdict weigh(const CompletionEstimate &Home,
                  const CompletionEstimate &Away, const RequestOutlook &Request,
                  double PriceSeconds);

/// Mean of values that lose half of their weight in each half-life.
class FadingMean {
public:
  explicit FadingMean(Duration HalfLife) : m_HalfLife(HalfLife) {}
  /// Adds a value.
  void add(double Value, TimePoint Now);
  /// \returns the mean; 0 if there is no value.
  double value() const { return m_Weight > 0 ? m_Sum / m_Weight : 0; }

private:
  Duration m_HalfLife;
  double m_Sum = 0;
  double m_Weight = 0;
  TimePoint m_At;
};

/// What else decides whether a request leaves for which leaving pays.
struct SpillTerms {
  /// Load at home, as a share of its limit, above which home is full for the
  /// request.
  double m_FullShare = 1;
  /// Probability of missing the soft deadline at home, beyond that elsewhere.
  /// At least this share leaves.
  double m_Risk = 0;
};

/// \returns the load at home, as a share of its limit, above which home is full
/// for a request; requests with little time tolerate no queue.
double fullHomeShare(const RequestOutlook &Request, double ServiceSeconds);

/// Shares out how many requests for one service leave the availability zone.
///
/// All ingresses of a zone see the same load at home. Each sends away the share
/// of its requests that exceeds the room there, selected at random, so that
/// together they send the excess.
class ZoneSpill {
public:
  ZoneSpill();
  /// Records the load at home that a new request finds.
  /// \param Load requests at all targets in the own availability zone.
  /// \param Limit requests that these can run concurrently.
  void recordPressure(double Load, double Limit, TimePoint Now);
  /// Decides on a new request and records the decision.
  /// \param Draw a random number from 0 to 1.
  /// \returns whether the request leaves.
  bool decide(ZoneVerdict Verdict, const SpillTerms &Terms, double Draw,
              TimePoint Now);

  /// \returns the smoothed load at home, as a share of the limit.
  double pressure() const { return m_Pressure.value(); }
  /// \returns the smoothed share of requests that leave.
  double sentShare() const { return m_Sent.value(); }
  /// \returns the share of requests that home has no room for, from 0 to 1.
  /// \param FullShare see `SpillTerms`.
  double excess(double FullShare) const;

  /// Checks whether requests began or ceased to leave since the last report.
  /// \returns the change, as `sends=yes` or `sends=no` with the figures, or
  /// nothing. Reports are limited in rate.
  std::optional<std::string> takeChange(TimePoint Now);

private:
  FadingMean m_Pressure;
  FadingMean m_Sent;
  /// Share of the requests for which leaving pays.
  FadingMean m_Willing;
  bool m_Sends = false;
  bool m_ReportedSends = false;
  std::optional<TimePoint> m_ReportedAt;
};

/// \returns the strategy that keeps requests in the availability zone unless
/// leaving it pays; has static lifetime.
const TargetChoice &pricedZones();

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_ZONE_SPILL_H
