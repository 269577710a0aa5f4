/// \file
/// Elects the hosts that read the platform's configuration service.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_READER_ELECTION_H
#define DANDELIONFALL_CORE_DISTRIBUTION_READER_ELECTION_H

#include "dandelionfall/core/host_list.h"
#include "dandelionfall/core/time.h"

#include <cstddef>
#include <string_view>

namespace dandelionfall::core {

/// Number of elected readers in each availability zone.
inline constexpr std::size_t ReadersPerZone = 3;

/// Ranks a host among the hosts of its availability zone by rendezvous hashing.
/// \param List the hosts; leaving hosts are skipped.
/// \param Host the host, which need not be in the list.
/// \param Zone the host's availability zone.
/// \returns the number of hosts that precede it.
std::size_t readerRank(const HostList &List, std::string_view Host,
                       std::string_view Zone);

/// How long readers must have been silent before a host reads in their place.
/// \param Rank the host's rank.
/// \param AnyCall true for the time since any call, false for the time since a
/// call that was answered.
/// \returns the time, which grows with the rank so that hosts take over one at
/// a time; 0 for elected readers.
Duration takeoverDelay(std::size_t Rank, bool AnyCall);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_READER_ELECTION_H
