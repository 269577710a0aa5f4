/// \file
/// What the less urgent requests keep where there is too little room.
#ifndef DANDELIONFALL_CORE_GATE_URGENCY_H
#define DANDELIONFALL_CORE_GATE_URGENCY_H

#include "dandelionfall/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace dandelionfall::core::gate {

/// Rank of a request where there is too little room: 0 is the most urgent.
using Rank = std::uint32_t;

/// Counts, for each rank, the requests that asked for the target and those that
/// have a place there, over the last seconds. A rank is short while the served
/// part of its requests is below a quarter of the served part of all requests.
/// The requests of a short rank compete with the most urgent ones as equals.
class ServedShares {
public:
  /// Time in which the weight of what was counted halves.
  static constexpr Duration HalfLife = std::chrono::seconds(2);
  /// A rank is short below this part of the share of all.
  static constexpr double KeptPart = 0.25;
  /// Limit on distinct ranks; further ones count as the least urgent of them.
  static constexpr std::size_t MaxRanks = 64;

  /// Counts a request that arrived.
  void recordAsked(Rank Of, TimePoint Now);
  /// Counts a request that was admitted.
  void recordServed(Rank Of, TimePoint Now);
  /// Takes back the count of an admitted request that was refused after all.
  void recordLost(Rank Of, TimePoint Now);
  /// \returns the rank with which a request competes: its own or, if that one
  /// is short, the most urgent one that asked.
  Rank competingRank(Rank Own) const;
  /// \returns the requests per second that were admitted of more urgent ranks.
  double moreUrgentRate(Rank Than) const;

private:
  struct Counts {
    double m_Asked = 0;
    double m_Served = 0;
  };

  void decay(TimePoint Now);
  Counts &countsOf(Rank Of);

  std::map<Rank, Counts> m_ByRank;
  Counts m_All;
  /// Time up to which the counts have decayed.
  TimePoint m_DecayedAt = TimePoint::min();
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_URGENCY_H
