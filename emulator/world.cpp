#include "emulator/world_parts.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::emulator {

namespace {

/// Time from the end of a drain to the exit of the process.
constexpr Duration ExitDelay = 5ms;

core::Incarnation ingressIncarnation(NodeId Node, unsigned Generation) {
  return {2 * Node + 1, Generation + 1};
}

core::Incarnation gateIncarnation(NodeId Node, unsigned Generation) {
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
    m_NodesByAddress[Options.m_GateAddress] = Added->m_Id;
  Added->m_Options = std::move(Options);
  m_Nodes.push_back(std::move(Added));
  start(*m_Nodes.back());
  return m_Nodes.size() - 1;
}

void World::start(Node &TheNode) {
  TheNode.m_Alive = true;
  TheNode.m_FrozenUntil = m_Time.now();
  const NodeOptions &OwnOptions = TheNode.m_Options;
  if (OwnOptions.m_HasIngress) {
    core::IngressOptions Options;
    Options.m_Host = OwnOptions.m_Host;
    Options.m_Zone = OwnOptions.m_Zone;
    Options.m_Incarnation =
        ingressIncarnation(TheNode.m_Id, TheNode.m_Generation);
    Options.m_Seed = OwnOptions.m_Seed;
    Options.m_Strategy = OwnOptions.m_Routing;
    TheNode.m_Ingress = std::make_unique<core::Ingress>(Options);
  }
  if (!OwnOptions.m_GateAddress.empty()) {
    core::GateOptions Options;
    Options.m_Host = OwnOptions.m_Host;
    Options.m_Zone = OwnOptions.m_Zone;
    Options.m_Target = OwnOptions.m_Target;
    Options.m_Incarnation = gateIncarnation(TheNode.m_Id, TheNode.m_Generation);
    Options.m_Admission = OwnOptions.m_Admission;
    TheNode.m_Gate = std::make_unique<core::Gate>(Options);
  }
  if (TheNode.m_Config != nullptr)
    publish(TheNode.m_Id, TheNode.m_Config);
}

void World::publish(NodeId Id, const core::ConfigurationPtr &Config) {
  Node &TheNode = node(Id);
  TheNode.m_Config = Config;
  deliver(TheNode, [this, &TheNode, Config] {
    if (TheNode.m_Ingress != nullptr)
      TheNode.m_Ingress->onConfiguration(Config, m_Time.now());
    if (TheNode.m_Gate != nullptr)
      TheNode.m_Gate->onConfiguration(Config, m_Time.now());
  });
}

void World::deliver(Node &To, std::function<void()> Input) {
  if (!To.m_Alive)
    return;
  if (m_Time.now() < To.m_FrozenUntil) {
    To.m_Inbox.push_back(std::move(Input));
    return;
  }
  Input();
  afterInput(To);
}

void World::afterInput(Node &TheNode) {
  performCommands(TheNode);
  if (!TheNode.m_Alive)
    return;
  TimePoint Next = TimePoint::max();
  if (TheNode.m_Ingress != nullptr)
    Next = std::min(Next, TheNode.m_Ingress->nextWakeUp().value_or(Next));
  if (TheNode.m_Gate != nullptr)
    Next = std::min(Next, TheNode.m_Gate->nextWakeUp().value_or(Next));
  if (Next == TimePoint::max())
    return;
  Next = std::max(Next, m_Time.now());
  if (Next >= TheNode.m_WakeUp)
    return;
  TheNode.m_WakeUp = Next;
  m_Time.at(Next, [this, &TheNode, Next] {
    if (TheNode.m_WakeUp != Next)
      return;
    TheNode.m_WakeUp = TimePoint::max();
    if (TheNode.m_Alive && m_Time.now() >= TheNode.m_FrozenUntil)
      wake(TheNode);
  });
}

void World::wake(Node &TheNode) {
  const auto Inputs = std::exchange(TheNode.m_Inbox, {});
  const auto Tick = [&] {
    if (TheNode.m_Ingress != nullptr)
      TheNode.m_Ingress->onTick(m_Time.now());
    if (TheNode.m_Gate != nullptr)
      TheNode.m_Gate->onTick(m_Time.now());
  };
  if (m_TimersFirst)
    Tick();
  for (const std::function<void()> &Input : Inputs)
    Input();
  if (!m_TimersFirst)
    Tick();
  afterInput(TheNode);
}

void World::performCommands(Node &TheNode) {
  if (TheNode.m_Ingress != nullptr)
    performIngressCommands(TheNode);
  if (TheNode.m_Gate != nullptr)
    performGateCommands(TheNode);
}

void World::performIngressCommands(Node &TheNode) {
  for (const core::IngressCommand &Command :
       TheNode.m_Ingress->takeCommands()) {
    if (const auto *Open = std::get_if<core::OpenTrafficLink>(&Command)) {
      openLink(TheNode, Open->m_Link, Open->m_GateAddress);
    } else if (const auto *Send = std::get_if<core::SendTraffic>(&Command)) {
      const core::LinkId Id = linkId(TheNode, Send->m_Link);
      transmit(Id, Direction::ToGate, [this, Id, Message = Send->m_Message] {
        node(m_Links.at(Id).m_Gate)
            .m_Gate->onMessage(Id, Message, m_Time.now());
      });
    } else if (const auto *Close =
                   std::get_if<core::CloseTrafficLink>(&Command)) {
      const core::LinkId Id = linkId(TheNode, Close->m_Link);
      const auto Found = m_Links.find(Id);
      if (Found == m_Links.end())
        continue;
      Found->second.m_OpenAtIngress = false;
      transmit(Id, Direction::ToGate, [this, Id] { closeAtGate(Id); });
    } else if (const auto *Answer = std::get_if<core::AnswerCaller>(&Command)) {
      recordAnswer(Answer->m_Call, *Answer);
    }
  }
}

void World::performGateCommands(Node &TheNode) {
  for (const core::GateCommand &Command : TheNode.m_Gate->takeCommands()) {
    if (const auto *Send = std::get_if<core::SendTraffic>(&Command)) {
      const core::LinkId Id = Send->m_Link;
      transmit(Id, Direction::ToIngress, [this, Id, Message = Send->m_Message] {
        const Link &TheLink = m_Links.at(Id);
        node(TheLink.m_Ingress)
            .m_Ingress->onMessage(TheLink.m_Number, Message, m_Time.now());
      });
    } else if (const auto *Close =
                   std::get_if<core::CloseTrafficLink>(&Command)) {
      const core::LinkId Id = Close->m_Link;
      m_Links.at(Id).m_OpenAtGate = false;
      transmit(Id, Direction::ToIngress, [this, Id] { closeAtIngress(Id); });
    } else if (const auto *Start = std::get_if<core::StartTarget>(&Command)) {
      runFromGate(TheNode, *Start);
    } else if (const auto *Stop = std::get_if<core::CancelTarget>(&Command)) {
      endRun(TheNode, Stop->m_Id, nullptr, core::TargetFailure::Abandoned);
    } else if (std::holds_alternative<core::CheckTarget>(Command)) {
      checkTarget(TheNode);
    } else if (std::holds_alternative<core::GateDrained>(Command)) {
      m_Time.at(m_Time.now() + ExitDelay,
                [this, &TheNode] { kill(TheNode.m_Id); });
    }
  }
}

// Calls.

core::CallId World::call(NodeId Entry, CallOptions Options,
                         AnswerHandler Done) {
  const core::CallId Id = m_Records.size() + 1;
  CallRecord &Record = m_Records[Id];
  Record.m_Options = std::move(Options);
  Record.m_ReadAt = m_Time.now();
  m_OpenCalls[Id] = {Entry, std::move(Done)};
  Node &TheNode = node(Entry);
  if (!TheNode.m_Alive) {
    abort(Id, core::CallOutcome::NotRun, "the node takes no connection");
    return Id;
  }
  deliver(TheNode, [this, &TheNode, Id] {
    if (!m_OpenCalls.contains(Id))
      return;
    CallRecord &ReadCall = m_Records.at(Id);
    ReadCall.m_ReadAt = m_Time.now();
    core::HttpRequest Request;
    Request.m_Method = ReadCall.m_Options.m_Method;
    Request.m_Path = ReadCall.m_Options.m_Path;
    Request.m_Body = std::to_string(Id);
    TheNode.m_Ingress->onCall(
        Id, std::make_shared<core::HttpRequest>(std::move(Request)),
        ReadCall.m_Options.m_Deadline, m_Time.now());
  });
  return Id;
}

core::CallId World::callDirect(NodeId From, NodeId To, CallOptions Options,
                               AnswerHandler Done) {
  const core::CallId Id = m_Records.size() + 1;
  CallRecord &Record = m_Records[Id];
  Record.m_Options = std::move(Options);
  Record.m_ReadAt = m_Time.now();
  m_OpenCalls[Id] = {From, std::move(Done)};
  const Duration OneWay = latency(node(From), node(To));
  const TimePoint Deadline =
      m_Time.now() + Record.m_Options.m_Deadline.value_or(Duration::max() / 2);
  m_Time.at(m_Time.now() + OneWay, [this, To, Id, OneWay, Deadline] {
    run(node(To), core::RequestId{{}, Id}, Id, Deadline,
        [this, Id, OneWay](const core::HttpResponsePtr &Response,
                           core::TargetFailure Kind) {
          core::CallOutcome Outcome = core::CallOutcome::Answered;
          if (Response == nullptr)
            Outcome = Kind == core::TargetFailure::NotSent
                          ? core::CallOutcome::NotRun
                          : core::CallOutcome::Unknown;
          m_Time.at(m_Time.now() + OneWay, [this, Id, Outcome, Response] {
            recordAnswer(Id, {Id, Outcome, Response, Duration{0}, ""});
          });
        });
  });
  return Id;
}

void World::recordAnswer(core::CallId Call, const core::AnswerCaller &Answer) {
  CallRecord &Record = m_Records.at(Call);
  ++Record.m_Answers;
  Record.m_AnsweredAt = m_Time.now();
  Record.m_Answer = Answer;
  notifyCaller(Call, Answer);
}

void World::abort(core::CallId Call, core::CallOutcome Outcome,
                  const std::string &Detail) {
  notifyCaller(Call, {Call, Outcome, nullptr, Duration{0}, Detail});
}

void World::notifyCaller(core::CallId Call, const core::AnswerCaller &Answer) {
  const auto Found = m_OpenCalls.extract(Call);
  if (Found.empty() || !Found.mapped().second)
    return;
  m_Time.at(m_Time.now(), [Done = std::move(Found.mapped().second), Answer] {
    Done(Answer);
  });
}

void World::disconnectCaller(core::CallId Call) {
  const auto Found = m_OpenCalls.extract(Call);
  if (Found.empty())
    return;
  Node &TheNode = node(Found.mapped().first);
  if (TheNode.m_Ingress == nullptr)
    return;
  deliver(TheNode, [this, &TheNode, Call] {
    TheNode.m_Ingress->onCallerDisconnected(Call, m_Time.now());
  });
}

const CallRecord &World::record(core::CallId Call) const {
  return m_Records.at(Call);
}

std::size_t World::openCalls(NodeId Id) const {
  const Node &TheNode = *m_Nodes[Id];
  return TheNode.m_Ingress == nullptr ? 0 : TheNode.m_Ingress->openCalls();
}

std::string World::expectedBody(core::CallId Call) {
  return "whole " + std::to_string(Call);
}

// Faults of processes.

void World::kill(NodeId Id) {
  Node &TheNode = node(Id);
  if (!TheNode.m_Alive)
    return;
  TheNode.m_Alive = false;
  TheNode.m_Inbox.clear();
  ++TheNode.m_Generation;
  TheNode.m_WakeUp = TimePoint::max();
  // The target itself is unaffected; its running requests end without a
  // receiver.
  for (std::size_t Count = TheNode.m_Running.size(); Count > 0; --Count)
    TheNode.m_Target.finishRequest();
  TheNode.m_Running.clear();
  breakLinks(Id);
  std::vector<core::CallId> Lost;
  for (const auto &[Call, Waiting] : m_OpenCalls) {
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
  Node &TheNode = node(Id);
  if (!TheNode.m_Alive)
    return;
  TheNode.m_FrozenUntil = std::max(TheNode.m_FrozenUntil, m_Time.now() + Time);
  m_Time.at(TheNode.m_FrozenUntil,
            [this, &TheNode, Generation = TheNode.m_Generation] {
              if (TheNode.m_Alive && TheNode.m_Generation == Generation &&
                  m_Time.now() >= TheNode.m_FrozenUntil)
                wake(TheNode);
            });
}

TimePoint World::frozenUntil(NodeId Id) const {
  return m_Nodes[Id]->m_FrozenUntil;
}

void World::drain(NodeId Id) {
  Node &TheNode = node(Id);
  deliver(TheNode,
          [this, &TheNode] { TheNode.m_Gate->startDrain(m_Time.now()); });
}

bool World::isAlive(NodeId Id) const { return m_Nodes[Id]->m_Alive; }

} // namespace dandelionfall::emulator
