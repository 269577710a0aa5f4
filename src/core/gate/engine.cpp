#include "core/gate/engine.h"

#include "dandelionfall/core/revision.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace dandelionfall::core::gate {

namespace {

const AdmissionStrategy *requireAdmission(const std::string &Name) {
  const AdmissionStrategy *Strategy = findAdmission(Name);
  if (Strategy == nullptr)
    throw std::invalid_argument("no admission strategy '" + Name +
                                "'; use deadline, fcfs or bounded");
  return Strategy;
}

template <typename Time>
void updateEarliest(std::optional<Time> &Earliest,
                    const std::optional<Time> &Other) {
  if (Other && (!Earliest || *Other < *Earliest))
    Earliest = Other;
}

} // namespace

Engine::Engine(GateOptions Options)
    : m_Options(std::move(Options)),
      m_Admission(requireAdmission(m_Options.m_Admission)),
      m_Queue(m_Admission->order()), m_Quarantine(m_Options.m_Quarantine),
      m_LeavingTargets(m_Options.m_LeavingTargets),
      m_Accounts({m_Options.m_GateAddress, m_Options.m_QuotaTolerance,
                  m_Options.m_MaxAccountProofAge}) {
  if (m_Quarantine == nullptr)
    m_Quarantine = std::make_shared<Quarantine>(m_Options.m_Incarnation);
  if (m_LeavingTargets == nullptr)
    m_LeavingTargets = std::make_shared<LeavingTargets>();
}

void Engine::onConfiguration(ConfigurationPtr Config, TimePoint Now) {
  const bool WasIn = m_Config == nullptr || !isZoneOut();
  const bool HadTarget = m_Target != nullptr;
  m_Config = std::move(Config);
  for (const quota::RoleChange &Each :
       m_Accounts.onConfiguration(m_Config, Now))
    report(EventId::AccountantChanged,
           "team=" + Each.m_Team + (Each.m_Gained ? " gained" : " lost"));
  findLocalTarget();
  applyNewInstance(HadTarget, Now);
  if (m_Target != nullptr)
    m_Ramp.configure(m_Profile->m_ColdStartLimit,
                     std::min(m_Target->m_Slots, m_Target->m_Connections),
                     m_Profile->m_ColdStartRequests);
  if (m_Target != nullptr && !HadTarget)
    restartRamp("target-listed", Now);
  applyZoneState(WasIn, Now);
  expire(Now);
  refuseBarred(Now);
  advance(Now);
}

void Engine::setHostLeaving(bool Leaving, TimePoint Now) {
  m_HostLeaving = Leaving;
  refuseBarred(Now);
}

void Engine::findLocalTarget() {
  m_Service = nullptr;
  m_Target = nullptr;
  m_Profile = nullptr;
  for (const auto &[Name, Candidate] : m_Config->m_Services) {
    for (const Target &Each : Candidate->m_Targets) {
      if (!isLocalTarget(Each))
        continue;
      const auto Profile = m_Config->m_Profiles.find(Candidate->m_Profile);
      if (Profile == m_Config->m_Profiles.end())
        continue;
      m_Service = Candidate.get();
      m_Target = &Each;
      m_Profile = &Profile->second;
      return;
    }
  }
}

bool Engine::isLocalTarget(const Target &Each) const {
  if (!m_Options.m_TargetAddress.empty())
    return Each.m_Address == m_Options.m_TargetAddress;
  return !m_Options.m_Target.empty() && Each.m_Name == m_Options.m_Target;
}

void Engine::applyNewInstance(bool WasListed, TimePoint Now) {
  if (m_Target == nullptr)
    return;
  m_ColdRate.configure(m_Service->m_ColdRequestsPerSecond);
  // Requests that another process sent to the target before this one started
  // are unknown.
  if (!WasListed)
    m_ColdRate.assumeLimitReached(Now);
  if (instanceOf(*m_Target) != m_Instance) {
    m_Instance = instanceOf(*m_Target);
    m_DepartedTarget.clear();
    m_HoldOff = HoldOff();
    m_StatedRate = StatedRate();
  }
  if (m_Target->m_ColdUntil)
    m_ColdRate.extendColdUntil(*m_Target->m_ColdUntil);
}

void Engine::applyZoneState(bool WasIn, TimePoint Now) {
  const bool IsIn = !isZoneOut();
  if (IsIn == WasIn)
    return;
  const std::string Detail =
      "zone=" + m_Options.m_Zone + " version=" + formatRevision(version());
  report(IsIn ? EventId::ZoneIn : EventId::ZoneOut, Detail);
  if (!IsIn) {
    m_ZoneOutSince = Now;
    return;
  }
  m_ZoneOutSince.reset();
  restartRamp("zone-return", Now);
  // Targets may have turned cold shortly before, and they announce it with a
  // delay.
  if (m_Service != nullptr)
    m_ColdRate.extendColdUntil(Now + m_Service->m_ColdStart);
}

void Engine::onLinkClosed(LinkId Link) { m_Links.close(Link); }

void Engine::startDrain(TimePoint Now, std::optional<TimePoint> End) {
  if (m_DrainUntil)
    return;
  m_DrainUntil = Now + DrainLinger;
  if (End)
    m_Queue.limitDeadlines(*End);
  for (const LinkId Link : m_Links.currentLinks())
    send(Link, TrafficGoAway{});
  expire(Now);
  advance(Now);
}

void Engine::spread(const TrafficMessage &Notice, TimePoint Now) {
  for (const LinkId Link : m_Links.currentLinks())
    send(Link, Notice);
  applyEvidence(Now);
  refuseBarred(Now);
}

