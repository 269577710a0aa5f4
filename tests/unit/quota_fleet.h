/// \file
/// A fleet of accountants and ingresses in virtual time, with faults.
#ifndef DANDELIONFALL_UNIT_QUOTA_FLEET_H
#define DANDELIONFALL_UNIT_QUOTA_FLEET_H

#include "core/ingress/team_credit.h"
#include "core/quota/limits.h"
#include "core/quota/team_accounts.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace dandelionfall::core::quota {

using namespace std::chrono_literals;

/// Faults that are drawn while a fleet runs, as mean numbers in each second.
struct FleetFaults {
  double m_Kills = 0;
  double m_Freezes = 0;
  double m_Cuts = 0;
  double m_LossShare = 0;
};

/// Requests a second of a team, at each node.
using Demand = std::vector<double>;

/// Requests of one team.
struct TeamLoad {
  Team m_Team;
  /// Demand at a time after the start.
  std::function<Demand(Duration)> m_Demand;
};

/// What became of one team's requests.
struct TeamResult {
  std::vector<TimePoint> m_Runs;
  std::size_t m_Asked = 0;
  std::size_t m_Denied = 0;
  std::size_t m_Unreached = 0;
  double share() const {
    return m_Asked == 0 ? 1.0
                        : static_cast<double>(m_Runs.size()) /
                              static_cast<double>(m_Asked);
  }
};

/// \returns the largest number of runs in any window beyond what the rate gives
/// in it.
inline double worstBurst(const std::vector<TimePoint> &Runs, double Rate) {
  double Level = 0;
  double Worst = 0;
  TimePoint Last;
  for (const TimePoint &Run : Runs) {
    const double Seconds = std::chrono::duration<double>(Run - Last).count();
    Level = std::max(0.0, Level - Rate * Seconds) + 1;
    Last = Run;
    Worst = std::max(Worst, Level);
  }
  return Worst;
}

class Fleet {
public:
  static constexpr Duration Step = 1ms;
  static constexpr Duration MaxProofAge = 5s;
  static constexpr Duration ProofInterval = 500ms;
  /// A silent target's entry lapses after this time.
  static constexpr Duration LapseTime = 4500ms;
  static constexpr Duration MaxApplyDelay = 1s;

  Fleet(std::size_t Size, std::uint64_t Seed, QuotaTolerance Tolerance)
      : m_Random(Seed), m_Tolerance(Tolerance), m_Nodes(Size) {
    for (std::size_t Index = 0; Index < Size; ++Index)
      m_Members.insert(Index);
  }

  void addTeam(TeamLoad Load) {
    m_Loads.push_back(std::move(Load));
    m_Results.emplace_back();
  }
  void setFaults(FleetFaults Faults) { m_Faults = Faults; }
  TeamResult &result(std::size_t Team) { return m_Results[Team]; }
  std::size_t messages() const { return m_MessageCount; }
  TimePoint now() const { return m_Now; }

  /// Starts the first nodes, each of which finds the teams new.
  void start(std::size_t Count) {
    for (std::size_t Index = Count; Index < m_Nodes.size(); ++Index) {
      m_Members.erase(Index);
      m_Nodes[Index].m_DownUntil = TimePoint::max();
    }
    publish(false);
    for (std::size_t Index = 0; Index < Count; ++Index)
      boot(Index);
    publish(true);
    for (std::size_t Index = 0; Index < Count; ++Index) {
      apply(m_Nodes[Index], m_Version);
      prove(m_Nodes[Index]);
    }
  }
  void start() { start(m_Nodes.size()); }

  /// Cuts off about half of the nodes that are up, and starts the others.
  void joinDuringCut(Duration Time) {
    for (Node &Each : m_Nodes) {
      if (!Each.m_IsUp)
        Each.m_DownUntil = m_Now;
      else if (draw() < 0.5)
        Each.m_CutUntil = m_Now + Time;
    }
  }

