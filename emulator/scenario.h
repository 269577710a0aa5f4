/// \file
/// The loads and faults that experiments play.
#ifndef DANDELIONFALL_EMULATOR_SCENARIO_H
#define DANDELIONFALL_EMULATOR_SCENARIO_H

#include "emulator/scenario_run.h"

#include <span>
#include <string_view>

namespace dandelionfall::emulator {

/// A load and what befalls the deployment meanwhile.
struct Scenario {
  const char *m_Name;
  const char *m_Description;
  /// \returns the load.
  Load (*m_Load)();
  /// Sets up what happens.
  void (*m_SetUp)(ScenarioRun &Run);
};

/// Lists all scenarios.
std::span<const Scenario> scenarios();

/// Looks a scenario up.
/// \returns it, or null if there is none of the name.
const Scenario *findScenario(std::string_view Name);

/// What a run came to.
struct ScenarioResult {
  Tally m_Total;
  Tally m_Bookings;
  Breaches m_Breaches;
  /// Least share of calls in time in any second, from 0 to 1.
  double m_WorstSecond = 1;
  std::uint64_t m_Collapses = 0;
  std::uint64_t m_RunsInZoneOut = 0;
};

/// Plays a scenario once.
ScenarioResult runScenario(const Scenario &TheScenario,
                           const Deployment &TheDeployment,
                           const Strategy &TheStrategy, std::uint64_t Seed);

} // namespace dandelionfall::emulator

#endif // DANDELIONFALL_EMULATOR_SCENARIO_H
