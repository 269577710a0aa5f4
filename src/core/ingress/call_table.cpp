#include "core/ingress/call_table.h"

#include "core/ingress/attempt_field.h"
#include "core/ingress/idempotency.h"
#include "core/ingress/limits.h"
#include "core/ingress/team_guard.h"
#include "dandelionfall/core/revision.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core::ingress {

namespace {

constexpr char QuarantinedFault[] = "targets ended whenever they ran it";

std::string_view outcomeName(CallOutcome Outcome) {
  constexpr std::string_view Names[] = {"answered",    "not-run",
                                        "unknown",     "no-route",
                                        "unknown-key", "over-quota"};
  return Names[static_cast<std::size_t>(Outcome)];
}

// Failures and answers have separate event ids, since log lines are limited for
// each id: many answers must not suppress the lines of a few failures.
EventId eventOf(CallOutcome Outcome) {
  constexpr EventId Events[] = {
      EventId::RequestSettled,   EventId::RequestNotServed,
      EventId::OutcomeUnknown,   EventId::RequestNotServed,
      EventId::RequestNotServed, EventId::RequestNotServed};
  return Events[static_cast<std::size_t>(Outcome)];
}

} // namespace

// Lifecycle of a call.

void CallTable::noteProof(bool IsRejected, TimePoint Now) {
  if (auto Report = m_ProofWatch.note(IsRejected, m_Freshness.age(Now), Now))
    m_Out.report(Report->m_Id, std::move(Report->m_Detail));
}

void CallTable::open(CallId Id, HttpRequestPtr Request,
                     std::optional<Duration> CallerDeadline,
                     const CallerIdentity &Caller, TimePoint Now) {
  const std::string &CallerId = Caller.m_Id;
  const Configuration *Config = m_Services.configuration();
  if (Config == nullptr)
    return reject(Id, CallerId, CallOutcome::NotRun,
                  "no configuration is in force yet");
  const RouteMatch Match =
      findRoute(*Config, Request->m_HostName, Request->m_Path);
  if (Match.m_Route == nullptr)
    return reject(Id, CallerId, CallOutcome::NoRoute,
                  "no route fits the request");
  const TeamDecision Owner =
      identifyTeam(*Config, *Match.m_Route, Caller.m_Key, m_Freshness.age(Now),
                   m_Options.m_MaxProofAge);
  if (m_Options.m_MaxProofAge && Config->m_Teams != nullptr &&
      !Match.m_Route->m_Public)
    noteProof(Owner.m_Rejection == CallOutcome::NotRun, Now);
  if (Owner.m_Rejection)
    return reject(Id, CallerId, *Owner.m_Rejection, Owner.m_Cause,
                  Owner.m_RetryAfter);
  if (const auto Remaining = quarantineOf(*Request, Now))
    return reject(Id, CallerId, CallOutcome::NotRun, QuarantinedFault,
                  *Remaining);
  if (m_Calls.size() >= MaxOpenCalls)
    return reject(Id, CallerId, CallOutcome::NotRun, "too many open calls");
  const Route &Chosen = *Match.m_Route;
  Call Entry;
  Entry.m_Id = Id;
  Entry.m_CallerId = CallerId;
  Entry.m_OpenedAt = Now;
  Entry.m_Service = Match.m_Service != nullptr ? Match.m_Service->m_Name
                                               : m_Splits.choose(Chosen);
  const ServiceView &View = m_Services.findOrAdd(Entry.m_Service, Now);
  Duration Allowed =
      std::min(MaxDeadline, CallerDeadline.value_or(View.m_Profile.m_Deadline));
  if (Chosen.m_Timeout > Duration{0})
    Allowed = std::min(Allowed, Chosen.m_Timeout);
  Entry.m_Kind = Chosen.m_HostName + Chosen.m_PathPrefix;
  const Duration AnswerGrace = View.m_Profile.m_AnswerGrace;
  const TimePoint Due = Now + Allowed;
  const Duration Oldest = m_PlannedEnd.isBefore(Due + AnswerGrace)
                              ? oldestOpen(Entry.m_Kind, Now)
                              : Duration{0};
  const auto Deadline =
      m_PlannedEnd.limitDeadline(Entry.m_Kind, Due, AnswerGrace, Oldest, Now);
  if (!Deadline)
    return reject(Id, CallerId, CallOutcome::NotRun,
                  "the node stops before the request's deadline");
  Entry.m_Deadline = *Deadline;
  Entry.m_MaxTargetAttempts =
      Chosen.m_MaxAttempts > 0 ? std::min(Chosen.m_MaxAttempts, MaxGatesPerCall)
                               : 1 + MaxRetries;
  Entry.m_AnswerGrace = View.m_Profile.m_AnswerGrace;
  Entry.m_Priority = combinedPriority(Owner.m_Team, Chosen);
  if (Owner.m_Team != nullptr)
    Entry.m_Team = Owner.m_Team->m_Name;
  Entry.m_SoftDeadline = Chosen.m_TargetLatency > Duration{0}
                             ? Now + Chosen.m_TargetLatency
                             : Entry.m_Deadline;
  Entry.m_AttemptTimeout = View.m_Profile.m_AttemptTimeout;
  if (Chosen.m_TargetLatency > Duration{0})
    Entry.m_AttemptTimeout =
        std::min(Entry.m_AttemptTimeout, Chosen.m_TargetLatency);
  Entry.m_Idempotent = isIdempotent(Chosen.m_Idempotency, Request->m_Method);
  Entry.m_MayRetry = Entry.m_Idempotent && !isRepeat(*Request);
  Entry.m_Request = std::move(Request);
  m_Deadlines.set(Id, Entry.m_Deadline);
  Call &Added = m_Calls.emplace(Id, std::move(Entry)).first->second;
  dispatchWithCredit(Added, Owner.m_Team, Now);
}

