/// \file
/// Runs of the emulator's scenarios for tests.
#ifndef DANDELIONFALL_TESTS_CONTRACT_EMULATOR_RUNS_H
#define DANDELIONFALL_TESTS_CONTRACT_EMULATOR_RUNS_H

#include "emulator/scenario.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <tuple>

namespace dandelionfall::emulator {

/// Seed of all runs.
constexpr std::uint64_t Seed = 1;

/// The product's own strategy.
inline const Strategy &productStrategy() { return strategies().front(); }

/// The baseline without nodes.
inline const Strategy &directStrategy() { return strategies().back(); }

/// Calls a check with a scenario and each deployment.
template <typename Check> void forEachDeployment(const char *Name, Check Do) {
  const Scenario *TheScenario = findScenario(Name);
  REQUIRE(TheScenario != nullptr);
  for (const Deployment &Each : deployments()) {
    CAPTURE(Name);
    CAPTURE(std::string(Each.m_Name));
    Do(*TheScenario, Each);
  }
}

/// Runs a scenario, or returns the result of an earlier run with the same
/// arguments.
inline const ScenarioResult &cachedResult(const Scenario &TheScenario,
                                          const Deployment &TheDeployment,
                                          const Strategy &TheStrategy) {
  static std::map<std::tuple<const void *, const void *, const void *>,
                  ScenarioResult>
      Results;
  const auto [Found, IsNew] =
      Results.try_emplace({&TheScenario, &TheDeployment, &TheStrategy});
  if (IsNew)
    Found->second = runScenario(TheScenario, TheDeployment, TheStrategy, Seed);
  return Found->second;
}

/// \returns the share of the callers that were answered in time, from 0 to 1.
inline double inTimeShare(const ScenarioResult &Result) {
  return Result.m_Total.inTimeShare();
}

/// Checks that no scenario violates a guarantee, collapses a target or uses an
/// availability zone that is out.
inline void checkGuarantees(const Deployment &TheDeployment) {
  for (const Scenario &Each : scenarios()) {
    CAPTURE(std::string(Each.m_Name));
    const ScenarioResult Result =
        runScenario(Each, TheDeployment, productStrategy(), Seed);
    CHECK(Result.m_Breaches == Breaches{});
    CHECK(Result.m_Collapses == 0);
    CHECK(Result.m_RunsInZoneOut == 0);
  }
}

} // namespace dandelionfall::emulator

#endif // DANDELIONFALL_TESTS_CONTRACT_EMULATOR_RUNS_H
