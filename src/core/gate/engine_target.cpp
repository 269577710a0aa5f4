#include "core/gate/early_end.h"
#include "core/gate/engine.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core::gate {

namespace {

/// Number of deviations above the mean service time within which an abandoned
/// request is expected to end at the target.
constexpr int AbandonedDeviations = 4;

} // namespace

void Engine::onTargetAnswer(const RequestId &Id, HttpResponsePtr Response,
                            TimePoint Now) {
  updateSleepGuard(Now);
  const std::uint32_t Occupied = m_Slots.size();
  if (const auto Slot = m_Slots.release(Id)) {
    m_HoldOff.onConnected();
    updateIdleSince(Now);
    recordServiceTime(*Slot, true, Occupied, Now);
    if (Response->m_Status < FirstServerError)
      m_Quarantine->onAnswered(Slot->m_Fingerprint, Now);
  }
  if (m_Ledger.lookUp(Id) == RequestState::Running) {
    if (m_StepEvents)
      report(EventId::RequestFinished,
             "request=" + toString(Id) + " result=answer");
    m_Ledger.finish(Id, std::move(Response));
    sendResult(Id);
  }
  expire(Now);
  advance(Now);
}

void Engine::onTargetFailure(const RequestId &Id, TargetFailure Kind,
                             const std::string &Detail, TimePoint Now) {
  updateSleepGuard(Now);
  const OccupiedSlot *Found = m_Slots.find(Id);
  if (Found != nullptr) {
    const OccupiedSlot Slot = *Found;
    if (Kind == TargetFailure::NotSent)
      onNotSent(Slot, Detail, Now);
    else if (!Slot.m_FreeAt)
      onFailedAfterSend(Slot, Kind, Detail, Now);
  }
  expire(Now);
  advance(Now);
}

void Engine::onNotSent(const OccupiedSlot &Slot, const std::string &Detail,
                       TimePoint Now) {
  m_Slots.release(Slot.m_Id);
  updateIdleSince(Now);
  // The gate cancelled the request before it was sent, so this is no evidence
  // about the target.
  if (Slot.m_FreeAt)
    return;
  onTargetEnded(m_EndWatch.onRefused(), Now);
  if (m_HoldOff.onRefused(Slot.m_Start, Now)) {
    report(EventId::TargetHeldOff,
           "pause_us=" + std::to_string(m_HoldOff.remaining(Now).count()) +
               " detail=" + Detail);
    restartRamp("refused-connection", Now);
    // A target that accepts no connections is assumed to be restarting, and to
    // be cold when it accepts connections again.
    if (m_Service != nullptr)
      m_ColdRate.extendColdUntil(m_HoldOff.until() + m_Service->m_ColdStart);
  }
  refuseNotAccepted(Slot.m_Id, Slot.m_Fingerprint, Now);
  for (const QueuedRequest &Request : m_Queue.takeAll())
    refuseNotAccepted(Request.m_Id, queuedFingerprint(Request.m_Id), Now);
  releaseHeldRefusals(false, Now);
}

void Engine::onFailedAfterSend(const OccupiedSlot &Slot, TargetFailure Kind,
                               const std::string &Detail, TimePoint Now) {
  // The connection broke because of an end that is already known.
  if (const auto End = m_EndWatch.endOf(Slot.m_Id)) {
    m_Slots.release(Slot.m_Id);
    updateIdleSince(Now);
    return failRunning(Slot.m_Id, Detail, End);
  }
  m_HoldOff.onConnected();
  if (Kind == TargetFailure::Reset)
    m_EndWatch.onConnectionBroken(m_Slots.slots(), Now);
  m_Slots.abandon(Slot.m_Id, abandonedUntil(Slot, Now));
  if (Kind != TargetFailure::Reset) {
    recordServiceTime(Slot, false, m_Slots.size(), Now);
    return failRunning(Slot.m_Id, Detail);
  }
  restartRamp("reset", Now);
  m_HeldFailures.push_back({Slot.m_Id, Detail, Now + MaxVerdictWait});
  if (m_EndWatch.takeDueCheck(Now))
    m_Commands.emplace_back(CheckTarget{});
}