void CallTable::setEnd(TimePoint End, TimePoint Now) {
  m_PlannedEnd.set(End);
  for (auto &[Id, Entry] : m_Calls) {
    const TimePoint Latest = std::max(End - Entry.m_AnswerGrace, Now);
    if (Entry.m_Deadline <= Latest)
      continue;
    Entry.m_Deadline = Latest;
    Entry.m_SoftDeadline = std::min(Entry.m_SoftDeadline, Latest);
    m_Deadlines.setNoLater(Id, Latest);
  }
  // The gates know best which waiting requests can't be answered by then.
  m_Links.announceEnd(End, Now);
}

void CallTable::reject(CallId Id, const std::string &CallerId,
                       CallOutcome Outcome, const std::string &Detail,
                       Duration RetryAfter) {
  if (Outcome != CallOutcome::NotRun && Outcome != CallOutcome::OverQuota)
    RetryAfter = Duration{0};
  m_Out.answer({Id, Outcome, nullptr, RetryAfter, Detail});
  m_Out.report(EventId::RequestNotServed,
               "caller_id=" + CallerId + " call=" + std::to_string(Id) +
                   " outcome=" + std::string(outcomeName(Outcome)) +
                   " version=" + formatRevision(version()) +
                   " cause=" + Detail);
}

std::optional<Duration> CallTable::quarantineOf(const HttpRequest &Request,
                                                TimePoint Now) const {
  Quarantine &Evidence = *m_Options.m_Quarantine;
  if (Evidence.empty())
    return std::nullopt;
  return Evidence.check(fingerprintOf(Request), Now);
}

std::optional<RequestFingerprint>
CallTable::suspectOf(const HttpRequest &Request) const {
  const Quarantine &Evidence = *m_Options.m_Quarantine;
  if (Evidence.empty())
    return std::nullopt;
  const RequestFingerprint Fingerprint = fingerprintOf(Request);
  return Evidence.isSuspect(Fingerprint) ? std::optional(Fingerprint)
                                         : std::nullopt;
}

