#include "core/ingress/team_credit.h"

#include "core/quota/limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace dandelionfall::core::ingress {

using namespace quota;

namespace {

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

// The gate beside this ingress; empty if it has no target.
std::string gateOfHost(const Configuration &Config, const std::string &Host) {
  for (const auto &[Name, ServicePtr] : Config.m_Services) {
    for (const Target &Each : ServicePtr->m_Targets) {
      if (Each.m_Host == Host)
        return Each.m_GateAddress;
    }
  }
  return {};
}

} // namespace

void TeamCredits::onConfiguration(const Configuration &Config, TimePoint Now) {
  m_Gates.clear();
  if (Config.m_Teams == nullptr) {
    std::erase_if(m_Teams, [](const auto &Each) {
      return Each.second.m_Waiting.empty();
    });
    return;
  }
  m_Gates = gatesOf(Config);
  m_OwnGate = gateOfHost(Config, m_Options.m_Host);
  for (auto Next = m_Teams.begin(); Next != m_Teams.end();) {
    const auto Current = Next++;
    const Team *Of = Config.m_Teams->findByName(Current->first);
    if (Of != nullptr && Now - Current->second.m_DemandAt < IdleTeamTime) {
      chooseAccountants(Current->second, *Of);
    } else if (Current->second.m_Waiting.empty()) {
      m_Timers.erase(Current->first);
      m_Teams.erase(Current);
    }
  }
}

void TeamCredits::chooseAccountants(TeamState &State, const Team &Of) const {
  const QuotaShare Share =
      shareOf(Of.m_Quota, m_Options.m_QuotaTolerance, m_Gates.size());
  std::vector<std::string> Chosen =
      quota::chooseAccountants(m_Gates, Of.m_Name, Share.m_Accountants);
  std::sort(Chosen.begin(), Chosen.end(),
            [this](const std::string &Left, const std::string &Right) {
              const auto Rank = [this](const std::string &Gate) {
                return std::pair(
                    Gate != m_OwnGate,
                    accountantRank(hashOfName(Gate), m_Options.m_Seed));
              };
              return Rank(Left) < Rank(Right);
            });
  std::vector<Accountant> Result;
  for (std::string &Gate : Chosen) {
    const auto Known = std::find_if(
        State.m_Accountants.begin(), State.m_Accountants.end(),
        [&Gate](const Accountant &Each) { return Each.m_Gate == Gate; });
    if (Known != State.m_Accountants.end())
      Result.push_back(*Known);
    else
      Result.push_back({std::move(Gate), {}, false, std::nullopt});
  }
  if (State.m_Ask) {
    const std::string &Asked =
        State.m_Accountants[State.m_Ask->m_Accountant].m_Gate;
    const auto Kept = std::find_if(
        Result.begin(), Result.end(),
        [&Asked](const Accountant &Each) { return Each.m_Gate == Asked; });
    if (Kept == Result.end())
      State.m_Ask.reset();
    else
      State.m_Ask->m_Accountant =
          static_cast<std::size_t>(std::distance(Result.begin(), Kept));
  }
  State.m_Accountants = std::move(Result);
}

TeamCredits::TeamState &TeamCredits::stateOf(const Team &Of, TimePoint Now) {
  const auto [Found, IsNew] = m_Teams.try_emplace(Of.m_Name);
  if (IsNew) {
    chooseAccountants(Found->second, Of);
    Found->second.m_DemandAt = Now;
  }
  return Found->second;
}

void TeamCredits::recordDemand(TeamState &State, TimePoint Now) {
  const double Elapsed = secondsOf(Now - State.m_DemandAt);
  State.m_Demand = State.m_Demand * std::exp(-Elapsed / secondsOf(DemandTime)) +
                   1 / secondsOf(DemandTime);
  State.m_DemandAt = Now;
}

void TeamCredits::dropExpired(TeamState &State, TimePoint Now) {
  while (!State.m_OnHand.empty() && State.m_OnHand.front().m_Until <= Now)
    State.m_OnHand.pop_front();
}

std::optional<TimePoint> TeamCredits::takeOne(TeamState &State, TimePoint Now) {
  dropExpired(State, Now);
  if (State.m_OnHand.empty())
    return std::nullopt;
  Credit &First = State.m_OnHand.front();
  const TimePoint Until = First.m_Until;
  if (--First.m_Count == 0)
    State.m_OnHand.pop_front();
  return Until;
}

