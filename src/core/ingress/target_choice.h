/// \file
/// Strategies that choose the target of a request.
#ifndef DANDELIONFALL_CORE_INGRESS_TARGET_CHOICE_H
#define DANDELIONFALL_CORE_INGRESS_TARGET_CHOICE_H

#include "core/ingress/gate_peer.h"
#include "dandelionfall/core/configuration.h"

#include <algorithm>
#include <cstdint>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace dandelionfall::core::ingress {

/// How far a target is away; lower is nearer.
enum class Distance : std::uint8_t { SameZone, SameRegion, OtherRegion };

/// A target of an availability zone that is in.
struct Candidate {
  const Target *m_Target = nullptr;
  GatePeer *m_Peer = nullptr;
  Distance m_Distance = Distance::SameZone;
};

/// \param Assumed limit of a target that has reported none.
/// \returns the same, but no more than the target's slots.
inline std::uint32_t assumedLimit(const Candidate &Of, std::uint32_t Assumed) {
  return std::min(Assumed, Of.m_Target->m_Slots);
}

using Candidates = std::vector<const Candidate *>;

/// What a strategy may draw on besides the candidates.
struct ChoiceContext {
  /// Limit of a target that has reported none.
  std::uint32_t m_AssumedLimit = 1;
  TimePoint m_Now;
  std::mt19937_64 &m_Random;
  /// Number of choices so far.
  std::uint64_t m_Turn = 0;
};

/// Chooses one of several targets.
class TargetChoice {
public:
  virtual ~TargetChoice() = default;
  /// \returns the name by which settings select the strategy.
  virtual std::string_view name() const = 0;
  /// \param Eligible the targets that may be chosen, at least one.
  /// \param Context what else counts.
  /// \returns the chosen one of `Eligible`.
  virtual const Candidate *choose(const Candidates &Eligible,
                                  const ChoiceContext &Context) const = 0;
};

/// Lists all strategies.
/// \returns objects that live as long as the program.
std::span<const TargetChoice *const> targetChoices();

/// Finds a strategy.
/// \param Name the strategy's name.
/// \returns the strategy.
/// \throws Error if there is none of that name.
const TargetChoice &findTargetChoice(std::string_view Name);

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_TARGET_CHOICE_H
