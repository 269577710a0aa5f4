#include "emulator/bar_chart.h"
#include "emulator/scenario.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>, scenarios, {},
          "scenarios to run; all if none is given");
ABSL_FLAG(std::vector<std::string>, strategies, {},
          "strategies to compare; all if none is given");
ABSL_FLAG(std::uint64_t, first_seed, 1, "first seed");
ABSL_FLAG(std::uint64_t, seeds, 1, "number of seeds per scenario");
ABSL_FLAG(std::string, plot, "",
          "output file for an SVG chart of the shares in time");

namespace {

using namespace dandelionfall::emulator;

constexpr double Percent = 100;

/// Results of a scenario over all seeds and deployments.
struct Row {
  ScenarioResult m_Sum;
  double m_WorstSecond = 1;
};

void add(Row &To, const ScenarioResult &One) {
  To.m_Sum.m_Total.add(One.m_Total);
  To.m_Sum.m_Bookings.add(One.m_Bookings);
  for (const auto Member : {&Breaches::m_RanTwice, &Breaches::m_FalseNotRun,
                            &Breaches::m_WrongResponse})
    To.m_Sum.m_Breaches.*Member += One.m_Breaches.*Member;
  To.m_Sum.m_Collapses += One.m_Collapses;
  To.m_Sum.m_RunsInZoneOut += One.m_RunsInZoneOut;
  To.m_WorstSecond = std::min(To.m_WorstSecond, One.m_WorstSecond);
}

void print(const Scenario &TheScenario, const Strategy &TheStrategy,
           const Row &TheRow) {
  const Tally &All = TheRow.m_Sum.m_Total;
  const auto Share = [&All](std::uint64_t Part) {
    return All.m_Calls == 0 ? 0.0
                            : Percent * static_cast<double>(Part) /
                                  static_cast<double>(All.m_Calls);
  };
  std::printf(
      "%-13s %-19s %8llu %8.2f %8.2f %8.2f %8.2f %8.2f %8.2f %9.2f %8llu "
      "%8llu %8llu\n",
      TheScenario.m_Name, TheStrategy.m_Name,
      static_cast<unsigned long long>(All.m_Calls), Share(All.m_InTime),
      Share(All.m_Late), Share(All.m_Refused), Share(All.m_Failed),
      Share(All.m_Disconnected),
      Percent * TheRow.m_Sum.m_Bookings.inTimeShare(),
      Percent * TheRow.m_WorstSecond,
      static_cast<unsigned long long>(TheRow.m_Sum.m_Breaches.total()),
      static_cast<unsigned long long>(TheRow.m_Sum.m_Collapses),
      static_cast<unsigned long long>(TheRow.m_Sum.m_RunsInZoneOut));
}

/// Selects the items with the given names, or all items if no name is given.
/// \returns pointers into the list; empty if a name is unknown.
template <typename Item>
std::vector<const Item *> selectByName(std::span<const Item> Items,
                                       const std::vector<std::string> &Names,
                                       const char *Flag) {
  std::vector<const Item *> Selected;
  for (const std::string &Name : Names) {
    const auto Found =
        std::find_if(Items.begin(), Items.end(),
                     [&Name](const Item &Each) { return Each.m_Name == Name; });
    if (Found == Items.end()) {
      std::cerr << "unknown --" << Flag << "=" << Name << "; use any of:";
      for (const Item &Each : Items)
        std::cerr << " " << Each.m_Name;
      std::cerr << "\n";
      return {};
    }
    Selected.push_back(&*Found);
  }
  if (Names.empty()) {
    for (const Item &Each : Items)
      Selected.push_back(&Each);
  }
  return Selected;
}

Row runAllSeeds(const Scenario &TheScenario, const Strategy &TheStrategy) {
  Row Sum;
  const std::uint64_t First = absl::GetFlag(FLAGS_first_seed);
  for (std::uint64_t Seed = First; Seed < First + absl::GetFlag(FLAGS_seeds);
       ++Seed) {
    for (const Deployment &Each : deployments())
      add(Sum, runScenario(TheScenario, Each, TheStrategy, Seed));
  }
  return Sum;
}

bool writePlot(const std::string &Path, const std::string &Picture) {
  std::ofstream File(Path);
  File << Picture;
  File.close();
  if (File)
    return true;
  std::cerr << "cannot write --plot=" << Path
            << "; specify a file in a writable directory\n";
  return false;
}

} // namespace

int main(int Count, char **Arguments) {
  absl::SetProgramUsageMessage(
      "Runs loads and faults on emulated deployments in virtual time and "
      "compares strategies by the outcomes of calls. Shares are in percent of "
      "the calls; 'worst_s' is the lowest share in time in any second.");
  absl::ParseCommandLine(Count, Arguments);
  const auto Scenarios =
      selectByName(scenarios(), absl::GetFlag(FLAGS_scenarios), "scenarios");
  const auto Strategies =
      selectByName(strategies(), absl::GetFlag(FLAGS_strategies), "strategies");
  if (Scenarios.empty() || Strategies.empty())
    return 2;
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::printf("%-13s %-19s %8s %8s %8s %8s %8s %8s %8s %9s %8s %8s %8s\n",
              "scenario", "strategy", "calls", "in_time", "late", "refused",
              "failed", "left", "bookings", "worst_s", "breaches", "collapse",
              "zone_out");
  std::vector<BarGroup> Groups;
  std::uint64_t BreachesWithNodes = 0;
  for (const Scenario *TheScenario : Scenarios) {
    BarGroup Group{TheScenario->m_Name, {}};
    for (const Strategy *TheStrategy : Strategies) {
      const Row TheRow = runAllSeeds(*TheScenario, *TheStrategy);
      print(*TheScenario, *TheStrategy, TheRow);
      Group.m_Values.push_back(TheRow.m_Sum.m_Total.inTimeShare());
      if (!TheStrategy->m_Direct)
        BreachesWithNodes += TheRow.m_Sum.m_Breaches.total();
    }
    Groups.push_back(std::move(Group));
  }
  std::vector<std::string> Series;
  Series.reserve(Strategies.size());
  for (const Strategy *TheStrategy : Strategies)
    Series.emplace_back(TheStrategy->m_Name);
  const std::string Path = absl::GetFlag(FLAGS_plot);
  if (!Path.empty() &&
      !writePlot(Path, drawBarChart("Share of calls answered in time", Series,
                                    Groups)))
    return 1;
  return BreachesWithNodes == 0 ? 0 : 1;
}
