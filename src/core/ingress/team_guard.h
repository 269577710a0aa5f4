/// \file
/// Decides whose request a caller's is, by its key.
#ifndef DANDELIONFALL_CORE_INGRESS_TEAM_GUARD_H
#define DANDELIONFALL_CORE_INGRESS_TEAM_GUARD_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/ingress.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace dandelionfall::core::ingress {

/// Result of `identifyTeam`.
struct TeamDecision {
  /// The team; null if the route needs none, or if the request is rejected.
  const Team *m_Team = nullptr;
  /// Set if the request is rejected.
  std::optional<CallOutcome> m_Rejection;
  const char *m_Cause = "";
  /// Time after which the caller should try again; 0 if it should not.
  Duration m_RetryAfter{0};
};

/// Finds the team of a request.
/// \param Config the applied version.
/// \param Chosen the route of the request.
/// \param Key the caller's key; empty if it sent none.
/// \param ProofAge age of the proof that the version is the newest, if there is
/// one.
/// \param MaxProofAge age up to which a key is accepted; unset if keys need no
/// proof. Without a proof an unknown key is not rejected for good, since a
/// newer version may hold it.
TeamDecision identifyTeam(const Configuration &Config, const Route &Chosen,
                          std::string_view Key,
                          const std::optional<Duration> &ProofAge,
                          const std::optional<Duration> &MaxProofAge);

/// \returns the priority of a request at gates: that of the team goes before
/// that of the route. Requests without a team are mostly sent by targets that
/// serve a request with one, and go first.
std::uint32_t combinedPriority(const Team *Owner, const Route &Chosen);

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_TEAM_GUARD_H
