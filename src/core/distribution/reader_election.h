/// \file
/// Which hosts read the platform's configuration service.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_READER_ELECTION_H
#define DANDELIONFALL_CORE_DISTRIBUTION_READER_ELECTION_H

#include "dandelionfall/core/host_list.h"
#include "dandelionfall/core/time.h"

#include <cstddef>
#include <string_view>

namespace dandelionfall::core {

/// Readers of each availability zone in ordinary times.
inline constexpr std::size_t ReadersPerZone = 3;

/// Position of a host among the hosts of its availability zone, by rendezvous
/// hash.
/// \param List the hosts; those that leave are passed over.
/// \param Host the host, which the list need not have.
/// \param Zone its availability zone.
/// \returns the number of hosts that go before it.
std::size_t readerRank(const HostList &List, std::string_view Host,
                       std::string_view Zone);

/// How long readers must have been silent before a host reads in their place.
/// \param Rank the host's rank.
/// \param AnyCall true for the silence since any call, false for the silence
/// since a call that was answered.
/// \returns the time, which grows with the rank, so that one host at a time
/// takes over.
Duration takeoverDelay(std::size_t Rank, bool AnyCall);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_READER_ELECTION_H
