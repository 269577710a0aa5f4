/// \file
/// Plays of the emulator's scenarios for tests.
#ifndef DANDELIONFALL_TESTS_CONTRACT_EMULATOR_PLAYS_H
#define DANDELIONFALL_TESTS_CONTRACT_EMULATOR_PLAYS_H

#include "emulator/scenario.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <tuple>

namespace dandelionfall::emulator {

/// Seed of all plays.
constexpr std::uint64_t Seed = 1;

/// The strategy of the product.
inline const Strategy &own() { return strategies().front(); }

/// The baseline without nodes.
inline const Strategy &direct() { return strategies().back(); }

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

/// Plays a scenario, or takes the result of an earlier play of the same seed.
inline const ScenarioResult &
playOnce(const Scenario &What, const Deployment &Of, const Strategy &How) {
  static std::map<std::tuple<const void *, const void *, const void *>,
                  ScenarioResult>
      Played;
  const auto [Found, Fresh] = Played.try_emplace({&What, &Of, &How});
  if (Fresh)
    Found->second = play(What, Of, How, Seed);
  return Found->second;
}

/// Share of the callers that were answered in time.
inline double inTime(const ScenarioResult &Of) {
  return Of.m_Total.inTimeShare();
}

/// Checks that no scenario breaks a promise, collapses a target or uses an
/// availability zone that is out.
inline void checkPromises(const Deployment &Of) {
  for (const Scenario &Each : scenarios()) {
    CAPTURE(std::string(Each.m_Name));
    const ScenarioResult Own = play(Each, Of, own(), Seed);
    CHECK(Own.m_Breaches == Breaches{});
    CHECK(Own.m_Collapses == 0);
    CHECK(Own.m_RunsInZoneOut == 0);
  }
}

} // namespace dandelionfall::emulator

#endif // DANDELIONFALL_TESTS_CONTRACT_EMULATOR_PLAYS_H
