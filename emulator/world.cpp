#include "emulator/world_parts.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::emulator {

namespace {

/// Time from the end of a drain to the end of the process.
constexpr Duration ExitDelay = 5ms;

core::Incarnation ingressStart(NodeId Node, unsigned Generation) {
  return {2 * Node + 1, Generation + 1};
}

core::Incarnation gateStart(NodeId Node, unsigned Generation) {
  return {2 * Node + 2, Generation + 1};
}

} // namespace

World::World(WorldOptions Options)
    : m_Options(Options), m_Random(Options.m_Seed) {}

World::~World() = default;

Duration World::latency(const Node &From, const Node &To) const {
  return From.m_Options.m_Zone == To.m_Options.m_Zone
             ? m_Options.m_SameZoneLatency
             : m_Options.m_OtherZoneLatency;
}

// Nodes.

NodeId World::addNode(NodeOptions Options) {
  auto Added = std::make_unique<Node>();
  Added->m_Id = m_Nodes.size();
  Added->m_Target = TargetModel(Options.m_Behaviour);
  if (!Options.m_GateAddress.empty())
    m_ByAddress[Options.m_GateAddress] = Added->m_Id;
  Added->m_Options = std::move(Options);
  m_Nodes.push_back(std::move(Added));
  start(*m_Nodes.back());
  return m_Nodes.size() - 1;
}

void World::start(Node &Of) {
  Of.m_Alive = true;
  Of.m_FrozenUntil = m_Time.now();
  const NodeOptions &Own = Of.m_Options;
  if (Own.m_HasIngress) {
    core::IngressOptions Options;
    Options.m_Host = Own.m_Host;
    Options.m_Zone = Own.m_Zone;
    Options.m_Incarnation = ingressStart(Of.m_Id, Of.m_Generation);
    Options.m_Seed = Own.m_Seed;
    Options.m_Strategy = Own.m_Routing;
    Of.m_Ingress = std::make_unique<core::Ingress>(Options);
  }
  if (!Own.m_GateAddress.empty()) {
    core::GateOptions Options;
    Options.m_Host = Own.m_Host;
    Options.m_Zone = Own.m_Zone;
    Options.m_Target = Own.m_Target;
    Options.m_Incarnation = gateStart(Of.m_Id, Of.m_Generation);
    Options.m_Admission = Own.m_Admission;
    Of.m_Gate = std::make_unique<core::Gate>(Options);
  }
  if (Of.m_Config != nullptr)
    publish(Of.m_Id, Of.m_Config);
}

void World::publish(NodeId To, const core::ConfigurationPtr &Config) {
  Node &Of = node(To);
  Of.m_Config = Config;
  give(Of, [this, &Of, Config] {
    if (Of.m_Ingress != nullptr)
      Of.m_Ingress->onConfiguration(Config, m_Time.now());
    if (Of.m_Gate != nullptr)
      Of.m_Gate->onConfiguration(Config, m_Time.now());
  });
}

void World::give(Node &To, std::function<void()> Input) {
  if (!To.m_Alive)
    return;
  if (m_Time.now() < To.m_FrozenUntil) {
    To.m_Inbox.push_back(std::move(Input));
    return;
  }
  Input();
  afterInput(To);
}

void World::afterInput(Node &Of) {
  perform(Of);
  if (!Of.m_Alive)
    return;
  TimePoint Next = TimePoint::max();
  if (Of.m_Ingress != nullptr)
    Next = std::min(Next, Of.m_Ingress->nextWakeUp().value_or(Next));
  if (Of.m_Gate != nullptr)
    Next = std::min(Next, Of.m_Gate->nextWakeUp().value_or(Next));
  if (Next == TimePoint::max())
    return;
  Next = std::max(Next, m_Time.now());
  if (Next >= Of.m_WakeUp)
    return;
  Of.m_WakeUp = Next;
  m_Time.at(Next, [this, &Of, Next] {
    if (Of.m_WakeUp != Next)
      return;
    Of.m_WakeUp = TimePoint::max();
    if (Of.m_Alive && m_Time.now() >= Of.m_FrozenUntil)
      wake(Of);
  });
}

void World::wake(Node &Of) {
  const auto Inputs = std::exchange(Of.m_Inbox, {});
  const auto Tick = [&] {
    if (Of.m_Ingress != nullptr)
      Of.m_Ingress->onTick(m_Time.now());
    if (Of.m_Gate != nullptr)
      Of.m_Gate->onTick(m_Time.now());
  };
  if (m_TimersFirst)
    Tick();
  for (const std::function<void()> &Input : Inputs)
    Input();
  if (!m_TimersFirst)
    Tick();
  afterInput(Of);
}