void CallTable::abandon(CallId Id, TimePoint Now) {
  const auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end())
    return;
  const Call Closed = std::move(Found->second);
  m_Calls.erase(Found);
  m_Deadlines.erase(Id);
  releaseCredit(Closed, !mayHaveRun(Closed), Now);
  m_PlannedEnd.recordUnanswered(Closed.m_Kind, Now - Closed.m_OpenedAt);
  for (const AttemptNumber Number : Closed.m_OpenAttempts)
    detach(m_Attempts.at(Number), Closed.m_Deadline, Now);
  m_Out.report(EventId::RequestSettled,
               "caller_id=" + Closed.m_CallerId + " call=" +
                   std::to_string(Id) + " outcome=caller-gone elapsed_us=" +
                   std::to_string((Now - Closed.m_OpenedAt).count()) +
                   " tries=" + Closed.m_History);
}

void CallTable::startAttempt(Call &Entry, const Candidate &Chosen,
                             TimePoint Now) {
  GatePeer &Peer = *Chosen.m_Peer;
  Attempt Current;
  Current.m_Id = {m_Options.m_Incarnation, ++m_LastAttempt};
  Current.m_Call = Entry.m_Id;
  Current.m_Peer = &Peer;
  Current.m_Target = instanceOf(*Chosen.m_Target);
  Current.m_Repeat = Entry.m_Repeats;
  ++Entry.m_TargetAttempts;
  Entry.m_OpenAttempts.push_back(m_LastAttempt);
  Entry.m_TriedGates.push_back(Peer.m_Address);
  Attempt &Added =
      m_Attempts.emplace(m_LastAttempt, std::move(Current)).first->second;
  Peer.m_LastUsed = Now;
  if (Peer.m_State == LinkState::Ready)
    return send(Added, Now);
  Peer.m_Waiting.insert(Added.m_Id.m_Sequence);
  if (!m_Links.ensureOpen(Peer, Now))
    endNotRun(Added.m_Id.m_Sequence, "no link to a gate can be opened", Now);
}

void CallTable::send(Attempt &Current, TimePoint Now) {
  const Call &Entry = m_Calls.at(Current.m_Call);
  GatePeer &Peer = *Current.m_Peer;
  // The statement may have arrived while the request waited for the link.
  if (m_Options.m_LeavingTargets->contains(Current.m_Target))
    return endNotRun(Current.m_Id.m_Sequence, "the target is leaving", Now);
  // The response must arrive by the deadline, so the round trip is subtracted.
  const Duration Remaining = Entry.m_Deadline - Now - Peer.m_Load.roundTrip();
  if (Remaining <= Duration{0})
    return endNotRun(Current.m_Id.m_Sequence, "no time left to reach a gate",
                     Now);
  Current.m_Sent = true;
  Current.m_Gate = *Peer.m_Gate;
  Current.m_Link = Peer.m_Link;
  Current.m_SentAt = Now;
  Peer.m_Waiting.erase(Current.m_Id.m_Sequence);
  Peer.m_Sent.insert(Current.m_Id.m_Sequence);
  Peer.m_Load.recordSent();
  Peer.m_LastUsed = Now;
  m_Links.flushSettled(Peer);
  Dispatch Message;
  Message.m_Id = Current.m_Id;
  Message.m_Epoch = Peer.m_Link;
  Message.m_Gate = Current.m_Gate;
  Message.m_Remaining = Remaining;
  Message.m_Version = version();
  Message.m_Service = Entry.m_Service;
  Message.m_Target = Current.m_Target.m_Name;
  Message.m_Idempotent = Entry.m_Idempotent;
  Message.m_Kind = Entry.m_Kind;
  Message.m_Priority = Entry.m_Priority;
  Message.m_Team = Entry.m_Team;
  if (Entry.m_SoftDeadline < Entry.m_Deadline)
    Message.m_SoftDeadlineIn = Entry.m_SoftDeadline - Now;
  if (Peer.m_StatedBy == Current.m_Target)
    Message.m_StatedRate = Peer.m_StatedRate;
  Current.m_AsSuspect = suspectOf(*Entry.m_Request).has_value();
  Message.m_AsSuspect = Current.m_AsSuspect;
  const bool Repeatable = mayRepeat(Entry);
  Message.m_Repeatable = Repeatable;
  Message.m_Request = Current.m_Repeat == 0
                          ? Entry.m_Request
                          : markRepeat(*Entry.m_Request, Current.m_Repeat);
  sendEvidence(*Entry.m_Request, Peer, Now);
  m_Out.send(Peer.m_Link, std::move(Message));
  m_Links.checkBeforeUse(Peer, Now);
  m_Links.rescheduleTimer(Peer, Now);
  if (Repeatable)
    m_AttemptTimeouts.set(Current.m_Id.m_Sequence,
                          Now + Entry.m_AttemptTimeout);
  if (m_StepEvents)
    m_Out.report(EventId::RequestDispatched,
                 "request=" + toString(Current.m_Id) + " call=" +
                     std::to_string(Entry.m_Id) + " gate=" + Peer.m_Address +
                     " repeat=" + std::to_string(Current.m_Repeat));
}

