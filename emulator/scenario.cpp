#include "emulator/scenario.h"

#include <algorithm>
#include <array>

namespace dandelionfall::emulator {

namespace {

/// When a fault begins and ends.
constexpr Duration FaultStart = 15s;
constexpr Duration FaultEnd = 30s;
/// Time from the end of a target to the end of its entry: three heartbeats.
constexpr Duration EntryTime = 4500ms;

/// A service that ramps restarted targets by what they answer.
Load rampedLoad() {
  Load Asked;
  Asked.m_ExponentialWork = true;
  Asked.m_MeanWork = 50ms;
  Asked.m_Deadline = 1250ms;
  // 60% of what is left without one of three availability zones.
  Asked.m_Share = 0.4;
  Asked.m_Policy.m_Name = "standard";
  Asked.m_Policy.m_Deadline = Asked.m_Deadline;
  Asked.m_Policy.m_AttemptTimeout = Asked.m_Deadline / 2;
  return Asked;
}

/// Callers who want an answer long before their deadline and come back when
/// refused, as the platform's do: wanted in three times the work, deadline five
/// times that.
Load wantedLoad(double Share) {
  Load Asked;
  Asked.m_MeanWork = 100ms;
  Asked.m_TargetLatency = 300ms;
  Asked.m_Deadline = 1500ms;
  Asked.m_Retries = 2;
  Asked.m_Share = Share;
  Asked.m_WarmUp = Duration{0};
  core::Profile &Policy = Asked.m_Policy;
  Policy.m_Name = "published";
  Policy.m_Deadline = 60s;
  Policy.m_AttemptTimeout = 60s;
  Policy.m_AnswerGrace = 100ms;
  Policy.m_QueueLimit = 1000;
  Policy.m_RetryFloor = 1.25;
  Policy.m_RetryFloorPerSecond = 0.125;
  Policy.m_RetryCeiling = 2.5;
  Policy.m_ColdStartLimit = 100'000;
  Policy.m_ColdStartRequests = 0;
  return Asked;
}

Load halfLoad() { return wantedLoad(0.5); }

/// More than all targets bear, with deadlines of many lengths.
Load overload() {
  Load Asked = rampedLoad();
  Asked.m_Share = 1.3;
  Asked.m_MeanWork = 100ms;
  Asked.m_Deadline = 1500ms;
  Asked.m_ShortestDeadline = 300ms;
  Asked.m_Policy.m_QueueLimit = 64;
  Asked.m_Policy.m_ColdStartLimit = 100;
  return Asked;
}

/// The same, of callers who try once more after being refused.
Load overloadWithComeback(Comeback How) {
  Load Asked = overload();
  Asked.m_Retries = 1;
  Asked.m_Habits.m_Comeback = How;
  Asked.m_Habits.m_BlindPause = Asked.m_MeanWork;
  return Asked;
}

/// Changes one target of the first service while the fault lasts.
void changeTarget(Stage &On, void (*Change)(TargetBehaviour &)) {
  const NodeId Node = On.nodeOf(0, 0);
  const TargetBehaviour Usual = On.world().target(Node).behaviour();
  TargetBehaviour Changed = Usual;
  Change(Changed);
  On.at(FaultStart, [&On, Node, Changed] {
    On.world().target(Node).setBehaviour(Changed);
  });
  On.at(FaultEnd,
        [&On, Node, Usual] { On.world().target(Node).setBehaviour(Usual); });
}

void zoneLeaves(Stage &On) {
  On.at(FaultStart, [&On] { On.publishZone(core::ZoneState::Out); });
  On.at(FaultEnd, [&On] {
    // What runs in the availability zone was started anew in the meantime.
    for (std::size_t Service = 0; Service < On.deployment().m_Services.size();
         ++Service)
      On.world().restartTarget(On.nodeOf(Service, 0), Duration{0});
    On.publishZone(core::ZoneState::In);
  });
}

void targetLost(Stage &On) {
  const NodeId Node = On.nodeOf(0, 0);
  On.at(FaultStart,
        [&On, Node] { On.world().restartTarget(Node, Stage::RunEnd); });
  On.at(FaultStart + EntryTime, [&On, Node] { On.publishWithout(Node); });
}

void burst(Stage &On) {
  constexpr double Factor = 2.5;
  On.at(FaultStart, [&On] { On.callers().setRate(Factor); });
  On.at(FaultEnd, [&On] { On.callers().setRate(1); });
}

void impatience(Stage &On) {
  Habits Impatient;
  Impatient.m_LeaveShare = 0.2;
  Impatient.m_ImpatientShare = 0.4;
  On.at(FaultStart, [&On, Impatient] { On.callers().setHabits(Impatient); });
  On.at(FaultEnd, [&On] { On.callers().setHabits({}); });
  burst(On);
}

void nodesKilled(Stage &On) {
  // Every third node, which the platform starts again after a second.
  constexpr std::size_t Step = 3;
  for (NodeId Node = 0; Node < On.world().nodeCount(); Node += Step) {
    On.at(FaultStart, [&On, Node] { On.world().kill(Node); });
    On.at(FaultStart + 1s, [&On, Node] { On.world().restart(Node); });
  }
}

const std::array All = {
    Scenario{"calm", "Half load, nothing happens.", halfLoad, [](Stage &) {}},
    Scenario{"zone-leaves",
             "An availability zone leaves and returns with cold targets.",
             rampedLoad, zoneLeaves},
    Scenario{"target-lost",
             "A service loses one of its targets for good, at full rate.",
             [] { return wantedLoad(0.6); }, targetLost},
    Scenario{"slow-target", "A target works four times slower.", halfLoad,
             [](Stage &On) {
               changeTarget(On, [](TargetBehaviour &Of) { Of.m_Slowness = 4; });
             }},
    Scenario{"grey-target", "A target fails half of its requests.", halfLoad,
             [](Stage &On) {
               changeTarget(On,
                            [](TargetBehaviour &Of) { Of.m_FailShare = 0.5; });
             }},
    Scenario{
        "wrong-bytes", "A target answers a fifth with wrong bytes.", halfLoad,
        [](Stage &On) {
          changeTarget(On, [](TargetBehaviour &Of) { Of.m_GarbleShare = 0.2; });
        }},
    Scenario{
        "lost-answers", "A tenth of a target's answers never come.", halfLoad,
        [](Stage &On) {
          changeTarget(On, [](TargetBehaviour &Of) { Of.m_SilentShare = 0.1; });
        }},
    Scenario{"cold-return", "A target is down for 2 s and returns cold.",
             [] {
               Load Asked = rampedLoad();
               Asked.m_Share = 0.5;
               return Asked;
             },
             [](Stage &On) {
               On.at(FaultStart,
                     [&On] { On.world().restartTarget(On.nodeOf(0, 0), 2s); });
             }},
    Scenario{"burst", "Callers ask for a quarter more than all targets bear.",
             halfLoad, burst},
    Scenario{"impatience", "A burst of callers who leave, or press again.",
             halfLoad, impatience},
    Scenario{"overload", "Callers ask for 1.3 times what all targets bear.",
             overload, [](Stage &) {}},
    Scenario{"comeback-told", "Overload; the refused return when told to.",
             [] { return overloadWithComeback(Comeback::Told); },
             [](Stage &) {}},
    Scenario{"comeback-blind", "Overload; the refused return after 100 ms.",
             [] { return overloadWithComeback(Comeback::Blind); },
             [](Stage &) {}},
    Scenario{"nodes-killed", "A third of the nodes is killed at once.",
             halfLoad, nodesKilled},
};

} // namespace

std::span<const Scenario> scenarios() { return All; }

const Scenario *findScenario(std::string_view Name) {
  const auto *Found =
      std::find_if(All.begin(), All.end(), [Name](const Scenario &Each) {
        return Each.m_Name == Name;
      });
  return Found == All.end() ? nullptr : Found;
}

ScenarioResult play(const Scenario &What, const Deployment &Of,
                    const Strategy &How, std::uint64_t Seed) {
  Stage On(Of, How, What.m_Load(), Seed);
  What.m_Play(On);
  On.run();
  ScenarioResult Result;
  Result.m_Total = On.callers().total();
  // Each service has a kind that may be repeated, then one that may not.
  for (std::size_t Service = 0; Service < Of.m_Services.size(); ++Service)
    Result.m_Bookings.add(On.callers().tally(2 * Service + 1));
  Result.m_Breaches = On.callers().breaches();
  Result.m_WorstSecond = On.callers().worstSecond();
  Result.m_Collapses = On.world().collapses();
  Result.m_RunsInZoneOut = On.runsInZoneOut();
  return Result;
}

} // namespace dandelionfall::emulator