void Engine::abandon(const RequestId &Id, const std::string &Detail,
                     TimePoint Now) {
  m_Commands.emplace_back(CancelTarget{Id});
  const OccupiedSlot *Slot = m_Slots.find(Id);
  if (Slot != nullptr) {
    const OccupiedSlot Before = *Slot;
    m_Slots.abandon(Id, abandonedUntil(Before, Now));
    recordServiceTime(Before, false, m_Slots.size(), Now);
  }
  failRunning(Id, Detail);
}

void Engine::failRunning(const RequestId &Id, const std::string &Detail,
                         const std::optional<RequestId> &TargetEnd) {
  if (m_Ledger.lookUp(Id) != RequestState::Running)
    return;
  if (m_StepEvents)
    report(EventId::RequestFinished,
           "request=" + toString(Id) + " result=failure detail=" + Detail);
  m_Ledger.fail(Id, Detail, TargetEnd);
  sendResult(Id);
}

// The target received the deadline and stops by then. Before that, a target
// that doesn't notice the cancellation keeps working for its usual service
// time.
TimePoint Engine::abandonedUntil(const OccupiedSlot &Slot,
                                 TimePoint Now) const {
  const ServiceTimeEstimate Expected = estimate(Slot.m_Kind, Now);
  TimePoint End = Now + DefaultAbandonedHold;
  if (Expected.m_Mean > Duration{0})
    End = Slot.m_Start + Expected.m_Mean +
          AbandonedDeviations * Expected.m_Deviation;
  return std::clamp(std::min(End, Slot.m_Deadline), Now + MinAbandonedHold,
                    Now + MaxAbandonedHold);
}

void Engine::recordServiceTime(const OccupiedSlot &Slot, bool Complete,
                               std::uint32_t Occupied, TimePoint Now) {
  // Time for which this process was suspended is not service time of the
  // target.
  if (m_SleepGuard.sleptSince(Slot.m_Start))
    return;
  const Duration Sample = Now - Slot.m_Start;
  if (Complete)
    m_ServiceTimes.addSample(Slot.m_Kind, Sample, Now);
  else
    m_ServiceTimes.addLowerBound(Slot.m_Kind, Sample, Now);
  if (!m_Ramp.isEnabled())
    return;
  const bool InUse = 2 * Occupied > m_Ramp.limit();
  switch (m_Ramp.onCompletion(Sample, Complete, InUse, Now)) {
  case RampChange::None:
  case RampChange::Raised:
    return;
  case RampChange::Finished:
    return report(EventId::RampFinished,
                  "limit=" + std::to_string(m_Ramp.limit()));
  case RampChange::Restarted:
    return report(EventId::RampRestarted,
                  "cause=service-time limit=" + std::to_string(m_Ramp.limit()));
  }
}

void Engine::restartRamp(std::string_view Cause, TimePoint Now) {
  m_Ramp.restart(Now);
  report(EventId::RampRestarted, "cause=" + std::string(Cause) + " limit=" +
                                     std::to_string(m_Ramp.limit()));
}

void Engine::restartRampIfRaised(std::string_view Cause, TimePoint Now) {
  const std::uint32_t Before = m_Ramp.limit();
  if (m_Ramp.restart(Now))
    report(EventId::RampRestarted, "cause=" + std::string(Cause) + " limit=" +
                                       std::to_string(m_Ramp.limit()) +
                                       " before=" + std::to_string(Before));
}

