#include "core/registry/call_backoff.h"

#include "core/registry/limits.h"

#include <algorithm>

namespace dandelionfall::core::registry {

Duration retryDelay(unsigned Failures, std::mt19937_64 &Random) {
  constexpr unsigned MaxDoublings = 8;
  const unsigned Doublings = std::min(Failures - 1, MaxDoublings);
  const Duration Delay =
      std::min(FirstRetryDelay * (1U << Doublings), MaxRetryDelay);
  std::uniform_int_distribution<Duration::rep> Jitter(Delay.count() / 2,
                                                      Delay.count());
  return Duration(Jitter(Random));
}

Duration spreadDelay(Duration Spread, std::mt19937_64 &Random) {
  std::uniform_int_distribution<Duration::rep> Jitter(0, Spread.count());
  return Duration(Jitter(Random));
}

} // namespace dandelionfall::core::registry
