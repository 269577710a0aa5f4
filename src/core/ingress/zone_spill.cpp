#include "core/ingress/zone_spill.h"

#include "core/ingress/limits.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace dandelionfall::core::ingress {

namespace {

// Load at home above which requests leave, as a share of its limit: a short
// queue, without which targets would idle between two reports. Requests with
// little time leave at less, down to the least share.
constexpr double FullHomeShare = 1.25;
constexpr double LeastFullHomeShare = 0.75;
// Time left, in service times, from which requests tolerate the short queue,
// and from which they tolerate none.
constexpr double AmpleServiceTimes = 4;
constexpr double ScarceServiceTimes = 2;
// Times in which a sample loses half of its weight. Decisions must fade more
// slowly than pressure: both are compared with each other, and one that follows
// the other with the same delay makes them swing.
constexpr Duration PressureHalfLife = std::chrono::milliseconds(500);
constexpr Duration DecisionHalfLife = std::chrono::seconds(3);
// Keeps a rare kind of request from leaving all at once.
constexpr double MinWillingShare = 0.05;
// Shares of leaving requests at which they count as sent away, and no longer.
constexpr double SendingBegins = 0.02;
constexpr double SendingEnds = 0.005;
// Least time between two reports about one service.
constexpr Duration SpillReportInterval = std::chrono::seconds(10);
// A target below this share of its slots is taken for one in cold start.
constexpr double WarmShare = 0.5;
// Share of the expected time below which a gain is none.
constexpr double LeastGain = 1e-6;
// Service time assumed as long as no target has reported one, in seconds.
constexpr double UnknownServiceSeconds = 0.001;
constexpr double BytesPerGigabyte = 1e9;

double priceSeconds(const ChoiceContext &Context) {
  return Context.m_Request.m_Bytes / BytesPerGigabyte *
         Context.m_Prices.m_PerGigabyte / Context.m_Prices.m_WorthOfSecond;
}

bool isHealthy(const Candidate &Of, const ChoiceContext &Context) {
  return Of.m_Peer->m_Load.failureShare(Context.m_Now) <= UnhealthyFailureShare;
}

bool hasRoom(const Candidate &Of, const ChoiceContext &Context) {
  const LoadView &View = Of.m_Peer->m_Load;
  return View.crowdedLoad(Context.m_Now) + 1 <=
         View.limit(assumedLimit(Of, Context.m_AssumedLimit));
}

bool isWarm(const Candidate &Of, const ChoiceContext & /*Context*/) {
  const LoadView &View = Of.m_Peer->m_Load;
  return View.isReported() && View.limit(1) >= WarmShare * Of.m_Target->m_Slots;
}

// No queue forms at a target that is cold or states a rate.
bool isUsable(const Candidate &Of, const ChoiceContext &Context) {
  const LoadView &View = Of.m_Peer->m_Load;
  const bool IsRestrained =
      View.isRateLimited() || (View.isReported() && !isWarm(Of, Context));
  return isHealthy(Of, Context) && (!IsRestrained || hasRoom(Of, Context));
}

bool statesNoRate(const Candidate &Of, const ChoiceContext & /*Context*/) {
  return !Of.m_Peer->m_Load.isRateLimited();
}

using Condition = bool (*)(const Candidate &, const ChoiceContext &);

Candidates thatMeet(const Candidates &Group, Condition Wanted,
                    const ChoiceContext &Context) {
  Candidates Result;
  for (const Candidate *Next : Group) {
    if (Wanted(*Next, Context))
      Result.push_back(Next);
  }
  return Result;
}

/// Keeps requests in the availability zone of the ingress unless leaving pays.
/// Targets are compared by the expected completion of the request.
class PricedZones : public TargetChoice {
public:
  std::string_view name() const override { return "priced-zones"; }
  bool prefersOwnZone() const override { return true; }