void Engine::onTargetRefused(const RequestId &Id, bool IsOtherTarget,
                             Duration RetryAfter, TimePoint Now) {
  updateSleepGuard(Now);
  if (m_Slots.release(Id))
    m_HoldOff.onConnected();
  updateIdleSince(Now);
  if (m_Ledger.lookUp(Id) == RequestState::Running) {
    const TargetInstance Addressed = m_Ledger.find(Id)->m_Target;
    if (IsOtherTarget)
      m_DepartedTarget = Addressed.m_Name;
    refuse(Id, IsOtherTarget
                   ? RefusalCause{RefusalReason::OtherTarget, RetryAfter}
                   : RefusalCause{RefusalReason::TargetRefused, RetryAfter,
                                  statementOf(Addressed)});
  }
  expire(Now);
  advance(Now);
}

void Engine::onUnsendable(const RequestId &Id, HttpResponsePtr Response,
                          TimePoint Now) {
  updateSleepGuard(Now);
  m_Slots.release(Id);
  updateIdleSince(Now);
  if (m_Ledger.lookUp(Id) == RequestState::Running) {
    m_Ledger.finish(Id, std::move(Response));
    sendResult(Id);
  }
  expire(Now);
  advance(Now);
}

void Engine::onTargetStatement(const RequestId &Id,
                               const TargetStatement &Statement,
                               TimePoint Now) {
  const LedgerEntry *Entry = m_Ledger.find(Id);
  if (Entry == nullptr)
    return;
  if (Statement.m_Leaving && m_LeavingTargets->add(Entry->m_Target)) {
    report(EventId::TargetLeaving,
           "target=" + Entry->m_Target.m_Name +
               " origin=response request=" + toString(Id));
    refuseBarred(Now);
  }
  // The rate of a target that has been replaced since says nothing about the
  // present one.
  const OccupiedSlot *Slot = m_Slots.find(Id);
  if (Slot == nullptr || Entry->m_Target != m_Instance)
    return;
  if (!m_StatedRate.onResponse(Statement.m_RequestsPerSecond, Slot->m_Start,
                               Now))
    return;
  // The answer that follows reports the new limit.
  updateRateSlots(Now);
  reportStatedRate("response");
}

void Engine::onTargetConnectionClosed(TimePoint Now) {
  updateSleepGuard(Now);
  restartRampIfRaised("connection-closed", Now);
}

void Engine::startQueued(TimePoint Now) {
  m_NextSuspectStart.reset();
  // A target that has been idle for long may have restarted.
  if (m_IdleSince && Now - *m_IdleSince >= MaxIdleTime && !m_Queue.empty())
    restartRampIfRaised("idle", Now);
  if (m_HoldOff.remaining(Now) > Duration{0})
    return;
  const std::uint32_t Allowed = m_HoldOff.isProbing() ? 1 : m_Ramp.limit();
  updateRateSlots(Now);
  std::vector<QueuedRequest> Postponed;
  while (!m_Queue.empty() && m_Slots.size() < Allowed && canStartNow(Now)) {
    QueuedRequest Next = m_Queue.pop();
    if (const auto Cause = refusalToBegin(Next.m_Id, Now)) {
      refuse(Next.m_Id, *Cause);
      continue;
    }
    if (requeueIfLate(Next, Now))
      continue;
    const Duration Remaining = Next.m_Deadline - Now;
    if (Remaining <= Duration{0}) {
      refuse(Next.m_Id, {RefusalReason::DeadlinePassed, Duration{0}});
      continue;
    }
    if (!Next.m_Probe &&
        !m_Admission->canFinishInTime(Remaining, estimate(Next.m_Kind, Now))) {
      refuseWaiting(Next, "no-time-left", Duration{0}, Now);
      continue;
    }
    if (refuseByEvidence(Next.m_Id, Now))
      continue;
    const HttpRequestPtr &Request = m_Ledger.find(Next.m_Id)->m_Request;
    if (!m_Quarantine->empty() && Request != nullptr &&
        mustWaitAsSuspect(fingerprintOf(*Request), Now)) {
      Postponed.push_back(std::move(Next));
      continue;
    }
    start(Next, Now);
  }
  for (const QueuedRequest &Each : Postponed)
    m_Queue.push(Each);
  rejectWithoutStart(Now);
  rejectBeforeEnd(Now);
}