  void setQuota(std::size_t Index, TeamQuota Quota) {
    m_Loads[Index].m_Team.m_Quota = Quota;
    publish(true);
  }

  void run(Duration Time) {
    const TimePoint End = m_Now + Time;
    while (m_Now < End) {
      m_Now += Step;
      if (m_FaultsEnabled)
        drawFaults();
      updateMembers();
      deliver();
      for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index)
        runNode(Index);
    }
  }
  void enableFaults(bool Enabled) { m_FaultsEnabled = Enabled; }

private:
  struct Node;
  struct Sender : ingress::CreditSender {
    Fleet *m_Fleet = nullptr;
    std::size_t m_Index = 0;
    bool sendCreditRequest(const std::string &Gate,
                           const CreditRequest &Request, TimePoint) override {
      return m_Fleet->post(m_Index, indexOf(Gate), Request);
    }
  };
  struct Node {
    std::unique_ptr<IngressOptions> m_Options;
    std::unique_ptr<Sender> m_Sender;
    std::unique_ptr<TeamAccounts> m_Accounts;
    std::unique_ptr<ingress::TeamCredits> m_Credits;
    ConfigurationPtr m_Config;
    std::uint64_t m_Starts = 0;
    bool m_IsUp = false;
    /// Up again, or in touch again, from this time on.
    TimePoint m_DownUntil, m_FrozenUntil, m_CutUntil, m_NextProof;
    TimePoint m_SilentSince;
    std::map<Version, TimePoint> m_Learns;
    std::map<CallId, std::size_t> m_Calls;
  };
  struct Mail {
    std::size_t m_From = 0, m_To = 0;
    std::uint64_t m_FromStart = 0, m_ToStart = 0;
    std::variant<CreditRequest, CreditGrant> m_Message;
  };

  static std::string gateOf(std::size_t Index) {
    return "gate" + std::to_string(Index);
  }
  static std::size_t indexOf(const std::string &Gate) {
    return std::stoul(Gate.substr(4));
  }
  double draw() { return std::uniform_real_distribution<>(0, 1)(m_Random); }
  Duration drawTime(Duration Max) {
    return Duration(
        static_cast<Duration::rep>(draw() * static_cast<double>(Max.count())));
  }
  bool isFrozen(const Node &Of) const { return m_Now < Of.m_FrozenUntil; }
  bool isCut(const Node &Of) const { return m_Now < Of.m_CutUntil; }
  bool isInTouch(const Node &Of) const {
    return Of.m_IsUp && !isFrozen(Of) && !isCut(Of);
  }

  void publish(bool WithTeams) {
    auto Config = std::make_shared<Configuration>();
    Config->m_Stamp.m_Version = ++m_Version;
    auto Desk = std::make_shared<Service>();
    for (const std::size_t Index : m_Members)
      Desk->m_Targets.push_back({"t" + std::to_string(Index),
                                 "h" + std::to_string(Index), "a",
                                 gateOf(Index), 4, 8});
    Config->m_Services["desk"] = Desk;
    std::vector<TeamDefinition> Teams;
    for (const TeamLoad &Each : m_Loads)
      Teams.push_back({Each.m_Team, {"key of " + Each.m_Team.m_Name}});
    if (WithTeams)
      Config->m_Teams = std::make_shared<TeamTable>(Teams);
    m_Versions[m_Version] = Config;
    m_InForceSince[m_Version] = m_Now;
    for (Node &Each : m_Nodes)
      Each.m_Learns[m_Version] = m_Now + drawTime(MaxApplyDelay);
  }

  void boot(std::size_t Index) {
    Node &Booted = m_Nodes[Index];
    ++Booted.m_Starts;
    Booted.m_IsUp = true;
    Booted.m_Calls.clear();
    Booted.m_Config.reset();
    Booted.m_Options = std::make_unique<IngressOptions>();
    Booted.m_Options->m_Host = "h" + std::to_string(Index);
    Booted.m_Options->m_Seed = m_Random();
    Booted.m_Options->m_QuotaTolerance = m_Tolerance;
    Booted.m_Sender = std::make_unique<Sender>();
    Booted.m_Sender->m_Fleet = this;
    Booted.m_Sender->m_Index = Index;
    Booted.m_Credits = std::make_unique<ingress::TeamCredits>(*Booted.m_Options,
                                                              *Booted.m_Sender);
    Booted.m_Accounts = std::make_unique<TeamAccounts>(
        TeamAccountsOptions{gateOf(Index), m_Tolerance, MaxProofAge});
    // A copy on the way may be older than the version in force.
    if (!isCut(Booted)) {
      const auto Back = static_cast<Version>(draw() * 2);
      apply(Booted, m_Version > Back + 1 ? m_Version - Back : m_Version);
    }
  }

  void apply(Node &At, Version Of) {
    if (At.m_Config != nullptr && At.m_Config->m_Stamp.m_Version >= Of)
      return;
    At.m_Config = m_Versions.at(Of);
    At.m_Accounts->onConfiguration(At.m_Config, m_Now);
    At.m_Credits->onConfiguration(*At.m_Config, m_Now);
  }

  // The answer of the store is a little older than its arrival.
  void prove(Node &At) {
    const Duration Age =
        std::min(drawTime(20ms), Duration(m_Now.time_since_epoch()));
    const auto Next = std::find_if(
        m_InForceSince.rbegin(), m_InForceSince.rend(),
        [&](const auto &Each) { return Each.second <= m_Now - Age; });
    if (Next != m_InForceSince.rend())
      At.m_Accounts->addProof({Next->first, m_Now - Age});
    At.m_NextProof = m_Now + ProofInterval;
  }

  void drawFaults() {
    const double Seconds = std::chrono::duration<double>(Step).count();
    const auto Pick = [this]() -> Node & {
      return m_Nodes[static_cast<std::size_t>(
          draw() * static_cast<double>(m_Nodes.size()))];
    };
    if (draw() < m_Faults.m_Kills * Seconds) {
      Node &Killed = Pick();
      Killed.m_IsUp = false;
      Killed.m_DownUntil = m_Now + 50ms + drawTime(7s);
    }
    if (draw() < m_Faults.m_Freezes * Seconds)
      Pick().m_FrozenUntil = m_Now + drawTime(8s);
    if (draw() < m_Faults.m_Cuts * Seconds) {
      const TimePoint Until = m_Now + drawTime(12s);
      for (Node &Each : m_Nodes) {
        if (draw() < 0.5)
          Each.m_CutUntil = Until;
      }
    }
  }

  // The store's side: entries of silent targets lapse, and come back.
  void updateMembers() {
    bool Changed = false;
    for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
      Node &Each = m_Nodes[Index];
      if (isInTouch(Each)) {
        Each.m_SilentSince = m_Now;
        Changed |= m_Members.insert(Index).second;
      } else if (m_Now - Each.m_SilentSince > LapseTime && m_Members.size() > 1)
        Changed |= m_Members.erase(Index) > 0;
    }
    if (Changed)
      publish(true);
  }

  bool post(std::size_t From, std::size_t To,
            std::variant<CreditRequest, CreditGrant> Message) {
    ++m_MessageCount;
    if (!m_Nodes[To].m_IsUp)
      return false;
    if (draw() < m_Faults.m_LossShare && m_FaultsEnabled)
      return true;
    const Duration Delay = From == To ? Duration{0} : 300us + drawTime(3ms);
    m_Mails.emplace(m_Now + Delay,
                    Mail{From, To, m_Nodes[From].m_Starts, m_Nodes[To].m_Starts,
                         std::move(Message)});
    return true;
  }

  void deliver() {
    while (!m_Mails.empty() && m_Mails.begin()->first <= m_Now) {
      const Mail Next = std::move(m_Mails.begin()->second);
      m_Mails.erase(m_Mails.begin());
      Node &From = m_Nodes[Next.m_From];
      Node &To = m_Nodes[Next.m_To];
      if (!To.m_IsUp || To.m_Starts != Next.m_ToStart ||
          isCut(From) != isCut(To))
        continue;
      if (isFrozen(To)) {
        m_Mails.emplace(To.m_FrozenUntil, Next);
        continue;
      }
      if (const auto *Request = std::get_if<CreditRequest>(&Next.m_Message)) {
        const CreditGrant Reply = To.m_Accounts->grant(*Request, m_Now);
        if (From.m_Starts == Next.m_FromStart)
          post(Next.m_To, Next.m_From, Reply);
      } else {
        To.m_Credits->onGrant(gateOf(Next.m_From),
                              std::get<CreditGrant>(Next.m_Message), m_Now);
        settle(To);
      }
    }
  }

  void settle(Node &At) {
    for (const ingress::CreditVerdict &Each : At.m_Credits->takeVerdicts()) {
      TeamResult &Result = m_Results[At.m_Calls.at(Each.m_Call)];
      At.m_Calls.erase(Each.m_Call);
      if (Each.m_Until)
        Result.m_Runs.push_back(m_Now);
      else
        ++(Each.m_Denied ? Result.m_Denied : Result.m_Unreached);
    }
  }

  void runNode(std::size_t Index) {
    Node &Each = m_Nodes[Index];
    if (!Each.m_IsUp && m_Now >= Each.m_DownUntil)
      boot(Index);
    if (!Each.m_IsUp || isFrozen(Each))
      return;
    if (!isCut(Each)) {
      for (const auto &[Learned, At] : Each.m_Learns) {
        if (At <= m_Now)
          apply(Each, Learned);
      }
      std::erase_if(Each.m_Learns,
                    [&](const auto &Entry) { return Entry.second <= m_Now; });
      if (m_Now >= Each.m_NextProof)
        prove(Each);
    }
    Each.m_Credits->onTick(m_Now);
    settle(Each);
    if (Each.m_Config == nullptr || Each.m_Config->m_Teams == nullptr)
      return;
    for (std::size_t Number = 0; Number < m_Loads.size(); ++Number)
      arrive(Each, Index, Number);
  }

  void arrive(Node &At, std::size_t Index, std::size_t Number) {
    const double Mean =
        m_Loads[Number].m_Demand(m_Now.time_since_epoch())[Index] *
        std::chrono::duration<double>(Step).count();
    if (Mean <= 0)
      return;
    const int Count = std::poisson_distribution<>(Mean)(m_Random);
    const Team *Of =
        At.m_Config->m_Teams->findByName(m_Loads[Number].m_Team.m_Name);
    for (int Call = 0; Call < Count; ++Call) {
      ++m_Results[Number].m_Asked;
      if (At.m_Credits->take(*Of, m_Now)) {
        m_Results[Number].m_Runs.push_back(m_Now);
        continue;
      }
      At.m_Calls[++m_LastCall] = Number;
      At.m_Credits->wait(m_LastCall, *Of, m_Now);
      settle(At);
    }
  }

  std::mt19937_64 m_Random;
  QuotaTolerance m_Tolerance;
  FleetFaults m_Faults;
  bool m_FaultsEnabled = false;
  TimePoint m_Now;
  std::vector<Node> m_Nodes;
  std::set<std::size_t> m_Members;
  std::vector<TeamLoad> m_Loads;
  std::vector<TeamResult> m_Results;
  Version m_Version = 0;
  std::map<Version, ConfigurationPtr> m_Versions;
  std::map<Version, TimePoint> m_InForceSince;
  std::multimap<TimePoint, Mail> m_Mails;
  CallId m_LastCall = 0;
  std::size_t m_MessageCount = 0;
};

} // namespace dandelionfall::core::quota

#endif // DANDELIONFALL_UNIT_QUOTA_FLEET_H