void TeamCredits::addCredit(TeamState &State, const Credit &Added) {
  const auto Place =
      std::upper_bound(State.m_OnHand.begin(), State.m_OnHand.end(), Added,
                       [](const Credit &Left, const Credit &Right) {
                         return Left.m_Until < Right.m_Until;
                       });
  State.m_OnHand.insert(Place, Added);
}

std::optional<TimePoint> TeamCredits::take(const Team &Of, TimePoint Now) {
  TeamState &State = stateOf(Of, Now);
  recordDemand(State, Now);
  // Calls that came before have the first claim.
  if (!State.m_Waiting.empty())
    return std::nullopt;
  return takeOne(State, Now);
}

void TeamCredits::wait(CallId Call, const Team &Of, TimePoint Now) {
  TeamState &State = stateOf(Of, Now);
  State.m_Waiting.push_back({Call, Now + MaxCreditWait});
  advance(Of.m_Name, State, Now);
}

void TeamCredits::leave(CallId Call, const std::string &TeamName) {
  const auto Found = m_Teams.find(TeamName);
  if (Found != m_Teams.end())
    std::erase_if(Found->second.m_Waiting,
                  [Call](const Waiter &Each) { return Each.m_Call == Call; });
}

void TeamCredits::giveBack(const std::string &TeamName, TimePoint Until,
                           TimePoint Now) {
  const auto Found = m_Teams.find(TeamName);
  if (Found == m_Teams.end() || Until <= Now)
    return;
  addCredit(Found->second, {Until, 1});
}

void TeamCredits::onGrant(const std::string &Gate, const CreditGrant &Grant,
                          TimePoint Now) {
  const auto Found = m_Teams.find(Grant.m_Team);
  if (Found == m_Teams.end())
    return;
  TeamState &State = Found->second;
  const auto From = std::find_if(
      State.m_Accountants.begin(), State.m_Accountants.end(),
      [&Gate](const Accountant &Each) { return Each.m_Gate == Gate; });
  if (From == State.m_Accountants.end())
    return;
  From->m_LastReply = Now;
  const std::optional<Ask> Answered = takeAsk(State, Grant.m_Sequence);
  if (!Answered)
    return;
  if (Grant.m_Granted > 0)
    addCredit(State, {Answered->m_AskedAt + Grant.m_Lease,
                      std::min(Grant.m_Granted, Answered->m_Wanted)});
  From->m_IsDenial = false;
  From->m_HeldUntil = Now;
  if (Grant.m_Lease == Duration{0}) {
    From->m_HeldUntil = Now + SilenceHold;
  } else if (Grant.m_Granted < Answered->m_Wanted) {
    From->m_IsDenial = true;
    From->m_HeldUntil = Now + std::max(Grant.m_RetryAfter, MinDenialHold);
  }
  advance(Found->first, State, Now);
}

std::optional<TeamCredits::Ask>
TeamCredits::takeAsk(TeamState &State, std::uint64_t Sequence) const {
  if (State.m_Ask && State.m_Ask->m_Sequence == Sequence)
    return std::exchange(State.m_Ask, std::nullopt);
  const auto Late = std::find_if(
      State.m_LateAsks.begin(), State.m_LateAsks.end(),
      [Sequence](const Ask &Each) { return Each.m_Sequence == Sequence; });
  if (Late == State.m_LateAsks.end())
    return std::nullopt;
  const Ask Found = *Late;
  State.m_LateAsks.erase(Late);
  return Found;
}

void TeamCredits::serve(TeamState &State, TimePoint Now) {
  while (!State.m_Waiting.empty()) {
    const std::optional<TimePoint> Until = takeOne(State, Now);
    if (!Until)
      return;
    m_Verdicts.push_back(
        {State.m_Waiting.front().m_Call, Until, false, Duration{0}, ""});
    State.m_Waiting.pop_front();
  }
}