// The gate must know that the request is suspect before it starts it.
void CallTable::sendEvidence(const HttpRequest &Request, const GatePeer &Peer,
                             TimePoint Now) {
  const Quarantine &Evidence = *m_Options.m_Quarantine;
  if (Evidence.empty())
    return;
  CrashNotice Notice{Evidence.evidenceOf(fingerprintOf(Request), Now)};
  if (!Notice.m_Evidence.empty())
    m_Out.send(Peer.m_Link, std::move(Notice));
}

void CallTable::dispatchOrConclude(Call &Entry, TimePoint Now) {
  if (hasUnhedgedAttempt(Entry))
    return;
  const bool InTime = Now < Entry.m_Deadline;
  if (InTime && !Entry.m_IsConfined &&
      Entry.m_TriedGates.size() < MaxGatesPerCall &&
      Entry.m_TargetAttempts < Entry.m_MaxTargetAttempts) {
    ServiceView &View = m_Services.findOrAdd(Entry.m_Service, Now);
    const Candidate *Chosen = chooseTarget(View, Entry, Now);
    // Once a target has received the request, the next attempt is a retry.
    if (Chosen != nullptr && (Entry.m_TargetAttempts == 0 ||
                              View.m_Budget.tryConsume(View.m_Profile, Now)))
      return startAttempt(Entry, *Chosen, Now);
    if (Chosen == nullptr && awaitTargets(Entry, Now))
      return;
  }
  conclude(Entry, Now);
}

void CallTable::retryOrConclude(Call &Entry, TimePoint Now) {
  Entry.m_MayHaveRun = true;
  if (hasUnhedgedAttempt(Entry) || retry(Entry, Now))
    return;
  conclude(Entry, Now);
}

bool CallTable::retry(Call &Entry, TimePoint Now, bool Failed) {
  if (!mayRepeat(Entry) || Entry.m_TriedGates.size() >= MaxGatesPerCall ||
      Now >= Entry.m_Deadline)
    return false;
  if (quarantineOf(*Entry.m_Request, Now)) {
    Entry.m_LastFault = QuarantinedFault;
    return false;
  }
  ServiceView &View = m_Services.findOrAdd(Entry.m_Service, Now);
  const Candidate *Chosen = chooseTarget(View, Entry, Now);
  const double Reserve =
      Failed ? 0 : FailureReserve * View.m_Profile.m_RetryFloor;
  if (Chosen == nullptr ||
      (!Failed && !Router::hasSpareCapacity(View, *Chosen, Now)) ||
      !View.m_Budget.tryConsume(View.m_Profile, Now, Reserve))
    return false;
  ++Entry.m_Repeats;
  startAttempt(Entry, *Chosen, Now);
  return true;
}

