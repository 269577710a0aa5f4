#include "core/gate/engine.h"

#include <algorithm>
#include <span>
#include <utility>

namespace dandelionfall::core::gate {

namespace {

/// Maximum number of requests that one event names.
constexpr std::size_t MaxLoggedRequests = 16;

} // namespace

// A target that refuses connections while it runs a copy of the request may be
// ending because of it. The ingress sends the request elsewhere, so it must
// learn the verdict first.
void Engine::refuseNotAccepted(const RequestId &Id,
                               const RequestFingerprint &Fingerprint,
                               TimePoint Now) {
  if (isCopyRunning(Fingerprint))
    m_HeldRefusals.push_back({Id, Fingerprint, Now + MaxVerdictWait});
  else
    refuseTargetDown(Id, Fingerprint, Now);
}

bool Engine::isCopyRunning(const RequestFingerprint &Of) const {
  const auto &Running = m_Slots.slots();
  return std::any_of(Running.begin(), Running.end(),
                     [&Of](const OccupiedSlot &Slot) {
                       return !Slot.m_FreeAt && Slot.m_Fingerprint == Of;
                     });
}

bool Engine::hasCopy(const RequestFingerprint &Of) const {
  const std::vector<QueuedRequest> Waiting = m_Queue.requests();
  return isCopyRunning(Of) ||
         std::any_of(Waiting.begin(), Waiting.end(),
                     [&](const QueuedRequest &Each) {
                       return queuedFingerprint(Each.m_Id) == Of;
                     });
}

void Engine::refuseTargetDown(const RequestId &Id,
                              const RequestFingerprint &Fingerprint,
                              TimePoint Now) {
  if (!m_Quarantine->empty()) {
    if (const auto Remaining = m_Quarantine->check(Fingerprint, Now))
      return refuse(Id, {RefusalReason::Quarantined, *Remaining});
    if (m_Quarantine->isSuspect(Fingerprint))
      sendToIngress(Id, evidenceAgainst(Fingerprint, Now));
  }
  refuse(Id, {RefusalReason::TargetDown, m_HoldOff.remaining(Now)});
}

void Engine::releaseHeldRefusals(bool VerdictKnown, TimePoint Now) {
  for (const HeldRefusal &Each : std::exchange(m_HeldRefusals, {})) {
    const RequestState State = m_Ledger.lookUp(Each.m_Id);
    // The ingress may have cancelled it meanwhile.
    if (State != RequestState::Queued && State != RequestState::Running)
      continue;
    if (!VerdictKnown && Now < Each.m_Until &&
        isCopyRunning(Each.m_Fingerprint))
      m_HeldRefusals.push_back(Each);
    else
      refuseTargetDown(Each.m_Id, Each.m_Fingerprint, Now);
  }
}

RequestFingerprint Engine::queuedFingerprint(const RequestId &Id) const {
  const HttpRequestPtr &Request = m_Ledger.find(Id)->m_Request;
  return Request == nullptr ? RequestFingerprint() : fingerprintOf(*Request);
}

void Engine::releaseHeldFailures(const std::optional<RequestId> &TargetEnd) {
  for (const HeldFailure &Each : std::exchange(m_HeldFailures, {}))
    failRunning(Each.m_Id, Each.m_Detail, TargetEnd);
}

void Engine::onTargetCheck(bool Refused, TimePoint Now) {
  updateSleepGuard(Now);
  if (Refused)
    onTargetEnded(m_EndWatch.onRefused(), Now);
  else
    m_EndWatch.onAccepted(Now);
  releaseHeldFailures(std::nullopt);
  releaseHeldRefusals(true, Now);
  advance(Now);
}

void Engine::onTargetEnded(const std::vector<OccupiedSlot> &Running,
                           TimePoint Now) {
  if (Running.empty())
    return;
  const bool IsPlanned = isTargetLeaving();
  releaseHeldFailures(IsPlanned ? std::nullopt
                                : std::optional(addEvidence(Running, Now)));
  releaseHeldRefusals(true, Now);
  // A target that ended runs nothing any more.
  m_Slots.releaseAbandoned();
  std::string Described;
  for (const OccupiedSlot &Slot :
       std::span(Running).first(std::min(Running.size(), MaxLoggedRequests)))
    Described += (Described.empty() ? "" : ",") + toString(Slot.m_Id) + ":" +
                 toString(Slot.m_Fingerprint);
  report(EventId::TargetEnded,
         "target=" + (m_Target == nullptr ? "none" : m_Target->m_Name) +
             " planned=" + (IsPlanned ? "true" : "false") + " running=" +
             std::to_string(Running.size()) + " requests=" + Described);
}

// A target that ends because it is leaving says nothing about what it ran; a
// request that crashes targets does so when it starts.
bool Engine::isTargetLeaving() const {
  return m_Target == nullptr || m_Target->m_Draining ||
         m_LeavingTargets->contains(m_Instance);
}

RequestId Engine::addEvidence(const std::vector<OccupiedSlot> &Running,
                              TimePoint Now) {
  std::vector<EndedRequest> Requests;
  Requests.reserve(Running.size());
  for (const OccupiedSlot &Slot : Running)
    Requests.push_back({Slot.m_Fingerprint, Slot.m_AsSuspect});
  const RequestId End = m_Quarantine->onTargetEnded(Requests, Now);
  m_EndWatch.onEnded(End, Running);
  return End;
}

CrashNotice Engine::evidenceAgainst(const RequestFingerprint &Request,
                                    TimePoint Now) const {
  return {m_Quarantine->evidenceOf(Request, Now)};
}

// A request that became suspect after it was sent may have copies at several
// targets. They come back as suspects, and run at one target. Copies of a
// request that was answered shortly before go on: their answers clear it.
void Engine::applyEvidence(TimePoint Now) {
  if (m_Quarantine->empty())
    return;
  const std::vector<OccupiedSlot> Occupied = m_Slots.slots();
  for (const OccupiedSlot &Slot : Occupied) {
    if (Slot.m_FreeAt || m_EndWatch.endOf(Slot.m_Id))
      continue;
    if (m_Quarantine->check(Slot.m_Fingerprint, Now)) {
      abandon(Slot.m_Id, "targets ended whenever they ran it", Now);
    } else if (isRecallable(Slot)) {
      sendToIngress(Slot.m_Id, evidenceAgainst(Slot.m_Fingerprint, Now));
      abandon(Slot.m_Id, "another target ended while it ran a copy", Now);
    }
  }
  for (const QueuedRequest &Each : m_Queue.requests()) {
    if (refuseByEvidence(Each.m_Id, Now))
      m_Queue.remove(Each.m_Id);
  }
}

bool Engine::refuseByEvidence(const RequestId &Id, TimePoint Now) {
  const LedgerEntry &Entry = *m_Ledger.find(Id);
  const auto Cause =
      refusalByQuarantine(Entry.m_Request, Entry.m_AsSuspect, Now);
  if (!Cause)
    return false;
  if (Cause->m_Reason == RefusalReason::Suspect)
    sendToIngress(Id, evidenceAgainst(fingerprintOf(*Entry.m_Request), Now));
  refuse(Id, *Cause);
  return true;
}

bool Engine::isRecallable(const OccupiedSlot &Slot) const {
  const LedgerEntry *Entry = m_Ledger.find(Slot.m_Id);
  return Entry != nullptr && !Entry->m_AsSuspect && Entry->m_Repeatable &&
         m_Quarantine->isSuspect(Slot.m_Fingerprint) &&
         !m_Quarantine->wasAnswered(Slot.m_Fingerprint);
}

} // namespace dandelionfall::core::gate
