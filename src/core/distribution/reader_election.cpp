#include "core/distribution/reader_election.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

namespace {

using Score = std::pair<std::uint64_t, std::string_view>;

Score scoreOf(std::string_view Host, std::uint64_t ZoneSeed) {
  return {XXH3_64bits_withSeed(Host.data(), Host.size(), ZoneSeed), Host};
}

} // namespace

std::size_t readerRank(const HostList &List, std::string_view Host,
                       std::string_view Zone) {
  const std::uint64_t ZoneSeed = XXH3_64bits(Zone.data(), Zone.size());
  const Score Own = scoreOf(Host, ZoneSeed);
  std::size_t Rank = 0;
  for (const HostEntry &Entry : List.m_Hosts) {
    if (Entry.m_Zone != Zone || Entry.m_State != HostState::Live)
      continue;
    if (scoreOf(Entry.m_Name, ZoneSeed) > Own)
      ++Rank;
  }
  return Rank;
}

Duration takeoverDelay(std::size_t Rank, bool AnyCall) {
  if (Rank < ReadersPerZone)
    return Duration(0);
  const std::size_t StandbyRank = Rank - ReadersPerZone;
  // Information about a call spreads with heartbeats, one hop per second.
  constexpr Duration Silence = std::chrono::seconds(5);
  constexpr Duration Step = std::chrono::seconds(1);
  // The limit lets a small group of hosts read that is partitioned from the
  // first ranks.
  constexpr std::size_t MaxSteps = 10;
  if (AnyCall)
    return Silence +
           Step * static_cast<Duration::rep>(std::min(StandbyRank, MaxSteps));
  // While the source is down, the time doubles with each rank, so that the
  // number of callers grows logarithmically with the length of the outage.
  constexpr Duration Outage = std::chrono::seconds(30);
  constexpr std::size_t MaxDoublings = 16;
  return Outage * (Duration::rep{1} << std::min(StandbyRank, MaxDoublings));
}

} // namespace dandelionfall::core
