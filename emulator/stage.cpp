#include "emulator/stage.h"

#include <array>
#include <utility>

namespace dandelionfall::emulator {

namespace {

/// Time in which a version that takes an availability zone out must be in force
/// everywhere.
constexpr Duration ZoneOutBound = 3s;

std::string addressOf(std::size_t Service, std::size_t Zone) {
  return std::to_string(Service) + ":" + std::to_string(Zone);
}

} // namespace

std::span<const Deployment> deployments() {
  static const std::array<Deployment, 2> All = {
      Deployment{"thessaloniki",
                 {"kalamaria", "sindos", "epanomi"},
                 {"slotboard", "escortdesk", "lanewatch", "chartroom"},
                 12,
                 120,
                 500us},
      Deployment{"kerala",
                 {"ernakulam", "thrissur", "kottayam", "alappuzha"},
                 {"limitdesk", "permitworks", "loadbook", "inspectra"},
                 6,
                 110,
                 1ms},
  };
  return All;
}

std::span<const Strategy> strategies() {
  static constexpr std::array<Strategy, 5> All = {
      Strategy{"nodes"},
      Strategy{"nodes-round-robin", false, "deadline", "round-robin"},
      Strategy{"nodes-no-admission", false, "fcfs", "least-loaded-of-two"},
      Strategy{"nodes-bounded", false, "bounded", "least-loaded-of-two"},
      Strategy{"direct", true},
  };
  return All;
}

Stage::Stage(const Deployment &Of, const Strategy &How, const Load &Asked,
             std::uint64_t Seed)
    : m_Of(Of), m_How(How), m_Policy(Asked.m_Policy),
      m_TargetLatency(Asked.m_TargetLatency),
      m_World({100us, Of.m_Latency, Seed}), m_Random(Seed) {
  addNodes(Asked, Seed);
  addCallers(Asked, Seed);
  const core::ConfigurationPtr First = configuration();
  for (NodeId Node = 0; Node < m_World.nodeCount(); ++Node) {
    m_World.publish(Node, First);
    m_Known.push_back(First);
  }
  m_Turns.resize(m_World.nodeCount());
  m_World.m_OnRun = [this](NodeId Node, core::CallId) {
    const bool InFirst = Node % m_Of.m_Zones.size() == 0;
    if (InFirst && m_ZoneLeftAt && m_World.time().now() > *m_ZoneLeftAt)
      ++m_RunsInZoneOut;
  };
}

NodeId Stage::nodeOf(std::size_t Service, std::size_t Zone) const {
  return Service * m_Of.m_Zones.size() + Zone;
}

void Stage::addNodes(const Load &Asked, std::uint64_t Seed) {
  for (std::size_t Service = 0; Service < m_Of.m_Services.size(); ++Service) {
    for (std::size_t Zone = 0; Zone < m_Of.m_Zones.size(); ++Zone) {
      NodeOptions Options;
      Options.m_GateAddress = addressOf(Service, Zone);
      Options.m_Host = "h" + Options.m_GateAddress;
      Options.m_Target = "t" + Options.m_GateAddress;
      Options.m_Zone = m_Of.m_Zones[Zone];
      Options.m_Behaviour.m_Slots = m_Of.m_Slots;
      Options.m_Behaviour.m_WarmUp = Asked.m_WarmUp;
      Options.m_Admission = m_How.m_Admission;
      Options.m_Routing = m_How.m_Routing;
      Options.m_Seed = Seed + m_World.nodeCount();
      m_World.addNode(std::move(Options));
    }
  }
}

void Stage::addCallers(const Load &Asked, std::uint64_t Seed) {
  const double Slots = static_cast<double>(m_Of.m_Zones.size()) * m_Of.m_Slots;
  const std::chrono::duration<double> Work = Asked.m_MeanWork;
  const double PerSecond = Asked.m_Share * Slots / Work.count();
  std::vector<RequestKind> Kinds;
  for (const char *Service : m_Of.m_Services) {
    for (const auto &[Method, Part] :
         {std::pair{"GET", 1 - Asked.m_BookingShare},
          std::pair{"POST", Asked.m_BookingShare}}) {
      RequestKind Kind;
      Kind.m_Path = std::string("/") + Service;
      Kind.m_Method = Method;
      Kind.m_PerSecond = Part * PerSecond;
      Kind.m_MeanWork = Asked.m_MeanWork;
      Kind.m_ExponentialWork = Asked.m_ExponentialWork;
      Kind.m_Deadline = Asked.m_Deadline;
      Kind.m_ShortestDeadline = Asked.m_ShortestDeadline;
      Kind.m_TargetLatency = Asked.m_TargetLatency > Duration{0}
                                 ? Asked.m_TargetLatency
                                 : Asked.m_Deadline;
      Kind.m_Retries = Asked.m_Retries;
      Kinds.push_back(Kind);
    }
  }
  std::vector<NodeId> Entries;
  for (NodeId Node = 0; Node < m_World.nodeCount(); ++Node)
    Entries.push_back(Node);
  Callers::Send How = [this](NodeId From, CallOptions Options,
                             World::AnswerHandler Done) {
    return m_How.m_Direct
               ? sendDirect(From, std::move(Options), std::move(Done))
               : m_World.call(From, std::move(Options), std::move(Done));
  };
  m_Callers = std::make_unique<Callers>(
      m_World, std::move(Kinds), std::move(Entries), std::move(How), Seed);
  m_Callers->setHabits(Asked.m_Habits);
}

core::CallId Stage::sendDirect(NodeId From, CallOptions Asked,
                               World::AnswerHandler Done) {
  const core::Configuration &Known = *m_Known[From];
  const core::Service &Wanted =
      *Known.m_Services.find(Asked.m_Path.substr(1))->second;
  std::vector<NodeId> Targets;
  for (const core::Target &Each : Wanted.m_Targets) {
    if (!core::isZoneIn(Known, Each.m_Zone))
      continue;
    const std::size_t Colon = Each.m_GateAddress.find(':');
    Targets.push_back(nodeOf(std::stoul(Each.m_GateAddress.substr(0, Colon)),
                             std::stoul(Each.m_GateAddress.substr(Colon + 1))));
  }
  const NodeId To = Targets[m_Turns[From]++ % Targets.size()];
  return m_World.callDirect(From, To, std::move(Asked), std::move(Done));
}

core::ConfigurationPtr Stage::configuration() const {
  auto Config = std::make_shared<core::Configuration>();
  Config->m_Stamp.m_Version = m_Version;
  for (const char *Name : m_Of.m_Zones)
    Config->m_Zones[Name] = {Name, "region", core::ZoneState::In};
  Config->m_Zones[m_Of.m_Zones.front()].m_State = m_FirstZone;
  Config->m_Profiles[m_Policy.m_Name] = m_Policy;
  for (std::size_t Service = 0; Service < m_Of.m_Services.size(); ++Service) {
    auto Built = std::make_shared<core::Service>();
    Built->m_Name = m_Of.m_Services[Service];
    Built->m_Profile = m_Policy.m_Name;
    core::Route Path;
    Path.m_PathPrefix = "/" + Built->m_Name;
    Path.m_TargetLatency = m_TargetLatency;
    Built->m_Routes.push_back(Path);
    for (std::size_t Zone = 0; Zone < m_Of.m_Zones.size(); ++Zone) {
      if (m_Unlisted.contains(nodeOf(Service, Zone)))
        continue;
      const std::string Address = addressOf(Service, Zone);
      Built->m_Targets.push_back({"t" + Address, "h" + Address,
                                  m_Of.m_Zones[Zone], Address, m_Of.m_Slots,
                                  m_Of.m_Connections});
    }
    Config->m_Services[Built->m_Name] = Built;
  }
  return Config;
}

void Stage::publish() {
  ++m_Version;
  const core::ConfigurationPtr Config = configuration();
  std::uniform_int_distribution<Duration::rep> Delay(
      0, LongestConvergence.count());
  for (NodeId Node = 0; Node < m_World.nodeCount(); ++Node) {
    m_World.time().at(m_World.time().now() + Duration(Delay(m_Random)),
                      [this, Config, Node] {
                        m_Known[Node] = Config;
                        m_World.publish(Node, Config);
                      });
  }
}

void Stage::publishZone(core::ZoneState FirstZone) {
  m_FirstZone = FirstZone;
  m_ZoneLeftAt.reset();
  if (FirstZone == core::ZoneState::Out)
    m_ZoneLeftAt = m_World.time().now() + ZoneOutBound;
  publish();
}

void Stage::publishWithout(NodeId Target) {
  m_Unlisted.insert(Target);
  publish();
}

void Stage::at(Duration After, VirtualTime::Action Do) {
  m_World.time().afterStart(After, std::move(Do));
}

void Stage::run() {
  m_Callers->start(LastCall, CountFrom);
  m_World.time().runUntil(RunEnd);
}

} // namespace dandelionfall::emulator