void Engine::rejectBeforeEnd(TimePoint Now) {
  if (m_Profile == nullptr || !m_Queue.hasEarlyEnds())
    return;
  const std::vector<QueuedRequest> Waiting = m_Queue.requests();
  AdmissionView View = admissionView(Waiting.front().m_Kind, Now);
  // More may be known of the service times than when they were admitted.
  for (std::size_t Index = 0; Index < Waiting.size(); ++Index)
    View.m_Waiting[Index].m_Expected =
        estimate(Waiting[Index].m_Kind, Now).m_Mean;
  for (const std::size_t Index : findUnservable(View)) {
    m_Queue.remove(Waiting[Index].m_Id);
    refuseWaiting(Waiting[Index], "node-ends", Duration{0}, Now);
  }
}

std::optional<RefusalCause> Engine::refusalToBegin(const RequestId &Id,
                                                   TimePoint Now) const {
  const LedgerEntry &Entry = *m_Ledger.find(Id);
  if (auto Cause = refusalByTarget(Entry.m_Service, Entry.m_Target.m_Name))
    return Cause;
  if (isZoneClosed(Now))
    return RefusalCause{RefusalReason::ZoneOut, Duration{0}};
  return std::nullopt;
}

void Engine::refuseBarred(TimePoint Now) {
  for (const QueuedRequest &Request : m_Queue.requests()) {
    const auto Cause = refusalToBegin(Request.m_Id, Now);
    if (!Cause)
      continue;
    m_Queue.remove(Request.m_Id);
    refuse(Request.m_Id, *Cause);
  }
}

// The rate may have fallen since the requests were admitted.
void Engine::rejectWithoutStart(TimePoint Now) {
  if (m_Queue.empty())
    return;
  const std::vector<TimePoint> Starts = rateStarts(m_Queue.size(), Now);
  if (Starts.empty())
    return;
  std::size_t Ahead = 0;
  for (const QueuedRequest &Request : m_Queue.requests()) {
    const TimePoint Start = Starts[Ahead];
    if (Start + Request.m_Expected <= Request.m_Deadline) {
      ++Ahead;
      continue;
    }
    m_Queue.remove(Request.m_Id);
    refuseWaiting(Request, "target-rate", Start - Now, Now);
  }
}

// Requests that can still meet their soft deadline start before one that can't.
bool Engine::requeueIfLate(QueuedRequest &Next, TimePoint Now) {
  if (Next.m_Late || Next.m_SoftDeadline == Next.m_Deadline ||
      m_Queue.empty() || Now + Next.m_Expected <= Next.m_SoftDeadline)
    return false;
  Next.m_Late = true;
  m_Queue.push(Next);
  return true;
}

bool Engine::canStartNow(TimePoint Now) {
  const TimePoint Next =
      std::max(m_ColdRate.earliestStart(Now), m_StatedRate.earliestStart(Now));
  m_NextRateStart = Next > Now ? std::optional(Next) : std::nullopt;
  return Next <= Now;
}

void Engine::updateRateSlots(TimePoint Now) {
  m_RateSlots.reset();
  for (const std::optional<double> &PerSecond :
       {m_ColdRate.limit(Now), m_StatedRate.limit()}) {
    if (!PerSecond)
      continue;
    const std::chrono::duration<double> Mean =
        m_ServiceTimes.overall().estimate(Now, m_IdleSince).m_Mean;
    const auto Slots =
        static_cast<std::uint32_t>(1 + *PerSecond * Mean.count());
    m_RateSlots = std::min(Slots, m_RateSlots.value_or(Slots));
  }
}