  const Candidate *choose(const Candidates &Eligible,
                          const ChoiceContext &Context) const override {
    const Comparison By(Eligible, Context);
    Candidates Home;
    Candidates Away;
    for (const Candidate *Next : Eligible)
      (Next->m_Distance == Distance::SameZone ? Home : Away).push_back(Next);
    if (!Context.m_Request.m_TriedBefore)
      recordPressure(Home, Context);
    // If no target at home is usable, it is as good as empty.
    const Candidates UsableHome = thatMeet(Home, isUsable, Context);
    const Candidates UsableAway = thatMeet(Away, isUsable, Context);
    if (Home.empty() || (UsableHome.empty() && !UsableAway.empty())) {
      ++Context.m_Counts.m_SentForLackOfTargets;
      return By.betterOfTwo(nearestWithRoom(Away, UsableAway, Context));
    }
    const Candidate *Elsewhere = findBetterElsewhere(
        UsableHome.empty() ? Home : UsableHome, UsableAway, By, Context);
    if (Elsewhere != nullptr)
      return Elsewhere;
    ++Context.m_Counts.m_Kept;
    // A target that states a rate is chosen only if no other has room.
    const Candidates WithRoom = thatMeet(UsableHome, hasRoom, Context);
    const Candidates Preferred = thatMeet(WithRoom, statesNoRate, Context);
    if (!Preferred.empty())
      return By.betterOfTwo(Preferred);
    const Candidates &Queued = UsableHome.empty() ? Home : UsableHome;
    return By.betterOfTwo(WithRoom.empty() ? Queued : WithRoom);
  }

private:
  /// Compares targets by the expected completion of the request.
  class Comparison {
  public:
    Comparison(const Candidates &All, const ChoiceContext &Context)
        : m_Context(Context) {
      double Sum = 0;
      unsigned Known = 0;
      for (const Candidate *Next : All) {
        const Duration Time = Next->m_Peer->m_Load.serviceTime();
        if (Time <= Duration{0})
          continue;
        Sum += std::chrono::duration<double>(Time).count();
        ++Known;
      }
      if (Known > 0)
        m_TypicalSeconds = Sum / Known;
    }

    CompletionEstimate at(const Candidate &Of) const {
      return estimateCompletion(outlookOf(Of, m_Context, m_TypicalSeconds),
                                m_Context.m_Request);
    }

    CompletionEstimate best(const Candidates &Of) const {
      CompletionEstimate Least = at(*Of.front());
      for (const Candidate *Next : Of) {
        const CompletionEstimate Other = at(*Next);
        if (Other.m_LostSeconds < Least.m_LostSeconds)
          Least = Other;
      }
      return Least;
    }

    double typicalSeconds() const { return m_TypicalSeconds; }

    const Candidate *betterOfTwo(const Candidates &From) const {
      std::mt19937_64 &Random = m_Context.m_Random;
      const std::size_t First = Random() % From.size();
      if (From.size() == 1)
        return From[First];
      const std::size_t Step = 1 + Random() % (From.size() - 1);
      const std::size_t Second = (First + Step) % From.size();
      return at(*From[Second]).m_LostSeconds < at(*From[First]).m_LostSeconds
                 ? From[Second]
                 : From[First];
    }

  private:
    const ChoiceContext &m_Context;
    double m_TypicalSeconds = UnknownServiceSeconds;
  };

  static void recordPressure(const Candidates &Home,
                             const ChoiceContext &Context) {
    double Load = 0;
    double Limit = 0;
    for (const Candidate *Next : Home) {
      const LoadView &View = Next->m_Peer->m_Load;
      Load += View.expectedLoad(Context.m_Now);
      Limit += View.limit(assumedLimit(*Next, Context.m_AssumedLimit));
    }
    if (Limit > 0)
      Context.m_Spill.recordPressure(Load, Limit, Context.m_Now);
  }

  // Returns the nearest targets with room; if there are none, all healthy ones
  // or all.
  static Candidates nearestWithRoom(const Candidates &All,
                                    const Candidates &Healthy,
                                    const ChoiceContext &Context) {
    for (const Candidates &Group : {Healthy, All}) {
      Candidates WithRoom = nearest(thatMeet(Group, hasRoom, Context));
      if (!WithRoom.empty())
        return WithRoom;
    }
    return Healthy.empty() ? All : Healthy;
  }

  static Candidates offered(const Candidates &Group,
                            const ChoiceContext &Context) {
    const Candidates WithRoom = thatMeet(Group, hasRoom, Context);
    return nearest(WithRoom.empty() ? Group : WithRoom);
  }

  static Candidates nearest(const Candidates &Group) {
    for (const Distance MaxDistance :
         {Distance::SameZone, Distance::SameRegion}) {
      Candidates Near;
      for (const Candidate *Next : Group) {
        if (Next->m_Distance <= MaxDistance)
          Near.push_back(Next);
      }
      if (!Near.empty())
        return Near;
    }
    return Group;
  }

