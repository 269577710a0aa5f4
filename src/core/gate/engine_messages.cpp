#include "core/gate/engine.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core::gate {

namespace {

constexpr double MicrosecondsPerSecond = 1'000'000;
/// Limit on the room that is assumed to be taken by more urgent requests.
constexpr double MaxMoreUrgentPart = 0.95;

} // namespace

void Engine::onMessage(LinkId Link, const TrafficMessage &Message,
                       TimePoint Now) {
  updateSleepGuard(Now);
  expire(Now);
  if (const auto *Hello = std::get_if<TrafficHello>(&Message))
    return handleHello(Link, *Hello, Now);
  const LinkRecord *Record = m_Links.find(Link);
  if (Record == nullptr)
    return closeLink(Link);
  m_Links.extendActiveUntil(Record->m_Ingress, Now);
  std::visit([&](const auto &Each) { handle(Link, Each, Now); }, Message);
  advance(Now);
}

template <typename Unexpected>
void Engine::handle(LinkId Link, const Unexpected & /*Message*/,
                    TimePoint /*Now*/) {
  closeLink(Link);
}

void Engine::handleHello(LinkId Link, const TrafficHello &Message,
                         TimePoint Now) {
  const HelloResult Result = m_Links.open(Link, Message, Now);
  if (!Result.m_Accepted)
    return closeLink(Link);
  if (Result.m_Replaced)
    m_Commands.emplace_back(CloseTrafficLink{*Result.m_Replaced});
  if (Result.m_EpochRaised)
    report(EventId::EpochRaised, "ingress=" + toString(Message.m_Ingress) +
                                     " host=" + Message.m_Host + " epoch=" +
                                     std::to_string(Message.m_Epoch));
  if (Result.m_Departed) {
    for (const RequestId &Id : m_Ledger.queuedRequests(*Result.m_Departed)) {
      m_Queue.remove(Id);
      refuse(Id, {RefusalReason::Cancelled, Duration{0}});
    }
    m_Ledger.forget(*Result.m_Departed);
  }
  if (Result.m_Evicted)
    m_Ledger.erase(*Result.m_Evicted);
  // Sent before the welcome, which the ingress answers with requests.
  if (!m_LeavingTargets->empty())
    send(Link, LeavingNotice{m_LeavingTargets->snapshot()});
  send(Link, TrafficWelcome{m_Options.m_Host, m_Options.m_Incarnation,
                            Message.m_Epoch, version(), capacity()});
  if (m_DrainUntil)
    send(Link, TrafficGoAway{});
  if (!m_Quarantine->empty())
    send(Link, CrashNotice{m_Quarantine->snapshot(Now)});
  reportNewerVersion(Link, Message.m_Version);
  advance(Now);
}

void Engine::handle(LinkId Link, const Dispatch &Message, TimePoint Now) {
  const RequestId &Id = Message.m_Id;
  if (Id.m_Ingress != m_Links.find(Link)->m_Ingress)
    return closeLink(Link);
  reportNewerVersion(Link, Message.m_Version);
  const RequestState State = m_Ledger.lookUp(Id);
  if (State != RequestState::Unknown)
    return handleRepeatedDispatch(Link, Id, State);
  const Duration Remaining = std::min(Message.m_Remaining, MaxRemaining) -
                             m_SleepGuard.maxUnreadTime(Now);
  std::optional<RefusalCause> Cause = refusalByFence(Link, Message);
  if (!Cause)
    Cause = refusalByState(Message, Remaining, Now);
  if (!Cause)
    Cause = refusalByQuarantine(Message.m_Request, Message.m_AsSuspect, Now);
  if (!Cause)
    m_Shares.recordAsked(Message.m_Priority, Now);
  const ArrivingRequest Arriving = arrivingRequest(Message, Remaining, Now);
  if (!Cause && Message.m_StatedRate &&
      m_StatedRate.adopt(*Message.m_StatedRate, Now))
    reportStatedRate("ingress");
  Admitted As;
  if (!Cause) {
    Cause = refusalByLoad(Message, Arriving, As, Now);
    // Otherwise the ingress would send it to another target meanwhile.
    if (Cause && Message.m_AsSuspect &&
        hasCopy(fingerprintOf(*Message.m_Request)))
      Cause->m_Reason = RefusalReason::Suspect;
  }
  if (!Cause) {
    displace(As.m_Displaced, Now);
    m_Shares.recordServed(Message.m_Priority, Now);
    return enqueue(Message, Arriving, As);
  }
  if (Cause->m_Reason == RefusalReason::Suspect)
    send(Link, evidenceAgainst(fingerprintOf(*Message.m_Request), Now));
  m_Ledger.refuse(Id, Cause->m_Reason);
  sendRefusal(Link, Id, *Cause);
}

