#include "contract/emulator_plays.h"

#include <doctest/doctest.h>

using namespace dandelionfall::emulator;

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
      CHECK(inTime(playOnce(What, Of, own())) >= 0.99);
    });
  }
}

TEST_CASE("callers get more than from targets called in turn") {
  for (const char *Name :
       {"target-lost", "slow-target", "grey-target", "wrong-bytes",
        "lost-answers", "cold-return", "burst", "impatience", "overload"}) {
    onAll(Name, [](const Scenario &What, const Deployment &Of) {
      CHECK(inTime(playOnce(What, Of, own())) >
            inTime(playOnce(What, Of, direct())));
    });
  }
}
