/// \file
/// Rendezvous hashing of gates.
#ifndef DANDELIONFALL_CORE_INGRESS_RENDEZVOUS_H
#define DANDELIONFALL_CORE_INGRESS_RENDEZVOUS_H

#include <cstdint>
#include <functional>
#include <string>

namespace dandelionfall::core::ingress {

/// \returns the rank of a gate for a key. Each key orders the gates
/// differently, and whoever uses the same key gets the same order.
inline std::uint64_t rendezvousRank(const std::string &GateAddress,
                                    std::uint64_t Key) {
  constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15U;
  const std::uint64_t Mixed =
      (std::hash<std::string>()(GateAddress) ^ Key) * Multiplier;
  return Mixed ^ (Mixed >> 32U);
}

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_RENDEZVOUS_H
