/// \file
/// What operators state about traffic between availability zones, and how much
/// of it an ingress has caused.
#ifndef DANDELIONFALL_CORE_ZONE_TRAFFIC_H
#define DANDELIONFALL_CORE_ZONE_TRAFFIC_H

#include <cstdint>

namespace dandelionfall::core {

/// Prices of traffic between availability zones, in any unit as long as both
/// have the same.
struct ZonePrices {
  /// Price of 10^9 bytes that leave the availability zone or return to it.
  double m_PerGigabyte = 0;
  /// Worth of one second less for which a caller waits.
  double m_WorthOfSecond = 1;
  friend bool operator==(const ZonePrices &, const ZonePrices &) = default;
};

/// Requests of an ingress by the availability zone that they were sent to, and
/// by the reason for it.
struct ZoneTrafficCounts {
  /// Sent to a target in the ingress's own availability zone.
  std::uint64_t m_Kept = 0;
  /// Sent away because the time gained is worth more than the transfer.
  std::uint64_t m_SentForGain = 0;
  /// Sent away because only a target elsewhere is expected to answer in time.
  std::uint64_t m_SentForDeadline = 0;
  /// Sent away because no target at home accepts requests.
  std::uint64_t m_SentForLackOfTargets = 0;
  friend bool operator==(const ZoneTrafficCounts &,
                         const ZoneTrafficCounts &) = default;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_ZONE_TRAFFIC_H