void Engine::handleRepeatedDispatch(LinkId Link, const RequestId &Id,
                                    RequestState State) {
  if (State == RequestState::NeverRuns)
    return sendRefusal(Link, Id, {m_Ledger.refusalReason(Id), Duration{0}});
  // The current link will receive the result anyway, or has settled it.
  if (!m_Links.isCurrent(Link))
    return;
  if (State == RequestState::Done)
    return sendResult(Id);
  if (State == RequestState::Forgotten)
    send(Link, Failure{Id, "the gate no longer knows it", capacity()});
}

std::optional<RefusalCause>
Engine::refusalByFence(LinkId Link, const Dispatch &Message) const {
  if (!m_Links.isCurrent(Link) ||
      Message.m_Epoch != m_Links.find(Link)->m_Epoch)
    return RefusalCause{RefusalReason::OldEpoch, Duration{0}};
  if (Message.m_Gate != m_Options.m_Incarnation)
    return RefusalCause{RefusalReason::WrongIncarnation, Duration{0}};
  return std::nullopt;
}

std::optional<RefusalCause> Engine::refusalByState(const Dispatch &Message,
                                                   Duration Remaining,
                                                   TimePoint Now) const {
  if (auto Cause = refusalByTarget(Message.m_Service, Message.m_Target))
    return Cause;
  if (m_DrainUntil)
    return RefusalCause{RefusalReason::Draining, Duration{0}};
  if (isZoneOut())
    return RefusalCause{RefusalReason::ZoneOut, Duration{0}};
  if (Remaining <= Duration{0})
    return RefusalCause{RefusalReason::DeadlinePassed, Duration{0}};
  const Duration Pause = m_HoldOff.remaining(Now);
  if (Pause > Duration{0})
    return RefusalCause{RefusalReason::TargetDown, Pause};
  if (m_Ledger.entryCount(Message.m_Id.m_Ingress) >= MaxEntriesPerIngress)
    return RefusalCause{RefusalReason::QueueFull, Duration{0}};
  if (Message.m_NoRoom)
    return RefusalCause{RefusalReason::QueueFull,
                        estimate(Message.m_Kind, Now).m_Mean};
  return std::nullopt;
}

std::optional<RefusalCause>
Engine::refusalByTarget(const std::string &Service,
                        const std::string &TargetName) const {
  if (m_Target == nullptr || TargetName != m_Target->m_Name ||
      Service != m_Service->m_Name || TargetName == m_DepartedTarget)
    return RefusalCause{RefusalReason::UnknownTarget, Duration{0}};
  if (m_HostLeaving)
    return RefusalCause{RefusalReason::Draining, Duration{0}};
  if (m_Target->m_Draining || m_LeavingTargets->contains(m_Instance))
    return RefusalCause{RefusalReason::TargetLeaving, Duration{0},
                        statementOf(m_Instance)};
  return std::nullopt;
}

std::optional<RefusalCause>
Engine::refusalByQuarantine(const HttpRequestPtr &Request, bool AsSuspect,
                            TimePoint Now) {
  if (m_Quarantine->empty() || Request == nullptr)
    return std::nullopt;
  const RequestFingerprint Arriving = fingerprintOf(*Request);
  if (const auto Remaining = m_Quarantine->check(Arriving, Now))
    return RefusalCause{RefusalReason::Quarantined, *Remaining};
  if (!AsSuspect && m_Quarantine->isSuspect(Arriving))
    return RefusalCause{RefusalReason::Suspect, Duration{0}};
  return std::nullopt;
}

