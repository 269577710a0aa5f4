/// \file
/// Lifecycle of each call, from the caller's request to the final response.
#ifndef DANDELIONFALL_CORE_INGRESS_CALL_TABLE_H
#define DANDELIONFALL_CORE_INGRESS_CALL_TABLE_H

#include "core/ingress/call_records.h"
#include "core/ingress/gate_links.h"
#include "core/ingress/limits.h"
#include "core/ingress/outbox.h"
#include "core/ingress/planned_end.h"
#include "core/ingress/proof_watch.h"
#include "core/ingress/return_spread.h"
#include "core/ingress/router.h"
#include "core/ingress/service_table.h"
#include "core/ingress/split_choice.h"
#include "core/ingress/team_credit.h"
#include "core/ingress/timer_queue.h"
#include "dandelionfall/core/freshness.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace dandelionfall::core::ingress {

/// Open calls and their attempts. A request that may have run and is not
/// idempotent is never sent again. `NotRun` is reported only if it is certain
/// that no attempt will ever run.
class CallTable : public GateLinksListener, private CreditSender {
public:
  /// All arguments must outlive this object.
  CallTable(const IngressOptions &Options, GateLinks &Links,
            ServiceTable &Services, Outbox &Out)
      : m_Options(Options), m_Links(Links), m_Services(Services), m_Out(Out),
        m_Router(Options), m_Splits(Options.m_Seed),
        m_ReturnSpread(Options.m_Seed), m_Credits(Options, *this) {}

  void setStepEvents(bool Enabled) { m_StepEvents = Enabled; }
  /// Announces the end of the process. Later calls whose requests might be cut
  /// off while they run are rejected; the others, and those that are open, are
  /// finished by then.
  void setEnd(TimePoint End, TimePoint Now);
  /// Opens a call for a caller's request.
  void open(CallId Id, HttpRequestPtr Request,
            std::optional<Duration> CallerDeadline,
            const CallerIdentity &Caller, TimePoint Now);
  /// Adds a proof that a configuration was the newest one.
  void addProof(const FreshnessProof &Proof) { m_Freshness.add(Proof); }
  /// Abandons a call whose caller has disconnected.
  void abandon(CallId Id, TimePoint Now);
  /// Moves requests that wait for a gate which the new version excludes.
  void onConfiguration(TimePoint Now);

  // Messages from gates, on any of their links, and the changes of those links;
  // in call_table_gates.cpp; the ends of attempts are in
  // call_table_attempts.cpp.
  void onAnswer(GatePeer &Peer, LinkId Link, const Answer &Message,
                TimePoint Now);
  void onRefusal(GatePeer &Peer, LinkId Link, const Refusal &Message,
                 TimePoint Now);
  void onFailure(GatePeer &Peer, LinkId Link, const Failure &Message,
                 TimePoint Now);
  void onInquiryReply(GatePeer &Peer, LinkId Link, const InquiryReply &Message,
                      TimePoint Now);
  void onLeavingNotice(const LeavingNotice &Message);
  /// Handles the reply of an accountant; in call_table_credit.cpp.
  void onCreditGrant(const GatePeer &Peer, const CreditGrant &Message,
                     TimePoint Now);

  /// Ends the calls whose deadline has passed. Must run first after a wait,
  /// because the process may have been suspended for long.
  void expire(TimePoint Now);
  /// Performs the other work that is due.
  void onTick(TimePoint Now);
  std::optional<TimePoint> nextWakeUp() const;
  /// \returns the number of calls without a final response.
  std::size_t size() const { return m_Calls.size(); }
  /// \returns the requests so far by availability zone.
  const ZoneTrafficCounts &zoneTraffic() const {
    return m_Router.zoneTraffic();
  }

  void onGateRestarted(GatePeer &Peer, TimePoint Now) override;
  void onGateReady(GatePeer &Peer, TimePoint Now) override;
  void onGateUnreachable(GatePeer &Peer, TimePoint Now) override;
  void onGateDead(GatePeer &Peer, TimePoint Now) override;

private:
  /// Reports when requests with keys begin and cease to be rejected.
  void noteProof(bool IsRejected, TimePoint Now);
  void reject(CallId Id, const std::string &CallerId, CallOutcome Outcome,
              const std::string &Detail,
              Duration RetryAfter = DefaultRetryAfter);
  std::optional<Duration> quarantineOf(const HttpRequest &Request,
                                       TimePoint Now) const;
  /// \returns the fingerprint of a request that ran at a target which ended.
  std::optional<RequestFingerprint> suspectOf(const HttpRequest &Request) const;
  void appendHistory(const Attempt &Ended, const std::string &End);
  Version version() const;

