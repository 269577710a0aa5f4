#include "contract/requests_world.h"

#include <algorithm>
#include <memory>

namespace dandelionfall::core {

namespace {

constexpr Duration Latency = 1ms;
constexpr Duration CallDeadline = 2s;
/// Time that an answer may take beyond the deadline, or beyond the time at
/// which a frozen ingress resumes.
constexpr Duration DeadlineTolerance = 2ms;
/// Run time; longer than any fault and call lasts.
constexpr Duration RunTime = 30s;

std::string addressOf(std::size_t Gate) {
  return "gate" + std::to_string(Gate);
}

} // namespace

RequestsWorld::RequestsWorld(std::size_t GateCount, std::uint64_t Seed)
    : m_World({Latency, Latency, Seed}), m_GateCount(GateCount) {
  emulator::NodeOptions Entry;
  Entry.m_Host = "h";
  Entry.m_Zone = "near";
  Entry.m_Seed = Seed;
  m_World.addNode(Entry);
  for (std::size_t Index = 0; Index < GateCount; ++Index) {
    emulator::NodeOptions Gate;
    Gate.m_Host = "h" + std::to_string(Index);
    Gate.m_Zone = Index + 1 == GateCount ? "next" : "near";
    Gate.m_GateAddress = addressOf(Index);
    Gate.m_Target = "t" + std::to_string(Index);
    Gate.m_HasIngress = false;
    m_World.addNode(Gate);
  }
  for (emulator::NodeId Node = 0; Node < m_World.nodeCount(); ++Node)
    m_World.publish(Node, configuration());
}

ConfigurationPtr RequestsWorld::configuration() const {
  auto Config = std::make_shared<Configuration>();
  Config->m_Stamp.m_Version = m_Version;
  Config->m_Zones["near"] = {"near", "region", m_ZoneState};
  Config->m_Zones["next"] = {"next", "region", ZoneState::In};
  Profile Standard;
  Standard.m_Name = "standard";
  Standard.m_ColdStartLimit = 12;
  Standard.m_Deadline = CallDeadline;
  Config->m_Profiles["standard"] = Standard;
  auto Desk = std::make_shared<Service>();
  Desk->m_Name = "desk";
  Desk->m_Profile = "standard";
  Desk->m_Routes.push_back({"/", "", Idempotency::ByMethod});
  for (std::size_t Index = 0; Index < m_GateCount; ++Index) {
    const bool Last = Index + 1 == m_GateCount;
    Desk->m_Targets.push_back(
        {"t" + std::to_string(Index), "h" + std::to_string(Index),
         Last ? "next" : "near", addressOf(Index), 12, 24});
  }
  Config->m_Services["desk"] = Desk;
  return Config;
}

void RequestsWorld::at(Duration After, std::function<void()> Action) {
  m_World.time().afterStart(After, std::move(Action));
}

void RequestsWorld::callAt(Duration After, const std::string &Method,
                           Duration ServiceTime) {
  at(After, [this, Method, ServiceTime] {
    m_World.call(IngressNode, {Method, "/", ServiceTime, std::nullopt},
                 nullptr);
  });
}

void RequestsWorld::publishZone(ZoneState State) {
  m_ZoneState = State;
  ++m_Version;
  const ConfigurationPtr Config = configuration();
  for (emulator::NodeId Node = 0; Node < m_World.nodeCount(); ++Node)
    m_World.publish(Node, Config);
}

std::string RequestsWorld::findViolations() {
  runUntil(RunTime);
  std::string Violations;
  for (const auto &[Id, Call] : m_World.records()) {
    const std::string Violation = violationOf(Id, Call);
    if (!Violation.empty())
      Violations += Call.m_Options.m_Method + " " + std::to_string(Id) + ": " +
                    Violation + "; ";
  }
  if (m_World.openCalls(IngressNode) != 0)
    Violations += "calls are still open; ";
  return Violations;
}

std::size_t RequestsWorld::count(const std::string &Method,
                                 CallOutcome Outcome) const {
  std::size_t Count = 0;
  for (const auto &[Id, Call] : m_World.records()) {
    if (Call.m_Options.m_Method == Method && Call.m_Answer.m_Outcome == Outcome)
      ++Count;
  }
  return Count;
}

std::string RequestsWorld::violationOf(CallId Id,
                                       const emulator::CallRecord &Call) const {
  const AnswerCaller &Answer = Call.m_Answer;
  if (Call.m_Answers != 1)
    return std::to_string(Call.m_Answers) + " final answers";
  if (Call.m_Options.m_Method == "POST" && Call.m_Runs > 1)
    return "ran " + std::to_string(Call.m_Runs) + " times";
  if (Answer.m_Outcome == CallOutcome::NotRun && Call.m_Runs > 0)
    return "was reported as not run but ran";
  const TimePoint FrozenUntil = m_World.frozenUntil(IngressNode);
  if (Call.m_AnsweredAt >
      std::max(Call.m_ReadAt + CallDeadline, FrozenUntil) + DeadlineTolerance)
    return "was answered after its deadline";
  if (Answer.m_Outcome == CallOutcome::NoRoute)
    return "found no route";
  if (Answer.m_Outcome != CallOutcome::Answered)
    return Answer.m_Response == nullptr ? ""
                                        : "has both a response and an error";
  if (Call.m_Runs == 0)
    return "was answered but never ran";
  if (Answer.m_Response->m_Body != emulator::World::expectedBody(Id))
    return "got the response of another call";
  return "";
}

} // namespace dandelionfall::core
