/// \file
/// One run of a load on an emulated deployment with one strategy.
#ifndef DANDELIONFALL_EMULATOR_SCENARIO_RUN_H
#define DANDELIONFALL_EMULATOR_SCENARIO_RUN_H

#include "emulator/callers.h"

#include <set>
#include <span>
#include <string>
#include <vector>

namespace dandelionfall::emulator {

/// Size of a deployment. Each service has one target, with its own node, in
/// each availability zone.
struct Deployment {
  const char *m_Name;
  std::vector<const char *> m_Zones;
  std::vector<const char *> m_Services;
  std::uint32_t m_Slots;
  std::uint32_t m_Connections;
  /// One-way latency between availability zones.
  Duration m_Latency;
};

/// Lists the emulated deployments.
std::span<const Deployment> deployments();

/// How requests are routed to targets and admitted there.
struct Strategy {
  const char *m_Name;
  /// Round robin over the targets, without nodes, admission or ramp.
  bool m_Direct = false;
  const char *m_Admission = "deadline";
  const char *m_Routing = "least-loaded-of-two";
};

/// Lists the strategies to compare. The first is the product's, the last is the
/// baseline without nodes.
std::span<const Strategy> strategies();

/// The offered load, and the profile of all services.
struct Load {
  Duration m_MeanServiceTime = 20ms;
  bool m_ExponentialServiceTime = false;
  /// Soft deadline; 0 for none besides the deadline.
  Duration m_TargetLatency{0};
  Duration m_Deadline = 500ms;
  std::optional<Duration> m_ShortestDeadline;
  unsigned m_Retries = 0;
  CallerBehaviour m_CallerBehaviour;
  /// Offered load as a fraction of the slots of all targets.
  double m_Utilisation = 0.5;
  /// Share of the calls that are not idempotent.
  double m_BookingShare = 0.3;
  core::Profile m_Profile;
  /// Time after a cold start until a target runs all of its slots at full
  /// speed.
  Duration m_WarmUp = 3s;
};

/// One run of a deployment with its nodes and callers. Calls before `CountFrom`
/// are not counted; callers start no call after `LastCall`.
class ScenarioRun {
public:
  static constexpr Duration CountFrom = 10s;
  static constexpr Duration LastCall = 50s;
  static constexpr Duration RunEnd = 53s;
  /// Longest time until a published version is applied on a node.
  static constexpr Duration MaxConvergence = 1s;

  ScenarioRun(const Deployment &TheDeployment, const Strategy &TheStrategy,
              const Load &Offered, std::uint64_t Seed);

  World &world() { return m_World; }
  Callers &callers() { return *m_Callers; }
  const Deployment &deployment() const { return m_Deployment; }
  /// \returns the node of a service's target in an availability zone.
  NodeId nodeOf(std::size_t Service, std::size_t Zone) const;
  /// Schedules an action at a time after the start.
  void at(Duration After, VirtualTime::Action Do);
  /// Publishes a new state of the first availability zone.
  void publishZone(core::ZoneState FirstZone);
  /// Publishes a version without a target.
  void publishWithoutTarget(NodeId Target);
  /// Runs from start to end.
  void run();
  /// \returns the number of runs at targets of the first availability zone more
  /// than 3 s after it was taken out.
  std::uint64_t runsInZoneOut() const { return m_RunsInZoneOut; }

private:
  void addNodes(const Load &Offered, std::uint64_t Seed);
  void addCallers(const Load &Offered, std::uint64_t Seed);
  core::ConfigurationPtr configuration() const;
  void publish();
  core::CallId sendDirect(NodeId From, CallOptions Options,
                          World::AnswerHandler Done);

  const Deployment &m_Deployment;
  const Strategy &m_Strategy;
  core::Profile m_Profile;
  Duration m_TargetLatency;
  World m_World;
  std::mt19937_64 m_Random;
  std::unique_ptr<Callers> m_Callers;
  core::Version m_Version = 1;
  core::ZoneState m_FirstZone = core::ZoneState::In;
  /// After this time, a run in the first availability zone is a violation.
  std::optional<TimePoint> m_ZoneOutDeadline;
  std::set<NodeId> m_UnlistedTargets;
  /// The version applied on each node, for calls that bypass the nodes.
  std::vector<core::ConfigurationPtr> m_NodeConfigurations;
  std::vector<std::uint64_t> m_RoundRobinCounts;
  std::uint64_t m_RunsInZoneOut = 0;
};

} // namespace dandelionfall::emulator

#endif // DANDELIONFALL_EMULATOR_SCENARIO_RUN_H
