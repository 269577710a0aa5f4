#include "contract/requests_world_parts.h"

#include <algorithm>

namespace dandelionfall::core {

namespace {

/// What a caller may wait beyond its deadline, or beyond the time at which a
/// frozen ingress wakes up.
constexpr Duration Slack = 2ms;
/// Longest time that any fault and call lasts.
constexpr Duration End = 30s;

} // namespace

template <typename Action>
void RequestsWorld::eachLink(std::size_t Gate, Action Do) {
  for (auto &[Id, On] : m_Links) {
    if (On.m_Gate == Gate)
      Do(Id, On);
  }
}

std::string RequestsWorld::verdict() {
  runUntil(End);
  std::string Faults;
  for (const auto &[Id, Caller] : m_Callers) {
    const std::string Fault = fault(Caller);
    if (!Fault.empty())
      Faults += Caller.m_Method + " " + Caller.m_Body + ": " + Fault + "; ";
  }
  if (m_Ingress->openCalls() != 0)
    Faults += "calls are still open; ";
  return Faults;
}

std::size_t RequestsWorld::count(const std::string &Method,
                                 CallOutcome Outcome) const {
  std::size_t Count = 0;
  for (const auto &[Id, Caller] : m_Callers) {
    if (Caller.m_Method == Method && Caller.m_Answer.m_Outcome == Outcome)
      ++Count;
  }
  return Count;
}

std::string RequestsWorld::fault(const CallerRecord &Caller) const {
  const auto Found = m_Runs.find(Caller.m_Body);
  const unsigned Runs = Found == m_Runs.end() ? 0 : Found->second;
  const AnswerCaller &Answer = Caller.m_Answer;
  if (Caller.m_Answers != 1)
    return std::to_string(Caller.m_Answers) + " final answers";
  if (Caller.m_Method == "POST" && Runs > 1)
    return "ran " + std::to_string(Runs) + " times";
  if (Answer.m_Outcome == CallOutcome::NotRun && Runs > 0)
    return "was told not run but ran";
  if (Caller.m_AnsweredAt >
      std::max(Caller.m_Deadline, m_IngressThawed) + Slack)
    return "was answered after its deadline";
  if (Answer.m_Outcome == CallOutcome::NoRoute)
    return "found no route";
  if (Answer.m_Outcome != CallOutcome::Answered)
    return Answer.m_Response == nullptr ? "" : "has an answer and an error";
  if (Runs == 0)
    return "was answered but never ran";
  if (Answer.m_Response->m_Body != answerTo(Caller.m_Body))
    return "got another's answer";
  return "";
}

// Faults.

void RequestsWorld::killGate(std::size_t Index) {
  GateProcess &Gate = gate(Index);
  if (!Gate.m_Alive)
    return;
  Gate.m_Alive = false;
  Gate.m_Inbox.clear();
  ++Gate.m_Generation;
  // The target does not notice; what it runs ends without a receiver.
  Gate.m_Running.clear();
  breakLinks(Index);
}

void RequestsWorld::restartGate(std::size_t Index) {
  killGate(Index);
  startGate(gate(Index));
}

void RequestsWorld::freezeGate(std::size_t Index, Duration Time) {
  if (gate(Index).m_Alive)
    freeze(gate(Index), Time);
}

void RequestsWorld::freezeIngress(Duration Time) {
  freeze(*m_IngressProcess, Time);
  m_IngressThawed = m_IngressProcess->m_FrozenUntil;
}

void RequestsWorld::silenceLinks(std::size_t Gate, Direction Way) {
  eachLink(Gate, [Way](LinkId, Link &On) {
    On.m_Silent[static_cast<std::size_t>(Way)] = true;
  });
}

void RequestsWorld::holdLinks(std::size_t Gate, Direction Way, Duration Time) {
  eachLink(Gate, [this, Way, Time](LinkId, Link &On) {
    TimePoint &Until = On.m_HeldUntil[static_cast<std::size_t>(Way)];
    Until = std::max(Until, m_Now + Time);
  });
}

void RequestsWorld::breakLinks(std::size_t Gate) {
  eachLink(Gate, [this](LinkId Id, const Link &) {
    carry(Id, Direction::ToIngress, [this, Id] {
      m_Links.at(Id).m_OpenAtIngress = false;
      m_Ingress->onLinkClosed(Id, m_Now);
    });
    carry(Id, Direction::ToGate, [this, Id] {
      Link &On = m_Links.at(Id);
      On.m_OpenAtGate = false;
      gate(On.m_Gate).m_Gate->onLinkClosed(Id, m_Now);
    });
  });
}

void RequestsWorld::cutOff(std::size_t Gate, Duration Time) {
  silenceLinks(Gate, Direction::ToGate);
  silenceLinks(Gate, Direction::ToIngress);
  gate(Gate).m_CutOffUntil = std::max(gate(Gate).m_CutOffUntil, m_Now + Time);
}

void RequestsWorld::resetTarget(std::size_t Gate) {
  std::vector<RequestId> Ids;
  for (const auto &[Id, Unused] : gate(Gate).m_Running)
    Ids.push_back(Id);
  for (const RequestId &Id : Ids)
    endAtTarget(gate(Gate), Id, TargetFailure::Reset);
}

void RequestsWorld::refuseAtTarget(std::size_t Gate, Duration Time) {
  gate(Gate).m_TargetDownUntil = m_Now + Time;
}

void RequestsWorld::publishZone(ZoneState State) {
  m_ZoneState = State;
  ++m_Version;
  const ConfigurationPtr Config = configuration();
  give(*m_IngressProcess,
       [this, Config] { m_Ingress->onConfiguration(Config, m_Now); });
  for (const std::unique_ptr<GateProcess> &Each : m_Gates) {
    GateProcess &Gate = *Each;
    give(Gate, [this, &Gate, Config] {
      Gate.m_Gate->onConfiguration(Config, m_Now);
    });
  }
}

void RequestsWorld::drainGate(std::size_t Index) {
  GateProcess &Gate = gate(Index);
  give(Gate, [this, &Gate] { Gate.m_Gate->startDrain(m_Now); });
}

} // namespace dandelionfall::core
