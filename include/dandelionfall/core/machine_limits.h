/// \file
/// What the machine of a node can bear, as stated by the deployment.
#ifndef DANDELIONFALL_CORE_MACHINE_LIMITS_H
#define DANDELIONFALL_CORE_MACHINE_LIMITS_H

#include "dandelionfall/core/byte_budget.h"

#include <cstddef>
#include <cstdint>

namespace dandelionfall::core {

/// Limits of a machine; 0 where one is not stated.
struct MachineLimits {
  /// Share of each core that the process may use.
  double m_ProcessorShare = 0;
  std::uint32_t m_Cores = 0;
  std::uint32_t m_MemoryMb = 0;
  /// Descriptors that the process may hold open.
  std::uint32_t m_Descriptors = 0;
  /// Rate of the machine's own network link, in Mbit/s.
  double m_LinkMbps = 0;
  friend bool operator==(const MachineLimits &,
                         const MachineLimits &) = default;
};

/// \returns how many other nodes may follow the revisions of a node on this
/// machine: as many as a small, fixed share of its processor, link and
/// descriptors carries, and at least a few.
std::size_t maxFollowers(const MachineLimits &Limits);

/// \returns the limits of the bytes that the bodies of all callers' requests
/// may take together, with the copies on their way: a share of the memory.
ByteBudgetLimits callerBodyLimits(const MachineLimits &Limits);

/// \returns the same for the requests that arrive from other nodes.
ByteBudgetLimits gateBodyLimits(const MachineLimits &Limits);

/// \param MaxBodyBytes size of the largest body.
/// \returns budgets for the responses of the local target, a share of the
/// memory. One response of the largest size fits beside the others, unless
/// that alone takes too much of it.
ResponseMemory targetResponseMemory(const MachineLimits &Limits,
                                    std::uint64_t MaxBodyBytes);

/// \returns the same for the responses that are on their way to callers.
ResponseMemory callerResponseMemory(const MachineLimits &Limits,
                                    std::uint64_t MaxBodyBytes);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_MACHINE_LIMITS_H
