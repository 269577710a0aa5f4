// A store that comes back from an older copy while nodes rely on their feeds,
// and has passed the revision that they know when these end.
#include "store_fleet.h"

#include <doctest/doctest.h>

using namespace dandelionfall;
using namespace dandelionfall::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time within which a change must be in force at all nodes in touch.
constexpr Duration Bound = seconds(2);

/// Plays the loss of the last version while the feeds still count as confirmed.
/// \param ChangeAfter time from the return of the store to the next change.
void playLoss(StoreFleetOptions Options, Duration Away, Duration ChangeAfter) {
  StoreFleet Fleet(Options);
  Fleet.startAll();
  for (int Count = 0; Count < 4; ++Count) {
    Fleet.publish();
    Fleet.run(milliseconds(150));
  }
  RestoredCopy Copy;
  Copy.m_LostRevisions = 1;
  Fleet.restoreStore(Copy, Away);
  Fleet.run(Away + ChangeAfter);
  Fleet.publish();
  Fleet.run(seconds(8));
  const auto Lag = Fleet.worstVersionLag(Fleet.newestVersion());
  REQUIRE(Lag.has_value());
  CHECK(*Lag < Bound);
}

void playLosses(StoreFleetOptions Options) {
  for (const int ChangeMs : {200, 400, 600}) {
    for (int AwayMs = 800; AwayMs <= 1600; AwayMs += 100) {
      for (Options.m_Seed = 1; Options.m_Seed <= 8; ++Options.m_Seed) {
        CAPTURE(ChangeMs);
        CAPTURE(AwayMs);
        CAPTURE(Options.m_Seed);
        playLoss(Options, milliseconds(AwayMs), milliseconds(ChangeMs));
      }
    }
  }
}

} // namespace

TEST_CASE("a version under a revision that is handed out again is in force in "
          "time at nodes that made no call meanwhile") {
  StoreFleetOptions Options;
  Options.m_Nodes = 3;
  Options.m_Zones = 1;
  SUBCASE("without traffic") {}
  SUBCASE("with traffic") { Options.m_TrafficInterval = milliseconds(50); }
  SUBCASE("in three zones") { Options.m_Zones = 3; }
  SUBCASE("large configurations") { Options.m_ConfigurationBytes = 4000; }
  SUBCASE("large configurations, with traffic") {
    Options.m_ConfigurationBytes = 4000;
    Options.m_TrafficInterval = milliseconds(50);
  }
  playLosses(Options);
}
