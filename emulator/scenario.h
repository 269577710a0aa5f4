/// \file
/// Scenarios: loads and faults for experiments.
#ifndef DANDELIONFALL_EMULATOR_SCENARIO_H
#define DANDELIONFALL_EMULATOR_SCENARIO_H

#include "emulator/scenario_run.h"

#include <span>
#include <string_view>

namespace dandelionfall::emulator {

/// A load, and the faults and changes during it.
struct Scenario {
  const char *m_Name;
  const char *m_Description;
  /// \returns the load.
  Load (*m_Load)();
  /// Schedules the faults and changes of a run.
  void (*m_SetUp)(ScenarioRun &Run);
};

/// Lists all scenarios.
std::span<const Scenario> scenarios();

/// Finds a scenario by name.
/// \returns the scenario, or null if no scenario has the name.
const Scenario *findScenario(std::string_view Name);

/// Result of a run.
struct ScenarioResult {
  Tally m_Total;
  Tally m_Bookings;
  Breaches m_Breaches;
  /// Lowest share of calls in time in any second, from 0 to 1.
  double m_WorstSecond = 1;
  std::uint64_t m_Collapses = 0;
  std::uint64_t m_RunsInZoneOut = 0;
};

/// Runs a scenario once.
ScenarioResult runScenario(const Scenario &TheScenario,
                           const Deployment &TheDeployment,
                           const Strategy &TheStrategy, std::uint64_t Seed);

} // namespace dandelionfall::emulator

#endif // DANDELIONFALL_EMULATOR_SCENARIO_H
