#include "emulator/scenario_run.h"

#include <array>
#include <utility>

namespace dandelionfall::emulator {

namespace {

/// Time within which a version that takes an availability zone out must be
/// applied on all nodes.
constexpr Duration ZoneOutBound = 3s;

// Returns `SERVICE:ZONE`, both as indexes; sendDirect parses it again.
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

ScenarioRun::ScenarioRun(const Deployment &TheDeployment,
                         const Strategy &TheStrategy, const Load &Offered,
                         std::uint64_t Seed)
    : m_Deployment(TheDeployment), m_Strategy(TheStrategy),
      m_Profile(Offered.m_Profile), m_TargetLatency(Offered.m_TargetLatency),
      m_World({100us, TheDeployment.m_Latency, Seed}), m_Random(Seed) {
  addNodes(Offered, Seed);
  addCallers(Offered, Seed);
  const core::ConfigurationPtr First = configuration();
  for (NodeId Node = 0; Node < m_World.nodeCount(); ++Node) {
    m_World.publish(Node, First);
    m_NodeConfigurations.push_back(First);
  }
  m_RoundRobinCounts.resize(m_World.nodeCount());
  m_World.m_OnRun = [this](NodeId Node, core::CallId) {
    const bool IsInFirstZone = Node % m_Deployment.m_Zones.size() == 0;
    if (IsInFirstZone && m_ZoneOutDeadline &&
        m_World.time().now() > *m_ZoneOutDeadline)
      ++m_RunsInZoneOut;
  };
}

NodeId ScenarioRun::nodeOf(std::size_t Service, std::size_t Zone) const {
  return Service * m_Deployment.m_Zones.size() + Zone;
}

void ScenarioRun::addNodes(const Load &Offered, std::uint64_t Seed) {
  for (std::size_t Service = 0; Service < m_Deployment.m_Services.size();
       ++Service) {
    for (std::size_t Zone = 0; Zone < m_Deployment.m_Zones.size(); ++Zone) {
      NodeOptions Options;
      Options.m_GateAddress = addressOf(Service, Zone);
      Options.m_Host = "h" + Options.m_GateAddress;
      Options.m_Target = "t" + Options.m_GateAddress;
      Options.m_Zone = m_Deployment.m_Zones[Zone];
      Options.m_Behaviour.m_Slots = m_Deployment.m_Slots;
      Options.m_Behaviour.m_WarmUp = Offered.m_WarmUp;
      Options.m_Admission = m_Strategy.m_Admission;
      Options.m_Routing = m_Strategy.m_Routing;
      Options.m_Seed = Seed + m_World.nodeCount();
      m_World.addNode(std::move(Options));
    }
  }
}

void ScenarioRun::addCallers(const Load &Offered, std::uint64_t Seed) {
  const double Slots =
      static_cast<double>(m_Deployment.m_Zones.size()) * m_Deployment.m_Slots;
  const std::chrono::duration<double> ServiceTime = Offered.m_MeanServiceTime;
  const double PerSecond = Offered.m_Utilisation * Slots / ServiceTime.count();
  std::vector<RequestKind> Kinds;
  for (const char *Service : m_Deployment.m_Services) {
    for (const auto &[Method, Share] :
         {std::pair{"GET", 1 - Offered.m_BookingShare},
          std::pair{"POST", Offered.m_BookingShare}}) {
      RequestKind Kind;
      Kind.m_Path = std::string("/") + Service;
      Kind.m_Method = Method;
      Kind.m_PerSecond = Share * PerSecond;
      Kind.m_MeanServiceTime = Offered.m_MeanServiceTime;
      Kind.m_ExponentialServiceTime = Offered.m_ExponentialServiceTime;
      Kind.m_Deadline = Offered.m_Deadline;
      Kind.m_ShortestDeadline = Offered.m_ShortestDeadline;
      Kind.m_TargetLatency = Offered.m_TargetLatency > Duration{0}
                                 ? Offered.m_TargetLatency
                                 : Offered.m_Deadline;
      Kind.m_Retries = Offered.m_Retries;
      Kinds.push_back(Kind);
    }
  }
  std::vector<NodeId> EntryNodes;
  for (NodeId Node = 0; Node < m_World.nodeCount(); ++Node)
    EntryNodes.push_back(Node);
  Callers::Send SendCall = [this](NodeId From, CallOptions Options,
                                  World::AnswerHandler Done) {
    return m_Strategy.m_Direct
               ? sendDirect(From, std::move(Options), std::move(Done))
               : m_World.call(From, std::move(Options), std::move(Done));
  };
  m_Callers = std::make_unique<Callers>(m_World, std::move(Kinds),
                                        std::move(EntryNodes),
                                        std::move(SendCall), Seed);
  m_Callers->setCallerBehaviour(Offered.m_CallerBehaviour);
}

core::CallId ScenarioRun::sendDirect(NodeId From, CallOptions Options,
                                     World::AnswerHandler Done) {
  const core::Configuration &Config = *m_NodeConfigurations[From];
  const core::Service &Called =
      *Config.m_Services.find(Options.m_Path.substr(1))->second;
  std::vector<NodeId> Targets;
  for (const core::Target &Each : Called.m_Targets) {
    if (!core::isZoneIn(Config, Each.m_Zone))
      continue;
    const std::size_t Colon = Each.m_GateAddress.find(':');
    Targets.push_back(nodeOf(std::stoul(Each.m_GateAddress.substr(0, Colon)),
                             std::stoul(Each.m_GateAddress.substr(Colon + 1))));
  }
  const NodeId To = Targets[m_RoundRobinCounts[From]++ % Targets.size()];
  return m_World.callDirect(From, To, std::move(Options), std::move(Done));
}

core::ConfigurationPtr ScenarioRun::configuration() const {
  auto Config = std::make_shared<core::Configuration>();
  Config->m_Stamp.m_Version = m_Version;
  for (const char *Name : m_Deployment.m_Zones)
    Config->m_Zones[Name] = {Name, "region", core::ZoneState::In};
  Config->m_Zones[m_Deployment.m_Zones.front()].m_State = m_FirstZone;
  Config->m_Profiles[m_Profile.m_Name] = m_Profile;
  for (std::size_t Service = 0; Service < m_Deployment.m_Services.size();
       ++Service) {
    auto Built = std::make_shared<core::Service>();
    Built->m_Name = m_Deployment.m_Services[Service];
    Built->m_Profile = m_Profile.m_Name;
    core::Route DefaultRoute;
    DefaultRoute.m_PathPrefix = "/" + Built->m_Name;
    DefaultRoute.m_TargetLatency = m_TargetLatency;
    Built->m_Routes.push_back(DefaultRoute);
    for (std::size_t Zone = 0; Zone < m_Deployment.m_Zones.size(); ++Zone) {
      if (m_UnlistedTargets.contains(nodeOf(Service, Zone)))
        continue;
      const std::string Address = addressOf(Service, Zone);
      Built->m_Targets.push_back(
          {"t" + Address, "h" + Address, m_Deployment.m_Zones[Zone], Address,
           m_Deployment.m_Slots, m_Deployment.m_Connections});
    }
    Config->m_Services[Built->m_Name] = Built;
  }
  return Config;
}

void ScenarioRun::publish() {
  ++m_Version;
  const core::ConfigurationPtr Config = configuration();
  std::uniform_int_distribution<Duration::rep> Delay(0, MaxConvergence.count());
  for (NodeId Node = 0; Node < m_World.nodeCount(); ++Node) {
    m_World.time().at(m_World.time().now() + Duration(Delay(m_Random)),
                      [this, Config, Node] {
                        m_NodeConfigurations[Node] = Config;
                        m_World.publish(Node, Config);
                      });
  }
}

void ScenarioRun::publishZone(core::ZoneState FirstZone) {
  m_FirstZone = FirstZone;
  m_ZoneOutDeadline.reset();
  if (FirstZone == core::ZoneState::Out)
    m_ZoneOutDeadline = m_World.time().now() + ZoneOutBound;
  publish();
}

void ScenarioRun::publishWithoutTarget(NodeId Target) {
  m_UnlistedTargets.insert(Target);
  publish();
}

void ScenarioRun::at(Duration After, VirtualTime::Action Do) {
  m_World.time().afterStart(After, std::move(Do));
}

void ScenarioRun::run() {
  m_Callers->start(LastCall, CountFrom);
  m_World.time().runUntil(RunEnd);
}

} // namespace dandelionfall::emulator