  // Credit of quotas, in call_table_credit.cpp.
  bool sendCreditRequest(const std::string &Gate, const CreditRequest &Request,
                         TimePoint Now) override;
  void sendWaitingCreditRequests(const GatePeer &Peer, TimePoint Now);
  void settleCredits(TimePoint Now);
  void releaseCredit(const Call &Ended, bool NeverRuns, TimePoint Now);

  // Each of these functions may finish the call and erase its record.
  void dispatchWithCredit(Call &Entry, const Team *Owner, TimePoint Now);
  void startAttempt(Call &Entry, const Candidate &Chosen, TimePoint Now);
  void send(Attempt &Current, TimePoint Now);
  void sendEvidence(const HttpRequest &Request, const GatePeer &Peer,
                    TimePoint Now);
  void dispatchOrConclude(Call &Entry, TimePoint Now);
  void retryOrConclude(Call &Entry, TimePoint Now);
  /// \param Failed true if an attempt has failed, false if it is only slow.
  bool retry(Call &Entry, TimePoint Now, bool Failed = true);
  bool retryServerError(Call &Entry, const HttpResponsePtr &Response,
                        TimePoint Now);
  void conclude(Call &Entry, TimePoint Now);
  /// Lets a call without a target wait for the replacement of one that left.
  /// \returns false if no target left, or the wait has ended.
  bool awaitTargets(Call &Entry, TimePoint Now);
  void endTargetsWait(Call &Entry);
  void dispatchAwaiting(TimePoint Now);
  /// \param RefusedByTarget whether the target itself refused the attempt.
  void endNotRun(AttemptNumber Number, const std::string &Fault, TimePoint Now,
                 bool RefusedByTarget = false);
  void endOutcomeUnknown(AttemptNumber Number, const std::string &Fault,
                         TimePoint Now);
  void onAttemptTimeout(AttemptNumber Number, TimePoint Now);
  void finish(CallId Id, CallOutcome Outcome, HttpResponsePtr Response,
              const std::string &Detail, TimePoint Now);

  Attempt *findSent(const RequestId &Id, const GatePeer &Peer);
  Call *findCall(CallId Id);
  void recordElapsed(const Call &Ended, CallOutcome Outcome,
                     const HttpResponse *Response, TimePoint Now);
  Duration oldestOpen(const std::string &Kind, TimePoint Now) const;
  void recordGateReply(const Attempt &Ended, LinkId Link, const Capacity &Load,
                       TimePoint Now);
  void recordStatement(const Attempt &Ended, const TargetStatement &Statement);
  const Candidate *chooseTarget(ServiceView &View, const Call &Entry,
                                TimePoint Now);
  void endAttempt(AttemptNumber Number);
  void endOrphans(GatePeer &Peer);
  void detach(Attempt &Current, TimePoint Deadline, TimePoint Now);
  void cancel(const Attempt &Current);
  static bool mayRepeat(const Call &Entry);
  bool hasUnhedgedAttempt(const Call &Entry) const;
  bool mayHaveRun(const Call &Entry) const;
  void applyRefusal(GatePeer &Peer, const Refusal &Message, TimePoint Now);

  const IngressOptions &m_Options;
  GateLinks &m_Links;
  ServiceTable &m_Services;
  Outbox &m_Out;
  Router m_Router;
  SplitChoice m_Splits;
  ReturnSpread m_ReturnSpread;
  bool m_StepEvents = true;
  PlannedEnd m_PlannedEnd;
  Freshness m_Freshness;
  ProofWatch m_ProofWatch;
  TeamCredits m_Credits;
  /// Requests for credit that wait for the link to a gate.
  std::map<std::string, std::vector<std::pair<CreditRequest, TimePoint>>>
      m_WaitingCreditRequests;
  AttemptNumber m_LastAttempt = 0;
  std::map<CallId, Call> m_Calls;
  std::unordered_map<AttemptNumber, Attempt> m_Attempts;
  std::size_t m_OrphanCount = 0;
  TimerQueue<CallId> m_Deadlines;
  TimerQueue<AttemptNumber> m_AttemptTimeouts;
  TimerQueue<AttemptNumber> m_OrphanTimeouts;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_CALL_TABLE_H