void World::perform(Node &Of) {
  if (Of.m_Ingress != nullptr)
    performIngress(Of);
  if (Of.m_Gate != nullptr)
    performGate(Of);
}

void World::performIngress(Node &Of) {
  for (const core::IngressCommand &Command : Of.m_Ingress->takeCommands()) {
    if (const auto *Open = std::get_if<core::OpenTrafficLink>(&Command)) {
      openLink(Of, Open->m_Link, Open->m_GateAddress);
    } else if (const auto *Send = std::get_if<core::SendTraffic>(&Command)) {
      const core::LinkId Id = linkId(Of, Send->m_Link);
      carry(Id, Direction::ToGate, [this, Id, Message = Send->m_Message] {
        node(m_Links.at(Id).m_Gate)
            .m_Gate->onMessage(Id, Message, m_Time.now());
      });
    } else if (const auto *Close =
                   std::get_if<core::CloseTrafficLink>(&Command)) {
      const core::LinkId Id = linkId(Of, Close->m_Link);
      const auto Found = m_Links.find(Id);
      if (Found == m_Links.end())
        continue;
      Found->second.m_OpenAtIngress = false;
      carry(Id, Direction::ToGate, [this, Id] { closeAtGate(Id); });
    } else if (const auto *Final = std::get_if<core::AnswerCaller>(&Command)) {
      settle(Final->m_Call, *Final);
    }
  }
}

void World::performGate(Node &Of) {
  for (const core::GateCommand &Command : Of.m_Gate->takeCommands()) {
    if (const auto *Send = std::get_if<core::SendTraffic>(&Command)) {
      const core::LinkId Id = Send->m_Link;
      carry(Id, Direction::ToIngress, [this, Id, Message = Send->m_Message] {
        const Link &On = m_Links.at(Id);
        node(On.m_Ingress)
            .m_Ingress->onMessage(On.m_Number, Message, m_Time.now());
      });
    } else if (const auto *Close =
                   std::get_if<core::CloseTrafficLink>(&Command)) {
      const core::LinkId Id = Close->m_Link;
      m_Links.at(Id).m_OpenAtGate = false;
      carry(Id, Direction::ToIngress, [this, Id] { closeAtIngress(Id); });
    } else if (const auto *Start = std::get_if<core::StartTarget>(&Command)) {
      runFromGate(Of, *Start);
    } else if (const auto *Stop = std::get_if<core::CancelTarget>(&Command)) {
      endRun(Of, Stop->m_Id, nullptr, core::TargetFailure::Abandoned);
    } else if (std::holds_alternative<core::GateDrained>(Command)) {
      m_Time.at(m_Time.now() + ExitDelay, [this, &Of] { kill(Of.m_Id); });
    }
  }
}

// Calls.

core::CallId World::call(NodeId At, CallOptions Asked, AnswerHandler Done) {
  const core::CallId Id = m_Records.size() + 1;
  CallRecord &Record = m_Records[Id];
  Record.m_Asked = std::move(Asked);
  Record.m_ReadAt = m_Time.now();
  m_Open[Id] = {At, std::move(Done)};
  Node &Of = node(At);
  if (!Of.m_Alive) {
    abort(Id, core::CallOutcome::NotRun, "the node takes no connection");
    return Id;
  }
  give(Of, [this, &Of, Id] {
    if (!m_Open.contains(Id))
      return;
    CallRecord &Read = m_Records.at(Id);
    Read.m_ReadAt = m_Time.now();
    core::HttpRequest Request;
    Request.m_Method = Read.m_Asked.m_Method;
    Request.m_Path = Read.m_Asked.m_Path;
    Request.m_Body = std::to_string(Id);
    Of.m_Ingress->onCall(
        Id, std::make_shared<core::HttpRequest>(std::move(Request)),
        Read.m_Asked.m_Deadline, m_Time.now());
  });
  return Id;
}

