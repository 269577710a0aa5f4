#include "emulator/scenario.h"

#include <algorithm>
#include <array>

namespace dandelionfall::emulator {

namespace {

/// When a fault begins and ends.
constexpr Duration FaultStart = 15s;
constexpr Duration FaultEnd = 30s;
/// Time from the loss of a target until its list entry expires: three
/// heartbeats.
constexpr Duration EntryLifetime = 4500ms;

/// Load of a service with a ramp for restarted targets.
Load rampedLoad() {
  Load Offered;
  Offered.m_ExponentialServiceTime = true;
  Offered.m_MeanServiceTime = 50ms;
  Offered.m_Deadline = 1250ms;
  // With one of three availability zones out, 60% of the remaining capacity.
  Offered.m_Utilisation = 0.4;
  Offered.m_Profile.m_Name = "standard";
  Offered.m_Profile.m_Deadline = Offered.m_Deadline;
  Offered.m_Profile.m_AttemptTimeout = Offered.m_Deadline / 2;
  return Offered;
}

/// Callers with a soft deadline well before their deadline, which retry after a
/// refusal, as on the platform: a soft deadline of three times the service time
/// and a deadline of five times the soft deadline.
Load softDeadlineLoad(double Utilisation) {
  Load Offered;
  Offered.m_MeanServiceTime = 100ms;
  Offered.m_TargetLatency = 300ms;
  Offered.m_Deadline = 1500ms;
  Offered.m_Retries = 2;
  Offered.m_Utilisation = Utilisation;
  Offered.m_WarmUp = Duration{0};
  core::Profile &Published = Offered.m_Profile;
  Published.m_Name = "published";
  Published.m_Deadline = 60s;
  Published.m_AttemptTimeout = 60s;
  Published.m_AnswerGrace = 100ms;
  Published.m_QueueLimit = 1000;
  Published.m_RetryFloor = 1.25;
  Published.m_RetryFloorPerSecond = 0.125;
  Published.m_RetryCeiling = 2.5;
  Published.m_ColdStartLimit = 100'000;
  Published.m_ColdStartRequests = 0;
  return Offered;
}

Load halfLoad() { return softDeadlineLoad(0.5); }

/// A load above the capacity of all targets, with mixed deadlines.
Load overload() {
  Load Offered = rampedLoad();
  Offered.m_Utilisation = 1.3;
  Offered.m_MeanServiceTime = 100ms;
  Offered.m_Deadline = 1500ms;
  Offered.m_ShortestDeadline = 300ms;
  Offered.m_Profile.m_QueueLimit = 64;
  Offered.m_Profile.m_ColdStartLimit = 100;
  return Offered;
}

/// The same overload, with one retry after a refusal.
Load overloadWithRetry(RetryTiming Timing) {
  Load Offered = overload();
  Offered.m_Retries = 1;
  Offered.m_CallerBehaviour.m_RetryTiming = Timing;
  Offered.m_CallerBehaviour.m_FixedRetryPause = Offered.m_MeanServiceTime;
  return Offered;
}

/// Changes one target of the first service between `FaultStart` and `FaultEnd`.
void changeTarget(ScenarioRun &Run, void (*Change)(TargetBehaviour &)) {
  const NodeId Node = Run.nodeOf(0, 0);
  const TargetBehaviour Original = Run.world().target(Node).behaviour();
  TargetBehaviour Changed = Original;
  Change(Changed);
  Run.at(FaultStart, [&Run, Node, Changed] {
    Run.world().target(Node).setBehaviour(Changed);
  });
  Run.at(FaultEnd, [&Run, Node, Original] {
    Run.world().target(Node).setBehaviour(Original);
  });
}

void zoneLeaves(ScenarioRun &Run) {
  Run.at(FaultStart, [&Run] { Run.publishZone(core::ZoneState::Out); });
  Run.at(FaultEnd, [&Run] {
    // All targets of the availability zone were restarted while it was out.
    for (std::size_t Service = 0; Service < Run.deployment().m_Services.size();
         ++Service)
      Run.world().restartTarget(Run.nodeOf(Service, 0), Duration{0});
    Run.publishZone(core::ZoneState::In);
  });
}

void targetLost(ScenarioRun &Run) {
  const NodeId Node = Run.nodeOf(0, 0);
  Run.at(FaultStart, [&Run, Node] {
    Run.world().restartTarget(Node, ScenarioRun::RunEnd);
  });
  Run.at(FaultStart + EntryLifetime,
         [&Run, Node] { Run.publishWithoutTarget(Node); });
}

void burst(ScenarioRun &Run) {
  constexpr double Factor = 2.5;
  Run.at(FaultStart, [&Run] { Run.callers().setRate(Factor); });
  Run.at(FaultEnd, [&Run] { Run.callers().setRate(1); });
}

void impatience(ScenarioRun &Run) {
  CallerBehaviour Impatient;
  Impatient.m_DisconnectShare = 0.2;
  Impatient.m_ImpatientShare = 0.4;
  Run.at(FaultStart,
         [&Run, Impatient] { Run.callers().setCallerBehaviour(Impatient); });
  Run.at(FaultEnd, [&Run] { Run.callers().setCallerBehaviour({}); });
  burst(Run);
}

void nodesKilled(ScenarioRun &Run) {
  // Kills every third node; the platform restarts them after a second.
  constexpr std::size_t Step = 3;
  for (NodeId Node = 0; Node < Run.world().nodeCount(); Node += Step) {
    Run.at(FaultStart, [&Run, Node] { Run.world().kill(Node); });
    Run.at(FaultStart + 1s, [&Run, Node] { Run.world().restart(Node); });
  }
}

const std::array AllScenarios = {
    Scenario{"calm", "Half load without faults.", halfLoad,
             [](ScenarioRun &) {}},
    Scenario{"zone-leaves",
             "An availability zone goes out and returns with cold targets.",
             rampedLoad, zoneLeaves},
    Scenario{"target-lost",
             "A service permanently loses one of its targets at full rate.",
             [] { return softDeadlineLoad(0.6); }, targetLost},
    Scenario{"slow-target", "A target runs four times slower.", halfLoad,
             [](ScenarioRun &Run) {
               changeTarget(Run, [](TargetBehaviour &Target) {
                 Target.m_SlowdownFactor = 4;
               });
             }},
    Scenario{"grey-target", "A target fails half of its requests.", halfLoad,
             [](ScenarioRun &Run) {
               changeTarget(Run, [](TargetBehaviour &Target) {
                 Target.m_FailureShare = 0.5;
               });
             }},
    Scenario{"wrong-bytes",
             "A target answers a fifth of its requests with invalid bytes.",
             halfLoad,
             [](ScenarioRun &Run) {
               changeTarget(Run, [](TargetBehaviour &Target) {
                 Target.m_GarbleShare = 0.2;
               });
             }},
    Scenario{"lost-answers", "A target never answers a tenth of its requests.",
             halfLoad,
             [](ScenarioRun &Run) {
               changeTarget(Run, [](TargetBehaviour &Target) {
                 Target.m_SilentShare = 0.1;
               });
             }},
    Scenario{"cold-return", "A target is down for 2 s and returns cold.",
             [] {
               Load Offered = rampedLoad();
               Offered.m_Utilisation = 0.5;
               return Offered;
             },
             [](ScenarioRun &Run) {
               Run.at(FaultStart, [&Run] {
                 Run.world().restartTarget(Run.nodeOf(0, 0), 2s);
               });
             }},
    Scenario{"burst",
             "The load exceeds the capacity of all targets by a quarter.",
             halfLoad, burst},
    Scenario{"impatience",
             "A burst in which callers disconnect or retry immediately.",
             halfLoad, impatience},
    Scenario{"overload", "The load is 1.3 times the capacity of all targets.",
             overload, [](ScenarioRun &) {}},
    Scenario{"comeback-told",
             "Overload; refused callers retry when the refusal states.",
             [] { return overloadWithRetry(RetryTiming::Advised); },
             [](ScenarioRun &) {}},
    Scenario{"comeback-blind", "Overload; refused callers retry after 100 ms.",
             [] { return overloadWithRetry(RetryTiming::FixedPause); },
             [](ScenarioRun &) {}},
    Scenario{"nodes-killed", "A third of the nodes is killed at once.",
             halfLoad, nodesKilled},
};

} // namespace

std::span<const Scenario> scenarios() { return AllScenarios; }

const Scenario *findScenario(std::string_view Name) {
  const auto *Found = std::find_if(
      AllScenarios.begin(), AllScenarios.end(),
      [Name](const Scenario &Each) { return Each.m_Name == Name; });
  return Found == AllScenarios.end() ? nullptr : Found;
}

ScenarioResult runScenario(const Scenario &TheScenario,
                           const Deployment &TheDeployment,
                           const Strategy &TheStrategy, std::uint64_t Seed) {
  ScenarioRun Run(TheDeployment, TheStrategy, TheScenario.m_Load(), Seed);
  TheScenario.m_SetUp(Run);
  Run.run();
  ScenarioResult Result;
  Result.m_Total = Run.callers().total();
  // Each service has two kinds: idempotent, then not idempotent.
  for (std::size_t Service = 0; Service < TheDeployment.m_Services.size();
       ++Service)
    Result.m_Bookings.add(Run.callers().tally(2 * Service + 1));
  Result.m_Breaches = Run.callers().breaches();
  Result.m_WorstSecond = Run.callers().worstSecond();
  Result.m_Collapses = Run.world().collapses();
  Result.m_RunsInZoneOut = Run.runsInZoneOut();
  return Result;
}

} // namespace dandelionfall::emulator
