#include "core/ingress/target_choice.h"

#include "core/ingress/limits.h"
#include "core/ingress/zone_spill.h"
#include "dandelionfall/core/error.h"

#include <algorithm>
#include <array>
#include <string>

namespace dandelionfall::core::ingress {

namespace {

/// Selects the less loaded of two random targets in the nearest availability
/// zones with capacity. Targets that fail often are selected only if no other
/// has capacity.
class LeastLoadedOfTwo : public TargetChoice {
public:
  std::string_view name() const override { return "least-loaded-of-two"; }

  const Candidate *choose(const Candidates &Eligible,
                          const ChoiceContext &Context) const override {
    const Candidates Healthy = healthyOf(Eligible, Context);
    if (Healthy.size() < Eligible.size()) {
      const Candidates Available = nearestWithCapacity(Healthy, Context);
      if (!Available.empty())
        return chooseOfTwo(Available, Context);
    }
    const Candidates Available = nearestWithCapacity(Eligible, Context);
    return chooseOfTwo(Available.empty() ? Eligible : Available, Context);
  }

private:
  static Candidates healthyOf(const Candidates &Eligible,
                              const ChoiceContext &Context) {
    Candidates Healthy;
    for (const Candidate *Next : Eligible) {
      if (Next->m_Peer->m_Load.failureShare(Context.m_Now) <=
          UnhealthyFailureShare)
        Healthy.push_back(Next);
    }
    return Healthy;
  }

  // Returns the nearest targets below the spillover share of their limit; if
  // there are none, all targets with any capacity.
  static Candidates nearestWithCapacity(const Candidates &Eligible,
                                        const ChoiceContext &Context) {
    for (const Distance MaxDistance :
         {Distance::SameZone, Distance::SameRegion, Distance::OtherRegion}) {
      Candidates Available =
          withCapacity(Eligible, MaxDistance, SpilloverShare, Context);
      if (!Available.empty())
        return Available;
    }
    return withCapacity(Eligible, Distance::OtherRegion, 1.0, Context);
  }

  static Candidates withCapacity(const Candidates &Eligible,
                                 Distance MaxDistance, double Share,
                                 const ChoiceContext &Context) {
    Candidates Available;
    for (const Candidate *Next : Eligible) {
      if (Next->m_Distance > MaxDistance)
        continue;
      const LoadView &View = Next->m_Peer->m_Load;
      // A target with a limit of one can still run one request.
      const double UsableLimit = std::max(
          1.0, Share * View.limit(assumedLimit(*Next, Context.m_AssumedLimit)));
      if (View.load(Context.m_Now) + 1 <= UsableLimit)
        Available.push_back(Next);
    }
    return Available;
  }

  static const Candidate *chooseOfTwo(const Candidates &From,
                                      const ChoiceContext &Context) {
    const std::size_t First = Context.m_Random() % From.size();
    if (From.size() == 1)
      return From[First];
    const std::size_t Step = 1 + Context.m_Random() % (From.size() - 1);
    const std::size_t Second = (First + Step) % From.size();
    return cost(*From[Second], Context) < cost(*From[First], Context)
               ? From[Second]
               : From[First];
  }

  static double cost(const Candidate &Of, const ChoiceContext &Context) {
    return Of.m_Peer->m_Load.cost(assumedLimit(Of, Context.m_AssumedLimit),
                                  Context.m_Now);
  }
};

/// Selects the targets in turn, regardless of load and availability zone.
class RoundRobin : public TargetChoice {
public:
  std::string_view name() const override { return "round-robin"; }

  const Candidate *choose(const Candidates &Eligible,
                          const ChoiceContext &Context) const override {
    return Eligible[Context.m_Turn % Eligible.size()];
  }
};

} // namespace

std::span<const TargetChoice *const> targetChoices() {
  static const LeastLoadedOfTwo LeastLoaded;
  static const RoundRobin Rotating;
  static const std::array<const TargetChoice *, 3> All = {
      &LeastLoaded, &Rotating, &pricedZones()};
  return All;
}

const TargetChoice &findTargetChoice(std::string_view Name) {
  std::string Known;
  for (const TargetChoice *Choice : targetChoices()) {
    if (Choice->name() == Name)
      return *Choice;
    Known += Known.empty() ? "" : ", ";
    Known += Choice->name();
  }
  throw Error(ErrorKind::BadSettings,
              "unknown routing strategy '" + std::string(Name) + "'",
              "use one of: " + Known);
}

} // namespace dandelionfall::core::ingress