bool Engine::mustWaitAsSuspect(const RequestFingerprint &Request,
                               TimePoint Now) {
  const auto Until = m_Quarantine->delayedUntil(Request, Now);
  if (Until)
    m_NextSuspectStart = std::min(m_NextSuspectStart.value_or(*Until), *Until);
  return Until || isBesideSuspect(Request);
}

bool Engine::isBesideSuspect(const RequestFingerprint &Request) const {
  if (!m_Quarantine->isSuspect(Request))
    return false;
  const auto &Running = m_Slots.slots();
  return std::any_of(Running.begin(), Running.end(),
                     [&](const OccupiedSlot &Slot) {
                       return Slot.m_Fingerprint != Request &&
                              m_Quarantine->isSuspect(Slot.m_Fingerprint);
                     });
}

std::optional<RefusalCause>
Engine::refusalByLoad(const Dispatch &Message, const ArrivingRequest &Arriving,
                      Admitted &As, TimePoint Now) {
  const std::string &Kind = Message.m_Kind;
  const Duration Wait = rateWait(Arriving.m_Rank, Now);
  if (Wait > MaxRateWait ||
      (Wait > Duration{0} &&
       Now + Wait + estimate(Kind, Now).m_Mean > Arriving.m_Deadline))
    return RefusalCause{RefusalReason::Overload, Wait, std::nullopt,
                        "target-rate", Arriving.m_Rank};
  const AdmissionView View = admissionView(Kind, Now);
  const AdmissionDecision Decision = m_Admission->decide(View, Arriving);
  As = {Decision.m_Late, false, View.m_ServiceTime.m_Mean,
        Decision.m_Displaced};
  if (Decision.m_Admitted || admitProbe(Message, Arriving, View, As, Now))
    return std::nullopt;
  return RefusalCause{Decision.m_Reason, Decision.m_RetryAfter, std::nullopt,
                      "no-place", Arriving.m_Rank};
}

bool Engine::admitProbe(const Dispatch &Message,
                        const ArrivingRequest &Arriving,
                        const AdmissionView &View, Admitted &As,
                        TimePoint Now) {
  const auto Probe =
      m_ServiceTimes.probeEstimate(Message.m_Kind, Now, m_IdleSince);
  if (!Probe)
    return false;
  // The probe may take as long as expected. It must be done by the deadline
  // then, unless the ingress can repeat the request.
  ArrivingRequest UntilDeadline = Arriving;
  UntilDeadline.m_SoftDeadline = Arriving.m_Deadline;
  if (!Message.m_Idempotent &&
      !m_Admission->decide(View, UntilDeadline).m_Admitted)
    return false;
  AdmissionView AsProbe = View;
  AsProbe.m_ServiceTime = *Probe;
  const AdmissionDecision Decision = m_Admission->decide(AsProbe, Arriving);
  if (!Decision.m_Admitted)
    return false;
  As = {Decision.m_Late, true, Probe->m_Mean, Decision.m_Displaced};
  m_ServiceTimes.recordProbe(Message.m_Kind, Now);
  return true;
}

// The queue of a target with a rate limit drains at that rate, regardless of
// free slots.
Duration Engine::rateWait(Rank Of, TimePoint Now) const {
  const std::uint32_t Ahead = m_Queue.countUpTo(Of);
  Duration Wait = m_StatedRate.wait(Ahead, Now);
  if (const auto PerSecond = m_ColdRate.limit(Now))
    Wait = std::max(Wait, Duration(static_cast<Duration::rep>(
                              Ahead / *PerSecond * MicrosecondsPerSecond)));
  return Wait;
}

std::vector<TimePoint> Engine::rateStarts(std::size_t Count,
                                          TimePoint Now) const {
  std::vector<TimePoint> Starts = m_StatedRate.nextStarts(Count, Now);
  const std::vector<TimePoint> Cold = m_ColdRate.nextStarts(Count, Now);
  if (Starts.empty() || Cold.empty())
    return Starts.empty() ? Cold : Starts;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Starts[Index] = std::max(Starts[Index], Cold[Index]);
  return Starts;
}

