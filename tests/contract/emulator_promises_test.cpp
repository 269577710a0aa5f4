#include "contract/emulator_plays.h"

#include <doctest/doctest.h>

using namespace dandelionfall::emulator;

TEST_CASE("every scenario keeps every promise and collapses no target") {
  for (const Scenario &Each : scenarios()) {
    onAll(Each.m_Name, [](const Scenario &What, const Deployment &Of) {
      const ScenarioResult &Own = playOnce(What, Of, own());
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
