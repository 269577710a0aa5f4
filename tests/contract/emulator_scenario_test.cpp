#include "emulator/scenario.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace dandelionfall::emulator;

namespace {

constexpr std::uint64_t Seed = 1;

const Strategy &own() { return strategies().front(); }

const Strategy &direct() { return strategies().back(); }

/// Plays a scenario on every deployment.
template <typename Check> void onAll(const char *Name, Check Do) {
  const Scenario *What = findScenario(Name);
  REQUIRE(What != nullptr);
  for (const Deployment &Each : deployments()) {
    CAPTURE(Name);
    CAPTURE(std::string(Each.m_Name));
    Do(*What, Each);
  }
}

double inTime(const ScenarioResult &Of) { return Of.m_Total.inTimeShare(); }

} // namespace

TEST_CASE("every scenario keeps every promise and collapses no target") {
  for (const Scenario &Each : scenarios()) {
    onAll(Each.m_Name, [](const Scenario &What, const Deployment &Of) {
      const ScenarioResult Own = play(What, Of, own(), Seed);
      CHECK(Own.m_Breaches == Breaches{});
      CHECK(Own.m_Collapses == 0);
      CHECK(Own.m_RunsInZoneOut == 0);
    });
  }
}

TEST_CASE("the same seed plays the same") {
  const Scenario &What = *findScenario("impatience");
  const Deployment &Of = deployments().front();
  const ScenarioResult First = play(What, Of, own(), Seed);
  CHECK(play(What, Of, own(), Seed).m_Total == First.m_Total);
  CHECK_FALSE(play(What, Of, own(), Seed + 1).m_Total == First.m_Total);
}

// What a fault leaves suffices for the load, so 99 in 100 are to be in time.
TEST_CASE("callers hardly notice one faulty target among enough") {
  for (const char *Name :
       {"calm", "slow-target", "grey-target", "wrong-bytes", "lost-answers"}) {
    onAll(Name, [](const Scenario &What, const Deployment &Of) {
      CHECK(inTime(play(What, Of, own(), Seed)) >= 0.99);
    });
  }
}

TEST_CASE("callers get more than from targets called in turn") {
  for (const char *Name :
       {"target-lost", "slow-target", "grey-target", "wrong-bytes",
        "lost-answers", "cold-return", "burst", "impatience", "overload"}) {
    onAll(Name, [](const Scenario &What, const Deployment &Of) {
      CHECK(inTime(play(What, Of, own(), Seed)) >
            inTime(play(What, Of, direct(), Seed)));
    });
  }
}