  static const Candidate *findBetterElsewhere(const Candidates &Home,
                                              const Candidates &Away,
                                              const Comparison &By,
                                              const ChoiceContext &Context) {
    const Candidates Warm = thatMeet(Away, isWarm, Context);
    const Candidates Offered = offered(Warm.empty() ? Away : Warm, Context);
    const CompletionEstimate AtHome = By.best(Home);
    const Candidate *Other =
        Offered.empty() ? nullptr : By.betterOfTwo(Offered);
    ZoneVerdict Verdict = ZoneVerdict::Stay;
    SpillTerms Terms;
    Terms.m_FullShare = fullHomeShare(Context.m_Request, By.typicalSeconds());
    const bool TriedBefore = Context.m_Request.m_TriedBefore;
    if (Other != nullptr) {
      const CompletionEstimate There = By.at(*Other);
      Verdict = weigh(AtHome, There, Context.m_Request,
                      TriedBefore ? 0 : priceSeconds(Context));
      Terms.m_Risk = AtHome.m_MissShare - There.m_MissShare;
    }
    // A cold target is worth it only for what home can't answer in time.
    if (Warm.empty() && Verdict == ZoneVerdict::Pays)
      Verdict = ZoneVerdict::Stay;
    // A refusal shows that home takes less of this kind of request than it
    // seems: the request then goes where there is room.
    if (TriedBefore && Verdict == ZoneVerdict::Stay && !Warm.empty() &&
        hasRoom(*Other, Context) && thatMeet(Home, hasRoom, Context).empty())
      Verdict = ZoneVerdict::Pays;
    const bool Leaves =
        TriedBefore
            ? Verdict != ZoneVerdict::Stay
            : Context.m_Spill.decide(Verdict, Terms, draw(Context.m_Random),
                                     Context.m_Now);
    if (!Leaves)
      return nullptr;
    ++(Verdict == ZoneVerdict::InTime ? Context.m_Counts.m_SentForDeadline
                                      : Context.m_Counts.m_SentForGain);
    return Other;
  }

  static double draw(std::mt19937_64 &Random) {
    return static_cast<double>(Random()) /
           static_cast<double>(std::mt19937_64::max());
  }
};

} // namespace

ZoneVerdict weigh(const CompletionEstimate &Home,
                  const CompletionEstimate &Away, const RequestOutlook &Request,
                  double PriceSeconds) {
  const double Left = std::chrono::duration<double>(Request.m_TimeLeft).count();
  if (Home.m_Seconds > Left && Away.m_Seconds <= Left)
    return ZoneVerdict::InTime;
  const double Gain = Home.m_LostSeconds - Away.m_LostSeconds - PriceSeconds;
  return Gain > LeastGain * Home.m_LostSeconds ? ZoneVerdict::Pays
                                               : ZoneVerdict::Stay;
}

ZoneSpill::ZoneSpill()
    : m_Pressure(PressureHalfLife), m_Sent(DecisionHalfLife),
      m_Willing(DecisionHalfLife) {}

void FadingMean::add(double Value, TimePoint Now) {
  const std::chrono::duration<double> Since = Now - m_At;
  const std::chrono::duration<double> HalfLife = m_HalfLife;
  const double Rest =
      m_Weight > 0 ? std::exp2(-std::max(0.0, Since / HalfLife)) : 0;
  m_Sum = m_Sum * Rest + Value;
  m_Weight = m_Weight * Rest + 1;
  m_At = Now;
}

void ZoneSpill::recordPressure(double Load, double Limit, TimePoint Now) {
  m_Pressure.add(Load / Limit, Now);
}

double fullHomeShare(const RequestOutlook &Request, double ServiceSeconds) {
  const double Times =
      std::chrono::duration<double>(Request.m_TimeLeft).count() /
      ServiceSeconds;
  const double Patience = std::clamp(
      (Times - ScarceServiceTimes) / (AmpleServiceTimes - ScarceServiceTimes),
      0.0, 1.0);
  return LeastFullHomeShare + Patience * (FullHomeShare - LeastFullHomeShare);
}

double ZoneSpill::excess(double FullShare) const {
  if (m_Pressure.value() <= 0)
    return 0;
  // The others of the zone are taken to send the same share away.
  const double Kept = (1 - m_Sent.value()) * FullShare / m_Pressure.value();
  return std::clamp(1 - Kept, 0.0, 1.0);
}

bool ZoneSpill::decide(ZoneVerdict Verdict, const SpillTerms &Terms,
                       double Draw, TimePoint Now) {
  m_Willing.add(Verdict == ZoneVerdict::Stay ? 0 : 1, Now);
  double Chance = Verdict == ZoneVerdict::InTime ? 1 : 0;
  if (Verdict == ZoneVerdict::Pays)
    Chance = std::clamp(excess(Terms.m_FullShare) /
                            std::max(MinWillingShare, m_Willing.value()),
                        std::clamp(Terms.m_Risk, 0.0, 1.0), 1.0);
  m_Sent.add(Chance, Now);
  m_Sends = m_Sent.value() > (m_Sends ? SendingEnds : SendingBegins);
  return Draw < Chance;
}

std::optional<std::string> ZoneSpill::takeChange(TimePoint Now) {
  if (m_Sends == m_ReportedSends ||
      (m_ReportedAt && Now < *m_ReportedAt + SpillReportInterval))
    return std::nullopt;
  m_ReportedSends = m_Sends;
  m_ReportedAt = Now;
  std::array<char, 96> Text{};
  std::snprintf(Text.data(), Text.size(),
                "sends=%s share_percent=%.1f pressure_percent=%.1f",
                m_Sends ? "yes" : "no", 100 * m_Sent.value(),
                100 * m_Pressure.value());
  return Text.data();
}

const TargetChoice &pricedZones() {
  static const PricedZones Instance;
  return Instance;
}

} // namespace dandelionfall::core::ingress
