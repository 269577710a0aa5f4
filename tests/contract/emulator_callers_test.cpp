#include "contract/emulator_runs.h"

#include <doctest/doctest.h>

using namespace dandelionfall::emulator;

TEST_CASE("the same seed gives the same result") {
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

// The capacity that remains during the fault suffices for the load, so at least
// 99% of the calls must be in time.
TEST_CASE("one faulty target barely affects callers with spare capacity") {
  for (const char *Name :
       {"calm", "slow-target", "grey-target", "wrong-bytes", "lost-answers"}) {
    forEachDeployment(
        Name, [](const Scenario &TheScenario, const Deployment &TheDeployment) {
          CHECK(inTimeShare(cachedResult(TheScenario, TheDeployment,
                                         productStrategy())) >= 0.99);
        });
  }
}

TEST_CASE("more calls are in time than with direct round robin") {
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
