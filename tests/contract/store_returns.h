/// \file
/// Ways in which a restored store returns to a fleet.
#ifndef DANDELIONFALL_TESTS_CONTRACT_STORE_RETURNS_H
#define DANDELIONFALL_TESTS_CONTRACT_STORE_RETURNS_H

#include "store_fleet.h"

#include <array>
#include <chrono>

namespace dandelionfall::test {

/// A copy, and how the store behaves.
struct Return {
  const char *m_Name;
  RestoredCopy m_Copy;
  bool m_StatesEra;
};

inline RestoredCopy copyOf(Duration Age, WatchBeyond Beyond,
                           bool KeepsHistory) {
  RestoredCopy Result;
  Result.m_Age = Age;
  Result.m_Beyond = Beyond;
  Result.m_KeepsHistory = KeepsHistory;
  return Result;
}

inline RestoredCopy countedAnew(WatchBeyond Beyond) {
  RestoredCopy Result;
  Result.m_CountsAnew = true;
  Result.m_Beyond = Beyond;
  return Result;
}

inline const std::array Returns = {
    Return{"older, 410",
           copyOf(std::chrono::seconds(3), WatchBeyond::Compacted, true),
           false},
    Return{"older, waits",
           copyOf(std::chrono::seconds(3), WatchBeyond::Waits, true), false},
    Return{"older, nothing",
           copyOf(std::chrono::seconds(3), WatchBeyond::Nothing, true), false},
    Return{"older, no history",
           copyOf(std::chrono::seconds(3), WatchBeyond::Compacted, false),
           false},
    Return{"older, era",
           copyOf(std::chrono::seconds(3), WatchBeyond::Compacted, true), true},
    Return{"older, waits, era",
           copyOf(std::chrono::seconds(3), WatchBeyond::Waits, true), true},
    Return{"anew, 410", countedAnew(WatchBeyond::Compacted), false},
    Return{"anew, waits", countedAnew(WatchBeyond::Waits), false},
    Return{"anew, nothing", countedAnew(WatchBeyond::Nothing), false},
    Return{"anew, era", countedAnew(WatchBeyond::Compacted), true},
};

inline StoreFleetOptions fleetFor(const Return &Played, std::uint64_t Seed) {
  StoreFleetOptions Options;
  Options.m_Seed = Seed;
  Options.m_StatesEra = Played.m_StatesEra;
  Options.m_Staleness = std::chrono::milliseconds(Seed % 2 == 0 ? 0 : 800);
  Options.m_TrafficInterval = std::chrono::milliseconds(Seed % 3 == 0 ? 50 : 0);
  return Options;
}

} // namespace dandelionfall::test

#endif // DANDELIONFALL_TESTS_CONTRACT_STORE_RETURNS_H
