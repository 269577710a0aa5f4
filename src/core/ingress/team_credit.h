/// \file
/// The ingress's side of the quotas: credit on hand, requests for credit, and
/// the calls that wait for it.
#ifndef DANDELIONFALL_CORE_INGRESS_TEAM_CREDIT_H
#define DANDELIONFALL_CORE_INGRESS_TEAM_CREDIT_H

#include "core/ingress/timer_queue.h"
#include "core/quota/accountants.h"
#include "dandelionfall/core/ingress.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandelionfall::core::ingress {

/// Sends requests for credit.
class CreditSender {
public:
  virtual ~CreditSender() = default;
  /// Sends a request, now or as soon as the link is ready.
  /// \returns false if there can be no link to the gate now.
  virtual bool sendCreditRequest(const std::string &Gate,
                                 const CreditRequest &Request,
                                 TimePoint Now) = 0;
};

/// What a call that waited for credit got.
struct CreditVerdict {
  CallId m_Call = 0;
  /// End of the lease if the call got a credit.
  std::optional<TimePoint> m_Until;
  /// Whether the quota is used up, rather than no accountant reached.
  bool m_Denied = false;
  /// Time after which credit is expected.
  Duration m_RetryAfter{0};
  /// Accountants with the age of their latest reply.
  std::string m_Detail;
};

/// The credit of all teams with a quota that are called through this ingress.
class TeamCredits {
public:
  /// Both arguments must outlive this object.
  TeamCredits(const IngressOptions &Options, CreditSender &Sender)
      : m_Options(Options), m_Sender(Sender) {}

  /// Applies a new version.
  void onConfiguration(const Configuration &Config, TimePoint Now);
  /// Takes a credit that is on hand.
  /// \returns the end of its lease, or nothing if there is none.
  std::optional<TimePoint> take(const Team &Of, TimePoint Now);
  /// Lets a call wait for a credit; `takeVerdicts` returns what it got.
  void wait(CallId Call, const Team &Of, TimePoint Now);
  /// Removes a call that no longer waits.
  void leave(CallId Call, const std::string &TeamName);
  /// Returns the credit of a request that did not run.
  void giveBack(const std::string &TeamName, TimePoint Until, TimePoint Now);
  /// Handles the reply of an accountant.
  void onGrant(const std::string &Gate, const CreditGrant &Grant,
               TimePoint Now);
  /// Performs the work that is due.
  void onTick(TimePoint Now);
  std::optional<TimePoint> nextWakeUp() const { return m_Timers.next(); }
  /// Returns the verdicts since the last call, and clears them.
  std::vector<CreditVerdict> takeVerdicts();

private:
  struct Credit {
    TimePoint m_Until;
    std::uint32_t m_Count = 0;
  };

  struct Waiter {
    CallId m_Call = 0;
    TimePoint m_Until;
  };

  struct Accountant {
    std::string m_Gate;
    /// Not asked before this time.
    TimePoint m_HeldUntil;
    /// Whether it has no credit, rather than is silent.
    bool m_IsDenial = false;
    std::optional<TimePoint> m_LastReply;
  };

  struct Ask {
    std::uint64_t m_Sequence = 0;
    TimePoint m_AskedAt;
    std::uint32_t m_Wanted = 0;
    std::size_t m_Accountant = 0;
  };

  struct TeamState {
    std::vector<Accountant> m_Accountants;
    /// In the order of the ends of the leases.
    std::deque<Credit> m_OnHand;
    std::deque<Waiter> m_Waiting;
    std::optional<Ask> m_Ask;
    /// Asks whose reply was no longer waited for.
    std::deque<Ask> m_LateAsks;
    /// Smoothed demand, in requests per second.
    double m_Demand = 0;
    TimePoint m_DemandAt;
  };

  TeamState &stateOf(const Team &Of, TimePoint Now);
  void chooseAccountants(TeamState &State, const Team &Of) const;
  static void recordDemand(TeamState &State, TimePoint Now);
  static void dropExpired(TeamState &State, TimePoint Now);
  static std::optional<TimePoint> takeOne(TeamState &State, TimePoint Now);
  static void addCredit(TeamState &State, const Credit &Added);
  std::optional<Ask> takeAsk(TeamState &State, std::uint64_t Sequence) const;
  void serve(TeamState &State, TimePoint Now);
  /// Serves the calls that wait, and asks for more or turns them away.
  void advance(const std::string &Name, TeamState &State, TimePoint Now);
  bool ask(const std::string &Name, TeamState &State, std::size_t Index,
           TimePoint Now);
  void turnAway(TeamState &State, const Waiter &Each, TimePoint Now);
  static bool mayStillBeServed(const TeamState &State, TimePoint Now);
  void schedule(const std::string &Name, const TeamState &State, TimePoint Now);

  const IngressOptions &m_Options;
  CreditSender &m_Sender;
  quota::GateNames m_Gates;
  std::string m_OwnGate;
  std::map<std::string, TeamState> m_Teams;
  std::uint64_t m_LastSequence = 0;
  TimerQueue<std::string> m_Timers;
  std::vector<CreditVerdict> m_Verdicts;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_TEAM_CREDIT_H