void TeamCredits::advance(const std::string &Name, TeamState &State,
                          TimePoint Now) {
  serve(State, Now);
  if (State.m_Ask && Now >= State.m_Ask->m_AskedAt + AskTimeout) {
    Accountant &Silent = State.m_Accountants[State.m_Ask->m_Accountant];
    Silent.m_IsDenial = false;
    Silent.m_HeldUntil = Now + SilenceHold;
    State.m_LateAsks.push_back(*State.m_Ask);
    if (State.m_LateAsks.size() > MaxLateAsks)
      State.m_LateAsks.pop_front();
    State.m_Ask.reset();
  }
  for (std::size_t Index = 0; !State.m_Ask && !State.m_Waiting.empty() &&
                              Index < State.m_Accountants.size();
       ++Index) {
    if (State.m_Accountants[Index].m_HeldUntil <= Now)
      ask(Name, State, Index, Now);
  }
  while (!State.m_Waiting.empty() && (!mayStillBeServed(State, Now) ||
                                      State.m_Waiting.front().m_Until <= Now)) {
    turnAway(State, State.m_Waiting.front(), Now);
    State.m_Waiting.pop_front();
  }
  schedule(Name, State, Now);
}

// A late reply brings credit, too.
bool TeamCredits::mayStillBeServed(const TeamState &State, TimePoint Now) {
  return State.m_Ask ||
         std::any_of(State.m_LateAsks.begin(), State.m_LateAsks.end(),
                     [Now](const Ask &Each) {
                       return Now < Each.m_AskedAt + MaxCreditWait;
                     });
}

bool TeamCredits::ask(const std::string &Name, TeamState &State,
                      std::size_t Index, TimePoint Now) {
  const bool IsShort = std::any_of(
      State.m_Accountants.begin(), State.m_Accountants.end(),
      [Now](const Accountant &Each) {
        return Each.m_IsDenial && Each.m_HeldUntil + LeaseTime > Now;
      });
  const double Advance =
      IsShort ? 0 : AdvanceShare * State.m_Demand * secondsOf(LeaseTime);
  const auto Wanted = static_cast<std::uint32_t>(
      static_cast<double>(State.m_Waiting.size()) + Advance);
  const Ask Next{++m_LastSequence, Now, Wanted, Index};
  if (m_Sender.sendCreditRequest(State.m_Accountants[Index].m_Gate,
                                 {Next.m_Sequence, Name, Wanted, 0}, Now)) {
    State.m_Ask = Next;
    return true;
  }
  State.m_Accountants[Index].m_IsDenial = false;
  State.m_Accountants[Index].m_HeldUntil = Now + SilenceHold;
  return false;
}

void TeamCredits::turnAway(TeamState &State, const Waiter &Each,
                           TimePoint Now) {
  CreditVerdict Verdict;
  Verdict.m_Call = Each.m_Call;
  Verdict.m_RetryAfter = MaxCreditRetryAfter;
  for (const Accountant &Asked : State.m_Accountants) {
    const bool Denies = Asked.m_IsDenial && Asked.m_HeldUntil > Now;
    const Duration Held = std::max(Asked.m_HeldUntil - Now, MinDenialHold);
    if (Denies || !Verdict.m_Denied)
      Verdict.m_RetryAfter = Denies && !Verdict.m_Denied
                                 ? Held
                                 : std::min(Verdict.m_RetryAfter, Held);
    Verdict.m_Denied = Verdict.m_Denied || Denies;
    Verdict.m_Detail +=
        (Verdict.m_Detail.empty() ? "" : ",") + Asked.m_Gate +
        (Denies ? ":no-credit" : ":no-reply") +
        (Asked.m_LastReply
             ? "/" + std::to_string((Now - *Asked.m_LastReply).count()) + "us"
             : "");
  }
  m_Verdicts.push_back(std::move(Verdict));
}

void TeamCredits::schedule(const std::string &Name, const TeamState &State,
                           TimePoint Now) {
  if (State.m_Waiting.empty())
    return m_Timers.erase(Name);
  TimePoint Due = State.m_Waiting.front().m_Until;
  if (State.m_Ask)
    Due = std::min(Due, State.m_Ask->m_AskedAt + AskTimeout);
  m_Timers.set(Name, std::max(Due, Now));
}

void TeamCredits::onTick(TimePoint Now) {
  while (const std::optional<std::string> Name = m_Timers.takeDue(Now)) {
    const auto Found = m_Teams.find(*Name);
    if (Found != m_Teams.end())
      advance(Found->first, Found->second, Now);
  }
}

std::vector<CreditVerdict> TeamCredits::takeVerdicts() {
  return std::exchange(m_Verdicts, {});
}

} // namespace dandelionfall::core::ingress
