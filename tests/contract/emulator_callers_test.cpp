#include "contract/emulator_runs.h"

#include <doctest/doctest.h>

using namespace dandelionfall::emulator;

TEST_CASE("the same seed plays the same") {
  const Scenario &TheScenario = *findScenario("impatience");
  const Deployment &TheDeployment = deployments().front();
  const ScenarioResult First =
      runScenario(TheScenario, TheDeployment, productStrategy(), Seed);
  CHECK(runScenario(TheScenario, TheDeployment, productStrategy(), Seed)
            .m_Total == First.m_Total);
  CHECK_FALSE(
      runScenario(TheScenario, TheDeployment, productStrategy(), Seed + 1)
          .m_Total == First.m_Total);
}

// What a fault leaves suffices for the load, so 99 in 100 are to be in time.
TEST_CASE("callers hardly notice one faulty target among enough") {
  for (const char *Name :
       {"calm", "slow-target", "grey-target", "wrong-bytes", "lost-answers"}) {
    forEachDeployment(
        Name, [](const Scenario &TheScenario, const Deployment &TheDeployment) {
          CHECK(inTimeShare(cachedResult(TheScenario, TheDeployment,
                                         productStrategy())) >= 0.99);
        });
  }
}

TEST_CASE("callers get more than from targets called in turn") {
  for (const char *Name :
       {"target-lost", "slow-target", "grey-target", "wrong-bytes",
        "lost-answers", "cold-return", "burst", "impatience", "overload"}) {
    forEachDeployment(Name, [](const Scenario &TheScenario,
                               const Deployment &TheDeployment) {
      CHECK(inTimeShare(
                cachedResult(TheScenario, TheDeployment, productStrategy())) >
            inTimeShare(
                cachedResult(TheScenario, TheDeployment, directStrategy())));
    });
  }
}