void Engine::start(const QueuedRequest &Next, TimePoint Now) {
  const bool Idempotent = m_Ledger.find(Next.m_Id)->m_Idempotent;
  const bool AsSuspect = m_Ledger.find(Next.m_Id)->m_AsSuspect;
  HttpRequestPtr Request = m_Ledger.start(Next.m_Id);
  m_Slots.occupy(Next.m_Id, Now, Next.m_Deadline, Next.m_Kind,
                 Request == nullptr ? RequestFingerprint()
                                    : fingerprintOf(*Request),
                 AsSuspect);
  m_ColdRate.recordStart(Now);
  m_StatedRate.recordStart(Now);
  m_IdleSince.reset();
  m_Commands.emplace_back(StartTarget{Next.m_Id, Next.m_Deadline, Idempotent,
                                      std::move(Request),
                                      m_Ledger.find(Next.m_Id)->m_Target.m_Name,
                                      m_Ledger.find(Next.m_Id)->m_Team});
  if (m_StepEvents)
    report(EventId::RequestStarted,
           "request=" + toString(Next.m_Id) + " target=" + m_Options.m_Target +
               " in_flight=" + std::to_string(m_Slots.size()) +
               " limit=" + std::to_string(m_Ramp.limit()));
}

void Engine::refuseQueued(const RefusalCause &Cause) {
  for (const QueuedRequest &Request : m_Queue.takeAll())
    refuse(Request.m_Id, Cause);
}

void Engine::expire(TimePoint Now) {
  m_Slots.expire(Now);
  updateIdleSince(Now);
  const std::vector<OccupiedSlot> Occupied = m_Slots.slots();
  for (const OccupiedSlot &Slot : Occupied) {
    if (!Slot.m_FreeAt && Slot.m_Deadline + answerGrace() <= Now)
      abandon(Slot.m_Id, "the deadline passed while it ran", Now);
  }
  for (const QueuedRequest &Request : m_Queue.takeExpired(Now))
    refuse(Request.m_Id, {RefusalReason::DeadlinePassed, Duration{0}});
  for (const QueuedRequest &Request : m_Queue.takeInfeasible(Now))
    refuseWaiting(Request, "no-time-left", Duration{0}, Now);
  if (isZoneClosed(Now))
    refuseQueued({RefusalReason::ZoneOut, Duration{0}});
}

Duration Engine::answerGrace() const {
  return m_Profile == nullptr ? Duration{0} : m_Profile->m_AnswerGrace;
}

void Engine::updateSleepGuard(TimePoint Now) {
  m_SleepGuard.onEvent(Now);
  if (!m_Links.hasLinks())
    m_SleepGuard.stopWatching();
}

void Engine::advance(TimePoint Now) {
  startQueued(Now);
  checkDrained(Now);
}

void Engine::updateIdleSince(TimePoint Now) {
  if (m_Slots.size() == 0 && !m_IdleSince)
    m_IdleSince = Now;
}

void Engine::checkDrained(TimePoint Now) {
  if (!m_DrainUntil || m_Drained)
    return;
  if (m_Ledger.count(RequestState::Queued) +
          m_Ledger.count(RequestState::Running) >
      0) {
    m_DrainUntil = Now + DrainLinger;
    return;
  }
  if (!m_Ledger.empty() && Now < *m_DrainUntil)
    return;
  m_Drained = true;
  m_Commands.emplace_back(GateDrained{});
}

void Engine::sweep(TimePoint Now) {
  if (Now < m_NextSweep)
    return;
  m_NextSweep = Now + SweepInterval;
  m_Quarantine->expire(Now);
  for (const Incarnation &Ingress : m_Ledger.ingresses()) {
    const auto ActiveUntil = m_Links.activeUntil(Ingress);
    if (!ActiveUntil || *ActiveUntil + ForgetMargin < Now)
      m_Ledger.forget(Ingress);
  }
}

ServiceTimeEstimate Engine::estimate(const std::string &Kind,
                                     TimePoint Now) const {
  return m_ServiceTimes.estimate(Kind, Now, m_IdleSince);
}

} // namespace dandelionfall::core::gate
