#include "core/ingress/router.h"

#include "core/ingress/limits.h"
#include "core/ingress/rendezvous.h"

#include <algorithm>
#include <array>
#include <utility>

namespace dandelionfall::core::ingress {

namespace {

/// Readiness of a gate to receive a request; lower values are preferred.
enum Readiness : std::uint8_t { Linked, NotLinked, Unreliable, ReadinessCount };

bool isUnresponsive(const GatePeer &Peer, TimePoint Now) {
  const Duration PongTime = LatePongMargin + 2 * Peer.m_Load.roundTrip();
  return Peer.m_FailedOpens > 0 ||
         (Peer.m_PongDeadline && Now > Peer.m_PingSentAt + PongTime);
}

Readiness readiness(const GatePeer &Peer, TimePoint Now) {
  if (Now < Peer.m_BackoffUntil || isUnresponsive(Peer, Now))
    return Unreliable;
  return Peer.m_State == LinkState::Ready ? Linked : NotLinked;
}

bool isEligible(const GatePeer &Peer, Version AppliedVersion, TimePoint Now) {
  if (Peer.m_Draining || Peer.m_ZoneOutVersion > AppliedVersion)
    return false;
  if (Peer.m_Waiting.size() >= MaxWaitingPerGate)
    return false;
  return Peer.m_State != LinkState::Idle || Now >= Peer.m_BackoffUntil;
}

bool wasTried(const Call &Entry, const GatePeer &Peer) {
  return std::find(Entry.m_TriedGates.begin(), Entry.m_TriedGates.end(),
                   Peer.m_Address) != Entry.m_TriedGates.end();
}

bool anyHasCapacity(const Candidates &Group, Distance MaxDistance,
                    const ChoiceContext &Context) {
  return std::any_of(Group.begin(), Group.end(), [&](const Candidate *Next) {
    if (Next->m_Distance > MaxDistance)
      return false;
    const LoadView &View = Next->m_Peer->m_Load;
    return View.load(Context.m_Now) <
           View.limit(assumedLimit(*Next, Context.m_AssumedLimit));
  });
}

bool anyIsAtHome(const Candidates &Group) {
  return std::any_of(Group.begin(), Group.end(), [](const Candidate *Next) {
    return Next->m_Distance == Distance::SameZone;
  });
}

// Assumed size of the header of a request and that of its answer together.
constexpr double HeaderBytes = 1024;

} // namespace

Router::Router(const IngressOptions &Options)
    : m_Random(Options.m_Seed), m_Choice(findTargetChoice(Options.m_Strategy)),
      m_LeavingTargets(*Options.m_LeavingTargets),
      m_Prices(Options.m_ZonePrices) {}

const Candidate *
Router::choose(ServiceView &View, const Call &Entry, Version AppliedVersion,
               const std::optional<RequestFingerprint> &Suspect,
               TimePoint Now) {
  Candidates Usable;
  Usable.reserve(View.m_Candidates.size());
  for (const Candidate &Next : View.m_Candidates) {
    const GatePeer &Peer = *Next.m_Peer;
    if (isEligible(Peer, AppliedVersion, Now) && !isLeaving(*Next.m_Target) &&
        !wasTried(Entry, Peer))
      Usable.push_back(&Next);
  }
  if (Suspect)
    return chooseForSuspect(Usable, *Suspect, Now);
  std::array<Candidates, ReadinessCount> Groups;
  for (const Candidate *Next : Usable)
    Groups[readiness(*Next->m_Peer, Now)].push_back(Next);
  if (const Candidate *Unchecked = takeRateCheck(Groups[Linked], Now))
    return Unchecked;
  const ChoiceContext Context{View.m_Profile.m_ColdStartLimit,
                              Now,
                              m_Random,
                              m_Turn++,
                              View.m_Spill,
                              m_ZoneTraffic,
                              m_Prices,
                              outlookOf(Entry, Now)};
  const bool LinkedCounts =
      !m_Choice.prefersOwnZone() || !anyIsAtHome(Groups[NotLinked]);
  // Open links are preferred only while a target behind one of them has
  // capacity.
  if (!anyHasCapacity(Groups[Linked],
                      LinkedCounts ? Distance::OtherRegion : Distance::SameZone,
                      Context)) {
    Groups[NotLinked].insert(Groups[NotLinked].end(), Groups[Linked].begin(),
                             Groups[Linked].end());
    Groups[Linked].clear();
  }
  for (const Candidates &Group : Groups) {
    if (!Group.empty())
      return m_Choice.choose(Group, Context);
  }
  return nullptr;
}

RequestOutlook Router::outlookOf(const Call &Entry, TimePoint Now) const {
  RequestOutlook Result;
  Result.m_DeadlineLeft = Entry.m_Deadline - Now;
  Result.m_TimeLeft =
      (Now < Entry.m_SoftDeadline ? Entry.m_SoftDeadline : Entry.m_Deadline) -
      Now;
  Result.m_Bytes = HeaderBytes + m_AnswerSizes.expected(Entry.m_Kind);
  if (Entry.m_Request != nullptr)
    Result.m_Bytes += static_cast<double>(Entry.m_Request->m_Body.size());
  Result.m_TriedBefore = !Entry.m_TriedGates.empty();
  return Result;
}

void Router::recordAnswer(const Call &Entry, const HttpResponse &Response) {
  m_AnswerSizes.record(Entry.m_Kind, Response.m_Body.size());
}

// Targets that were down are not left out: each ingress remembers others, and
// the gate of one that is still down refuses the request.
const Candidate *Router::chooseForSuspect(const Candidates &Usable,
                                          const RequestFingerprint &Request,
                                          TimePoint Now) {
  const auto Rank = [&](const Candidate *Of) {
    return std::pair(!isUnresponsive(*Of->m_Peer, Now),
                     rendezvousRank(Of->m_Peer->m_Address, Request.m_Low));
  };
  const auto Highest =
      std::max_element(Usable.begin(), Usable.end(),
                       [&Rank](const Candidate *Left, const Candidate *Right) {
                         return Rank(Left) < Rank(Right);
                       });
  return Highest == Usable.end() ? nullptr : *Highest;
}

// Only a response withdraws a stated rate, and a rate-limited target loses each
// comparison with one that has room.
const Candidate *Router::takeRateCheck(const Candidates &Linked,
                                       TimePoint Now) {
  for (const Candidate *Next : Linked) {
    GatePeer &Peer = *Next->m_Peer;
    if (!Peer.m_Load.isRateLimited() || Now < Peer.m_NextRateCheck ||
        Peer.m_Load.failureShare(Now) > UnhealthyFailureShare)
      continue;
    Peer.m_NextRateCheck = Now + Peer.m_RateCheckInterval;
    return Next;
  }
  return nullptr;
}

bool Router::isLeaving(const Target &Entry) const {
  return !m_LeavingTargets.empty() &&
         m_LeavingTargets.contains(instanceOf(Entry));
}

bool Router::hasSpareCapacity(const ServiceView &View, const Candidate &Chosen,
                              TimePoint Now) {
  const LoadView &Load = Chosen.m_Peer->m_Load;
  const double UsableLimit =
      SpilloverShare *
      Load.limit(assumedLimit(Chosen, View.m_Profile.m_ColdStartLimit));
  return Load.load(Now) + 1 <= UsableLimit;
}

Duration Router::remainingBackoff(const ServiceView &View, TimePoint Now) {
  Duration Least{0};
  for (const Candidate &Next : View.m_Candidates) {
    const Duration Backoff = Next.m_Peer->m_BackoffUntil - Now;
    if (Backoff > Duration{0} && (Least == Duration{0} || Backoff < Least))
      Least = Backoff;
  }
  return Least;
}

} // namespace dandelionfall::core::ingress
