/// \file
/// A deployment set up to play a load with one strategy.
#ifndef DANDELIONFALL_EMULATOR_SCENARIO_RUN_H
#define DANDELIONFALL_EMULATOR_SCENARIO_RUN_H

#include "emulator/callers.h"

#include <set>
#include <span>
#include <string>
#include <vector>

namespace dandelionfall::emulator {

/// Sizes of a deployment; each service has one target, and a node beside it, in
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

/// Lists the deployments of the brief.
std::span<const Deployment> deployments();

/// How requests get to targets.
struct Strategy {
  const char *m_Name;
  /// Round robin over the targets without node, admission or ramp.
  bool m_Direct = false;
  const char *m_Admission = "deadline";
  const char *m_Routing = "least-loaded-of-two";
};

/// Lists the strategies that can be compared; the first is the product's own.
std::span<const Strategy> strategies();

/// What callers ask, and the policy that services run under.
struct Load {
  Duration m_MeanServiceTime = 20ms;
  bool m_ExponentialServiceTime = false;
  /// 0 if no time is named but the deadline.
  Duration m_TargetLatency{0};
  Duration m_Deadline = 500ms;
  std::optional<Duration> m_ShortestDeadline;
  unsigned m_Retries = 0;
  CallerBehaviour m_CallerBehaviour;
  /// Part of all targets' slots that the calls take.
  double m_Utilisation = 0.5;
  /// Share of the calls that are not idempotent.
  double m_BookingShare = 0.3;
  core::Profile m_Profile;
  /// Requests that a started target bears, as in a cold start.
  Duration m_WarmUp = 3s;
};

/// One run: a deployment, its nodes and its callers. Nothing counts before
/// `CountFrom`; callers stop at `LastCall`.
class ScenarioRun {
public:
  static constexpr Duration CountFrom = 10s;
  static constexpr Duration LastCall = 50s;
  static constexpr Duration RunEnd = 53s;
  /// Longest time until a version is in force on a node.
  static constexpr Duration MaxConvergence = 1s;

  ScenarioRun(const Deployment &TheDeployment, const Strategy &TheStrategy,
              const Load &Offered, std::uint64_t Seed);

  World &world() { return m_World; }
  Callers &callers() { return *m_Callers; }
  const Deployment &deployment() const { return m_Deployment; }
  /// \returns the node of a service's target in an availability zone.
  NodeId nodeOf(std::size_t Service, std::size_t Zone) const;
  /// Does something at a time after the start.
  void at(Duration After, VirtualTime::Action Do);
  /// Takes the first availability zone out, or back in.
  void publishZone(core::ZoneState FirstZone);
  /// Takes a target off the list.
  void publishWithoutTarget(NodeId Target);
  /// Runs from start to end.
  void run();
  /// \returns runs at targets of the first availability zone 3 s and more after
  /// it was taken out.
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
  /// When the first availability zone counts as left.
  std::optional<TimePoint> m_ZoneOutDeadline;
  std::set<NodeId> m_UnlistedTargets;
  /// What each node knows, for calls that go to targets directly.
  std::vector<core::ConfigurationPtr> m_NodeConfigurations;
  std::vector<std::uint64_t> m_RoundRobinCounts;
  std::uint64_t m_RunsInZoneOut = 0;
};

} // namespace dandelionfall::emulator

#endif // DANDELIONFALL_EMULATOR_SCENARIO_RUN_H
