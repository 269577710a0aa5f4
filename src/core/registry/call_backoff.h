/// \file
/// Delay before a failed call to a shared store is repeated.
#ifndef DANDELIONFALL_SRC_CORE_REGISTRY_CALL_BACKOFF_H
#define DANDELIONFALL_SRC_CORE_REGISTRY_CALL_BACKOFF_H

#include "dandelionfall/core/time.h"

#include <random>

namespace dandelionfall::core::registry {

/// Exponential backoff with jitter, which spreads out nodes that lost the store
/// at the same time.
/// \param Failures consecutive failed calls; at least 1.
/// \returns the delay before the next call.
Duration retryDelay(unsigned Failures, std::mt19937_64 &Random);

/// \param Spread time over which the calls of many nodes are spread.
/// \returns a random delay of at most that time.
Duration spreadDelay(Duration Spread, std::mt19937_64 &Random);

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_SRC_CORE_REGISTRY_CALL_BACKOFF_H
