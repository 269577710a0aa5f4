/// \file
/// Spreads the return of rejected callers over time.
#ifndef DANDELIONFALL_CORE_INGRESS_RETURN_SPREAD_H
#define DANDELIONFALL_CORE_INGRESS_RETURN_SPREAD_H

#include "dandelionfall/core/time.h"

#include <cstdint>
#include <random>

namespace dandelionfall::core::ingress {

/// Callers that are rejected until the same instant, such as the end of an
/// outage, would all return at it and be rejected once more. Their retry times
/// are spread over a share of the time until then.
class ReturnSpread {
public:
  /// Share of the time until there is room over which callers return.
  static constexpr double Share = 0.5;

  explicit ReturnSpread(std::uint64_t Seed) : m_Random(Seed) {}

  /// \param Earliest time until there is room, not negative.
  /// \returns a time from \p Earliest on, at most longer by `Share`.
  Duration spread(Duration Earliest);

private:
  std::mt19937_64 m_Random;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_RETURN_SPREAD_H