void Engine::onTick(TimePoint Now) {
  updateSleepGuard(Now);
  expire(Now);
  sweep(Now);
  if (m_EndWatch.takeDueCheck(Now))
    m_Commands.emplace_back(CheckTarget{});
  if (!m_HeldFailures.empty() && Now >= m_HeldFailures.front().m_Until)
    releaseHeldFailures(std::nullopt);
  if (!m_HeldRefusals.empty() && Now >= m_HeldRefusals.front().m_Until)
    releaseHeldRefusals(false, Now);
  advance(Now);
}

std::optional<TimePoint> Engine::nextWakeUp() const {
  std::optional<TimePoint> Next = m_Slots.nextChange(answerGrace());
  updateEarliest(Next, m_Queue.nextChange());
  if (!m_Queue.empty() && m_NextRateStart)
    updateEarliest(Next, m_NextRateStart);
  if (!m_Queue.empty())
    updateEarliest(Next, m_NextSuspectStart);
  updateEarliest(Next, m_SleepGuard.nextWakeUp());
  updateEarliest(Next, m_EndWatch.nextWakeUp());
  if (!m_HeldFailures.empty())
    updateEarliest(Next, std::optional(m_HeldFailures.front().m_Until));
  if (!m_HeldRefusals.empty())
    updateEarliest(Next, std::optional(m_HeldRefusals.front().m_Until));
  if (!m_Ledger.empty())
    updateEarliest(Next, std::optional(m_NextSweep));
  if (m_ZoneOutSince && !m_Queue.empty())
    updateEarliest(Next, std::optional(*m_ZoneOutSince + ZoneOutGrace));
  if (!m_Drained)
    updateEarliest(Next, m_DrainUntil);
  return Next;
}

Capacity Engine::capacity() const {
  Capacity Value;
  Value.m_InFlight = m_Slots.size();
  Value.m_Queued = m_Queue.size();
  Value.m_Limit = m_Ramp.limit();
  if (m_RateSlots)
    Value.m_Limit = std::min(Value.m_Limit, *m_RateSlots);
  Value.m_ServiceTime =
      m_ServiceTimes.overall().estimate(TimePoint{}, std::nullopt).m_Mean;
  Value.m_StatedRate = m_StatedRate.limit();
  return Value;
}

std::vector<GateCommand> Engine::takeCommands() {
  return std::exchange(m_Commands, {});
}

bool Engine::isZoneOut() const {
  return m_Config != nullptr && !isZoneIn(*m_Config, m_Options.m_Zone);
}

bool Engine::isZoneClosed(TimePoint Now) const {
  return m_ZoneOutSince && Now >= *m_ZoneOutSince + ZoneOutGrace;
}

Version Engine::version() const {
  return m_Config == nullptr ? 0 : m_Config->m_Stamp.m_Version;
}

void Engine::send(LinkId Link, TrafficMessage Message) {
  m_Commands.emplace_back(SendTraffic{Link, std::move(Message)});
}

void Engine::sendToIngress(const RequestId &Id, TrafficMessage Message) {
  if (const auto Link = m_Links.currentLink(Id.m_Ingress))
    send(*Link, std::move(Message));
}

void Engine::sendResult(const RequestId &Id) {
  const LedgerEntry *Entry = m_Ledger.find(Id);
  if (Entry == nullptr || Entry->m_State != RequestState::Done)
    return;
  if (Entry->m_Response != nullptr)
    return sendToIngress(Id, Answer{Id, Entry->m_Response, capacity(),
                                    statementOf(Entry->m_Target)});
  sendToIngress(
      Id, Failure{Id, Entry->m_FailureDetail, capacity(), Entry->m_TargetEnd});
}

void Engine::sendRefusal(LinkId Link, const RequestId &Id,
                         const RefusalCause &Cause) {
  send(Link, Refusal{Id, Cause.m_Reason, Cause.m_RetryAfter, version(),
                     capacity(), Cause.m_Statement});
  report(EventId::RequestRefused,
         "request=" + toString(Id) +
             " reason=" + std::string(nameOf(Cause.m_Reason)) +
             " target=" + (m_Target == nullptr ? "none" : m_Target->m_Name) +
             " in_flight=" + std::to_string(m_Slots.size()) +
             " queued=" + std::to_string(m_Queue.size()) +
             " limit=" + std::to_string(capacity().m_Limit) +
             " version=" + formatRevision(version()) +
             " retry_after_us=" + std::to_string(Cause.m_RetryAfter.count()) +
             (Cause.m_Rank ? " rank=" + std::to_string(*Cause.m_Rank) : "") +
             (Cause.m_Why.empty() ? "" : " cause=" + std::string(Cause.m_Why)));
}

void Engine::refuse(const RequestId &Id, const RefusalCause &Cause) {
  m_Ledger.refuse(Id, Cause.m_Reason);
  if (const auto Link = m_Links.currentLink(Id.m_Ingress))
    sendRefusal(*Link, Id, Cause);
}

TargetStatement Engine::statementOf(const TargetInstance &Of) const {
  return {Of == m_Instance ? m_StatedRate.limit() : std::nullopt,
          m_LeavingTargets->contains(Of)};
}

void Engine::reportStatedRate(std::string_view Origin) {
  const std::optional<double> PerSecond = m_StatedRate.limit();
  report(
      EventId::TargetRateStated,
      "target=" + (m_Target == nullptr ? "none" : m_Target->m_Name) +
          " per_second=" + (PerSecond ? std::to_string(*PerSecond) : "none") +
          " origin=" + std::string(Origin));
}

void Engine::report(EventId Id, std::string Detail) {
  m_Commands.emplace_back(Event{Id, std::move(Detail)});
}

} // namespace dandelionfall::core::gate