AdmissionView Engine::admissionView(const std::string &Kind,
                                    TimePoint Now) const {
  AdmissionView View;
  View.m_Now = Now;
  View.m_ServiceTime = estimate(Kind, Now);
  View.m_QueueLimit = m_Profile->m_QueueLimit;
  for (const QueuedRequest &Request : m_Queue.requests())
    View.m_Waiting.push_back({Request.m_Deadline, Request.m_Expected,
                              Request.m_SoftDeadline, Request.m_Late,
                              Request.m_Rank, Request.m_EndsEarly});
  View.m_RateStarts = rateStarts(View.m_Waiting.size() + 1, Now);
  const Duration Overdue =
      std::max(View.m_ServiceTime.m_Deviation, Duration{1});
  for (const OccupiedSlot &Slot : m_Slots.slots()) {
    const TimePoint Expected = Slot.m_FreeAt.value_or(
        Slot.m_Start + estimate(Slot.m_Kind, Now).m_Mean);
    View.m_SlotsFreeAt.push_back(std::max(Expected, Now + Overdue));
  }
  // With more slots occupied than the limit allows, the first requests to
  // finish free no slot.
  std::sort(View.m_SlotsFreeAt.rbegin(), View.m_SlotsFreeAt.rend());
  View.m_SlotsFreeAt.resize(m_Ramp.limit(), Now);
  return View;
}

void Engine::enqueue(const Dispatch &Message, const ArrivingRequest &Arriving,
                     const Admitted &As) {
  const TimePoint Deadline = Arriving.m_Deadline;
  LedgerEntry Entry;
  Entry.m_Deadline = Deadline;
  Entry.m_Idempotent = Message.m_Idempotent;
  Entry.m_AsSuspect = Message.m_AsSuspect;
  Entry.m_Repeatable = Message.m_Repeatable;
  Entry.m_Target = m_Instance;
  Entry.m_Service = Message.m_Service;
  Entry.m_Team = Message.m_Team;
  Entry.m_Arrival = ++m_Arrivals;
  Entry.m_Request = Message.m_Request;
  m_Queue.push({Message.m_Id, Deadline, Entry.m_Arrival,
                Arriving.m_SoftDeadline, As.m_Late, Message.m_Kind,
                As.m_Expected, As.m_Probe, Arriving.m_Rank,
                Message.m_Priority});
  m_Ledger.admit(Message.m_Id, std::move(Entry));
  m_Links.extendActiveUntil(Message.m_Id.m_Ingress, Deadline);
}

ArrivingRequest Engine::arrivingRequest(const Dispatch &Message,
                                        Duration Remaining,
                                        TimePoint Now) const {
  ArrivingRequest Arriving;
  Arriving.m_Deadline = Now + Remaining;
  Arriving.m_SoftDeadline = Now + std::min(Message.m_SoftDeadlineIn, Remaining);
  Arriving.m_Rank = m_Shares.competingRank(Message.m_Priority);
  const std::chrono::duration<double> Mean =
      m_ServiceTimes.overall().estimate(Now, m_IdleSince).m_Mean;
  Arriving.m_MoreUrgentPart = std::min(
      m_Shares.moreUrgentRate(Arriving.m_Rank) * Mean.count() / m_Ramp.limit(),
      MaxMoreUrgentPart);
  return Arriving;
}

void Engine::displace(const std::vector<Displaced> &Losing, TimePoint Now) {
  if (Losing.empty())
    return;
  const std::vector<QueuedRequest> Waiting = m_Queue.requests();
  for (const Displaced &Each : Losing) {
    const QueuedRequest &Request = Waiting[Each.m_Index];
    m_Queue.remove(Request.m_Id);
    refuseWaiting(Request, "displaced", Each.m_RetryAfter, Now);
  }
}

void Engine::refuseWaiting(const QueuedRequest &Request, std::string_view Why,
                           Duration RetryAfter, TimePoint Now) {
  m_Shares.recordLost(Request.m_OwnRank, Now);
  refuse(Request.m_Id, {RefusalReason::Overload, RetryAfter, std::nullopt, Why,
                        Request.m_Rank});
}