core::CallId World::callDirect(NodeId From, NodeId To, CallOptions Asked,
                               AnswerHandler Done) {
  const core::CallId Id = m_Records.size() + 1;
  CallRecord &Record = m_Records[Id];
  Record.m_Asked = std::move(Asked);
  Record.m_ReadAt = m_Time.now();
  m_Open[Id] = {From, std::move(Done)};
  const Duration Way = latency(node(From), node(To));
  const TimePoint Deadline =
      m_Time.now() + Record.m_Asked.m_Deadline.value_or(Duration::max() / 2);
  m_Time.at(m_Time.now() + Way, [this, To, Id, Way, Deadline] {
    run(node(To), core::RequestId{{}, Id}, Id, Deadline,
        [this, Id, Way](const core::HttpResponsePtr &Response,
                        core::TargetFailure Kind) {
          core::CallOutcome Outcome = core::CallOutcome::Answered;
          if (Response == nullptr)
            Outcome = Kind == core::TargetFailure::NotSent
                          ? core::CallOutcome::NotRun
                          : core::CallOutcome::Unknown;
          m_Time.at(m_Time.now() + Way, [this, Id, Outcome, Response] {
            settle(Id, {Id, Outcome, Response, Duration{0}, ""});
          });
        });
  });
  return Id;
}

void World::settle(core::CallId Call, const core::AnswerCaller &Answer) {
  CallRecord &Record = m_Records.at(Call);
  ++Record.m_Answers;
  Record.m_AnsweredAt = m_Time.now();
  Record.m_Answer = Answer;
  tell(Call, Answer);
}

void World::abort(core::CallId Call, core::CallOutcome Outcome,
                  const std::string &Detail) {
  tell(Call, {Call, Outcome, nullptr, Duration{0}, Detail});
}

void World::tell(core::CallId Call, const core::AnswerCaller &Answer) {
  const auto Found = m_Open.extract(Call);
  if (Found.empty() || !Found.mapped().second)
    return;
  m_Time.at(m_Time.now(), [Done = std::move(Found.mapped().second), Answer] {
    Done(Answer);
  });
}

void World::leave(core::CallId Call) {
  const auto Found = m_Open.extract(Call);
  if (Found.empty())
    return;
  Node &Of = node(Found.mapped().first);
  if (Of.m_Ingress == nullptr)
    return;
  give(Of, [this, &Of, Call] {
    Of.m_Ingress->onCallerDisconnected(Call, m_Time.now());
  });
}

const CallRecord &World::record(core::CallId Call) const {
  return m_Records.at(Call);
}

std::size_t World::openCalls(NodeId At) const {
  const Node &Of = *m_Nodes[At];
  return Of.m_Ingress == nullptr ? 0 : Of.m_Ingress->openCalls();
}

std::string World::answerTo(core::CallId Call) {
  return "whole " + std::to_string(Call);
}

// Faults of processes.

void World::kill(NodeId Id) {
  Node &Of = node(Id);
  if (!Of.m_Alive)
    return;
  Of.m_Alive = false;
  Of.m_Inbox.clear();
  ++Of.m_Generation;
  Of.m_WakeUp = TimePoint::max();
  // The target does not notice; what it runs ends without a receiver.
  for (std::size_t Count = Of.m_Running.size(); Count > 0; --Count)
    Of.m_Target.finish();
  Of.m_Running.clear();
  breakLinks(Id);
  std::vector<core::CallId> Lost;
  for (const auto &[Call, Waiting] : m_Open) {
    if (Waiting.first == Id)
      Lost.push_back(Call);
  }
  for (const core::CallId Call : Lost)
    abort(Call, core::CallOutcome::Unknown, "the connection closed");
}

void World::restart(NodeId Id) {
  kill(Id);
  start(node(Id));
}

void World::freeze(NodeId Id, Duration Time) {
  Node &Of = node(Id);
  if (!Of.m_Alive)
    return;
  Of.m_FrozenUntil = std::max(Of.m_FrozenUntil, m_Time.now() + Time);
  m_Time.at(Of.m_FrozenUntil, [this, &Of, Generation = Of.m_Generation] {
    if (Of.m_Alive && Of.m_Generation == Generation &&
        m_Time.now() >= Of.m_FrozenUntil)
      wake(Of);
  });
}

TimePoint World::frozenUntil(NodeId Id) const {
  return m_Nodes[Id]->m_FrozenUntil;
}

void World::drain(NodeId Id) {
  Node &Of = node(Id);
  give(Of, [this, &Of] { Of.m_Gate->startDrain(m_Time.now()); });
}

bool World::isAlive(NodeId Id) const { return m_Nodes[Id]->m_Alive; }

} // namespace dandelionfall::emulator
