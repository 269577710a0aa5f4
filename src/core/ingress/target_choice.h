/// \file
/// Strategies that select the target of a request.
#ifndef DANDELIONFALL_CORE_INGRESS_TARGET_CHOICE_H
#define DANDELIONFALL_CORE_INGRESS_TARGET_CHOICE_H

#include "core/ingress/gate_peer.h"
#include "core/ingress/limits.h"
#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/zone_traffic.h"

#include <algorithm>
#include <cstdint>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace dandelionfall::core::ingress {

/// Distance of a target; lower is nearer.
enum class Distance : std::uint8_t { SameZone, SameRegion, OtherRegion };

/// A target in an availability zone that is in.
struct Candidate {
  const Target *m_Target = nullptr;
  GatePeer *m_Peer = nullptr;
  Distance m_Distance = Distance::SameZone;
};

/// \param Assumed the limit of a target that has not reported one.
/// \returns the assumed limit, capped at the target's slots.
inline std::uint32_t assumedLimit(const Candidate &Of, std::uint32_t Assumed) {
  return std::min(Assumed, Of.m_Target->m_Slots);
}

using Candidates = std::vector<const Candidate *>;

class ZoneSpill;

/// What is known of a request when its target is selected.
struct RequestOutlook {
  /// Time left until the soft deadline, or until the deadline once the soft one
  /// has passed.
  Duration m_TimeLeft = MaxDeadline;
  /// Time left until the deadline.
  Duration m_DeadlineLeft = MaxDeadline;
  /// Expected size of the request and its answer.
  double m_Bytes = 0;
  /// Whether a target was selected for the request before.
  bool m_TriedBefore = false;
};

/// Inputs of a strategy other than the candidates.
struct ChoiceContext {
  /// Limit of a target that has not reported one.
  std::uint32_t m_AssumedLimit = 1;
  TimePoint m_Now;
  std::mt19937_64 &m_Random;
  /// Number of choices made so far.
  std::uint64_t m_Turn = 0;
  /// Share of the service's requests that leave the availability zone.
  ZoneSpill &m_Spill;
  ZoneTrafficCounts &m_Counts;
  ZonePrices m_Prices{};
  RequestOutlook m_Request{};
};

/// Selects one of several targets.
class TargetChoice {
public:
  virtual ~TargetChoice() = default;
  /// \returns the name of the strategy in the settings.
  virtual std::string_view name() const = 0;
  /// \param Eligible targets to select from; not empty.
  /// \param Context the other inputs.
  /// \returns the selected element of `Eligible`.
  virtual const Candidate *choose(const Candidates &Eligible,
                                  const ChoiceContext &Context) const = 0;
  /// \returns whether targets elsewhere must not keep those in the own
  /// availability zone from being offered.
  virtual bool prefersOwnZone() const { return false; }
};

/// Lists all strategies.
/// \returns objects with static lifetime.
std::span<const TargetChoice *const> targetChoices();

/// Finds a strategy by name.
/// \throws Error if there is none of that name.
const TargetChoice &findTargetChoice(std::string_view Name);

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_TARGET_CHOICE_H