void CallTable::conclude(Call &Entry, TimePoint Now) {
  if (!Entry.m_OpenAttempts.empty())
    return;
  if (Entry.m_ServerErrorResponse != nullptr)
    return finish(Entry.m_Id, CallOutcome::Answered,
                  Entry.m_ServerErrorResponse, "", Now);
  const CallOutcome Outcome =
      mayHaveRun(Entry) ? CallOutcome::Unknown : CallOutcome::NotRun;
  const std::string Fault = Entry.m_LastFault.empty()
                                ? "no target takes work now"
                                : Entry.m_LastFault;
  finish(Entry.m_Id, Outcome, nullptr, Fault, Now);
}

void CallTable::finish(CallId Id, CallOutcome Outcome, HttpResponsePtr Response,
                       const std::string &Detail, TimePoint Now) {
  const auto Found = m_Calls.find(Id);
  const Call Ended = std::move(Found->second);
  m_Calls.erase(Found);
  m_Deadlines.erase(Id);
  releaseCredit(Ended, Outcome == CallOutcome::NotRun, Now);
  Duration RetryAfter = Ended.m_RetryAfter;
  recordElapsed(Ended, Outcome, Response.get(), Now);
  if (Outcome == CallOutcome::NotRun) {
    if (RetryAfter == Duration{0})
      RetryAfter = Router::remainingBackoff(
          m_Services.findOrAdd(Ended.m_Service, Now), Now);
    if (RetryAfter == Duration{0})
      RetryAfter = DefaultRetryAfter;
    if (!Ended.m_IsConfined)
      RetryAfter = m_ReturnSpread.spread(RetryAfter);
  } else if (Outcome != CallOutcome::OverQuota) {
    RetryAfter = Duration{0};
  }
  m_Out.answer({Id, Outcome, std::move(Response), RetryAfter, Detail});
  const AttemptNumber Last = Ended.m_OpenAttempts.empty()
                                 ? Ended.m_LastAttempt
                                 : Ended.m_OpenAttempts.back();
  const std::string Fields =
      "caller_id=" + Ended.m_CallerId + " call=" + std::to_string(Id) +
      " request=" + toString(RequestId{m_Options.m_Incarnation, Last}) +
      " outcome=" + std::string(outcomeName(Outcome)) +
      " route=" + Ended.m_Kind + " service=" + Ended.m_Service +
      (Ended.m_Team.empty() ? "" : " team=" + Ended.m_Team) +
      " elapsed_us=" + std::to_string((Now - Ended.m_OpenedAt).count()) +
      " late_us=" + std::to_string((Now - Ended.m_SoftDeadline).count()) +
      " version=" + formatRevision(version()) + " tries=" + Ended.m_History;
  m_Out.report(eventOf(Outcome),
               Detail.empty() ? Fields : Fields + " cause=" + Detail);
  for (const AttemptNumber Number : Ended.m_OpenAttempts)
    detach(m_Attempts.at(Number), Ended.m_Deadline, Now);
}

// Timers.

void CallTable::expire(TimePoint Now) {
  while (const std::optional<CallId> Id = m_Deadlines.takeDue(Now)) {
    Call &Late = m_Calls.at(*Id);
    if (Late.m_AwaitsTargets && Now < Late.m_Deadline) {
      endTargetsWait(Late);
      conclude(Late, Now);
      continue;
    }
    const TimePoint GraceEnd = Late.m_Deadline + Late.m_AnswerGrace;
    if (Now < GraceEnd && mayHaveRun(Late) && !Late.m_OpenAttempts.empty()) {
      m_Deadlines.set(*Id, GraceEnd);
      continue;
    }
    if (Late.m_ServerErrorResponse != nullptr) {
      finish(*Id, CallOutcome::Answered, Late.m_ServerErrorResponse, "", Now);
      continue;
    }
    const CallOutcome Outcome =
        mayHaveRun(Late) ? CallOutcome::Unknown : CallOutcome::NotRun;
    finish(*Id, Outcome, nullptr, "the deadline passed", Now);
  }
}

