#include "core/ingress/team_guard.h"

#include <algorithm>

namespace dandelionfall::core::ingress {

namespace {

/// Time in which a node that is reached by others has a proof again.
constexpr Duration ProofRetryAfter = std::chrono::milliseconds(500);

/// Values of a route's priority that are told apart within a team.
constexpr std::uint32_t RoutePriorities = 1U << 16U;

} // namespace

TeamDecision identifyTeam(const Configuration &Config, const Route &Chosen,
                          std::string_view Key,
                          const std::optional<Duration> &ProofAge,
                          const std::optional<Duration> &MaxProofAge) {
  TeamDecision Result;
  if (Config.m_Teams == nullptr || Chosen.m_Public)
    return Result;
  if (MaxProofAge && (!ProofAge || *ProofAge > *MaxProofAge)) {
    Result.m_Rejection = CallOutcome::NotRun;
    Result.m_Cause = "the node can't tell whether the key is still in force";
    Result.m_RetryAfter = ProofRetryAfter;
    return Result;
  }
  Result.m_Team = Config.m_Teams->findByKey(Key);
  if (Result.m_Team != nullptr)
    return Result;
  Result.m_Rejection = CallOutcome::UnknownKey;
  Result.m_Cause = Key.empty() ? "the request has no key"
                               : "no team holds the key of the request";
  return Result;
}

std::uint32_t combinedPriority(const Team *Owner, const Route &Chosen) {
  if (Owner == nullptr)
    return Chosen.m_Priority;
  return Owner->m_Priority * RoutePriorities +
         std::min(Chosen.m_Priority, RoutePriorities - 1);
}

} // namespace dandelionfall::core::ingress