void Engine::handle(LinkId Link, const Inquiry &Message, TimePoint /*Now*/) {
  // An inquiry that arrives late on an older link must not fence off any
  // request.
  if (!m_Links.isCurrent(Link))
    return;
  if (Message.m_Ids.size() > MaxIdsPerMessage)
    return closeLink(Link);
  for (const RequestId &Id : Message.m_Ids) {
    if (Id.m_Ingress != m_Links.find(Link)->m_Ingress)
      return closeLink(Link);
    answerInquiry(Link, Id);
  }
}

void Engine::answerInquiry(LinkId Link, const RequestId &Id) {
  switch (m_Ledger.lookUp(Id)) {
  case RequestState::Unknown:
    m_Ledger.fence(Id);
    [[fallthrough]];
  case RequestState::NeverRuns:
    return send(Link, InquiryReply{Id, LedgerState::NeverRuns});
  case RequestState::Queued:
  case RequestState::Running:
    return send(Link, InquiryReply{Id, LedgerState::Running});
  case RequestState::Done:
    send(Link, InquiryReply{Id, LedgerState::Done});
    return sendResult(Id);
  case RequestState::Settled:
  case RequestState::Forgotten:
    send(Link, InquiryReply{Id, LedgerState::Done});
    send(Link, Failure{Id, "the gate no longer knows it", capacity()});
  }
}

void Engine::handle(LinkId Link, const Settled &Message, TimePoint /*Now*/) {
  if (Message.m_Ids.size() > MaxIdsPerMessage)
    return closeLink(Link);
  for (const RequestId &Id : Message.m_Ids) {
    if (Id.m_Ingress == m_Links.find(Link)->m_Ingress)
      m_Ledger.settle(Id);
  }
}

void Engine::handle(LinkId Link, const Cancel &Message, TimePoint Now) {
  const RequestId &Id = Message.m_Id;
  if (Id.m_Ingress != m_Links.find(Link)->m_Ingress)
    return closeLink(Link);
  switch (m_Ledger.lookUp(Id)) {
  case RequestState::Unknown:
    return refuse(Id, {RefusalReason::Cancelled, Duration{0}});
  case RequestState::Queued:
    m_Queue.remove(Id);
    return refuse(Id, {RefusalReason::Cancelled, Duration{0}});
  case RequestState::Running:
    return abandon(Id, "cancelled by the caller", Now);
  case RequestState::Done:
  case RequestState::NeverRuns:
  case RequestState::Settled:
  case RequestState::Forgotten:
    return;
  }
}

void Engine::handle(LinkId Link, const TrafficPing &Message, TimePoint Now) {
  reportNewerVersion(Link, Message.m_Version);
  if (Message.m_EndsIn) {
    const Duration Left = std::clamp(
        *Message.m_EndsIn - m_SleepGuard.maxUnreadTime(Now) - answerGrace(),
        Duration{0}, MaxRemaining);
    m_Queue.limitDeadlines(Now + Left, m_Links.find(Link)->m_Ingress);
    expire(Now);
  }
  send(Link, TrafficPong{Message.m_Sequence, version(), capacity()});
}

void Engine::handle(LinkId Link, const CrashNotice &Message, TimePoint Now) {
  if (Message.m_Evidence.size() > Quarantine::MaxExchanged)
    return closeLink(Link);
  m_Quarantine->merge(Message.m_Evidence, Now);
}

void Engine::handle(LinkId Link, const LeavingNotice &Message, TimePoint Now) {
  if (Message.m_Targets.size() > LeavingTargets::MaxExchanged)
    return closeLink(Link);
  for (const TargetInstance &Each : Message.m_Targets) {
    if (m_LeavingTargets->add(Each))
      report(EventId::TargetLeaving,
             "target=" + Each.m_Name + " origin=notice");
  }
  refuseBarred(Now);
}

void Engine::handle(LinkId Link, const CreditRequest &Message, TimePoint Now) {
  send(Link, m_Accounts.grant(Message, Now));
}

void Engine::reportNewerVersion(LinkId Link, Version Seen) {
  if (Seen <= std::max(version(), m_NewestSeenVersion))
    return;
  m_NewestSeenVersion = Seen;
  m_Commands.emplace_back(PeerVersionSeen{Seen, Link});
}

void Engine::closeLink(LinkId Link) {
  m_Links.close(Link);
  m_Commands.emplace_back(CloseTrafficLink{Link});
}

} // namespace dandelionfall::core::gate