void CallTable::onTick(TimePoint Now) {
  while (const std::optional<AttemptNumber> Number =
             m_AttemptTimeouts.takeDue(Now))
    onAttemptTimeout(*Number, Now);
  while (const std::optional<AttemptNumber> Number =
             m_OrphanTimeouts.takeDue(Now)) {
    const Attempt &Expired = m_Attempts.at(*Number);
    m_Links.settle(*Expired.m_Peer, Expired.m_Id, Now);
    m_Links.rescheduleTimer(*Expired.m_Peer, Now);
    endAttempt(*Number);
  }
  m_Credits.onTick(Now);
  settleCredits(Now);
}

void CallTable::onAttemptTimeout(AttemptNumber Number, TimePoint Now) {
  Call &Entry = m_Calls.at(m_Attempts.at(Number).m_Call);
  // The attempt stays open, because it may still bring the answer and the retry
  // may be refused. It is cancelled once another attempt has answered.
  retry(Entry, Now, /*Failed=*/false);
}

std::optional<TimePoint> CallTable::nextWakeUp() const {
  std::optional<TimePoint> Next;
  for (const std::optional<TimePoint> &Each :
       {m_Deadlines.next(), m_AttemptTimeouts.next(), m_OrphanTimeouts.next(),
        m_Credits.nextWakeUp()}) {
    if (Each && (!Next || *Each < *Next))
      Next = Each;
  }
  return Next;
}

// Lookups.

Version CallTable::version() const {
  const Configuration *Config = m_Services.configuration();
  return Config == nullptr ? 0 : Config->m_Stamp.m_Version;
}

Attempt *CallTable::findSent(const RequestId &Id, const GatePeer &Peer) {
  if (Id.m_Ingress != m_Options.m_Incarnation)
    return nullptr;
  const auto Found = m_Attempts.find(Id.m_Sequence);
  if (Found == m_Attempts.end() || !Found->second.m_Sent ||
      Found->second.m_Peer != &Peer)
    return nullptr;
  return &Found->second;
}

Call *CallTable::findCall(CallId Id) {
  const auto Found = m_Calls.find(Id);
  return Found == m_Calls.end() ? nullptr : &Found->second;
}

// Answers with a server error come sooner or later than others.
void CallTable::recordElapsed(const Call &Ended, CallOutcome Outcome,
                              const HttpResponse *Response, TimePoint Now) {
  constexpr std::uint32_t FirstServerError = 500;
  const Duration Elapsed = Now - Ended.m_OpenedAt;
  if (Outcome == CallOutcome::Unknown)
    m_PlannedEnd.recordUnanswered(Ended.m_Kind, Elapsed);
  else if (Outcome == CallOutcome::Answered &&
           Response->m_Status < FirstServerError)
    m_PlannedEnd.recordAnswer(Ended.m_Kind, Elapsed);
}

Duration CallTable::oldestOpen(const std::string &Kind, TimePoint Now) const {
  // Ordered by the start of the calls.
  const auto Found =
      std::find_if(m_Calls.begin(), m_Calls.end(), [&Kind](const auto &Each) {
        return Each.second.m_Kind == Kind;
      });
  return Found == m_Calls.end() ? Duration{0} : Now - Found->second.m_OpenedAt;
}

bool CallTable::mayRepeat(const Call &Entry) {
  return Entry.m_MayRetry && Entry.m_TargetAttempts < Entry.m_MaxTargetAttempts;
}

bool CallTable::hasUnhedgedAttempt(const Call &Entry) const {
  return std::any_of(Entry.m_OpenAttempts.begin(), Entry.m_OpenAttempts.end(),
                     [this](AttemptNumber Number) {
                       const Attempt &OpenAttempt = m_Attempts.at(Number);
                       return !OpenAttempt.m_Hedged;
                     });
}

bool CallTable::mayHaveRun(const Call &Entry) const {
  return Entry.m_MayHaveRun ||
         std::any_of(Entry.m_OpenAttempts.begin(), Entry.m_OpenAttempts.end(),
                     [this](AttemptNumber Number) {
                       return m_Attempts.at(Number).m_Sent;
                     });
}

} // namespace dandelionfall::core::ingress
