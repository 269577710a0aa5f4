// Nodes that know neither the earlier history of a restored store nor a node to
// follow.
#include "store_fleet.h"

#include <doctest/doctest.h>

using namespace dandelionfall;
using namespace dandelionfall::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration Away = milliseconds(800);
constexpr Duration Settle = seconds(8);

} // namespace

TEST_CASE("a node started after a target left does not use it again from an "
          "older copy") {
  for (const bool StatesEra : {false, true}) {
    for (const bool IsRemoved : {false, true}) {
      CAPTURE(StatesEra);
      CAPTURE(IsRemoved);
      StoreFleetOptions Options;
      Options.m_StatesEra = StatesEra;
      StoreFleet Fleet(Options);
      Fleet.startAll();
      Fleet.publish();
      const std::size_t Leaving = Fleet.nodes() - 1;
      if (IsRemoved)
        Fleet.removeTarget(Leaving);
      else
        Fleet.drainTarget(Leaving);
      Fleet.run(milliseconds(500));
      Fleet.kill(1);
      Fleet.start(1);
      Fleet.run(milliseconds(500));
      RestoredCopy Copy;
      Copy.m_Age = seconds(2);
      Fleet.restoreStore(Copy, Away);
      Fleet.run(Settle);
      CHECK(Fleet.violations().empty());
      for (const std::string &Each : Fleet.usedAfterStart())
        FAIL_CHECK(Each);
    }
  }
}

TEST_CASE("a node cut from the store learns what its followers hold") {
  for (const bool IsRestored : {false, true}) {
    CAPTURE(IsRestored);
    StoreFleetOptions Options;
    Options.m_Nodes = 12;
    Options.m_Zones = 1;
    StoreFleet Fleet(Options);
    Fleet.startAll();
    std::size_t First = 0;
    while (!Fleet.sourcesOf(First).empty())
      ++First;
    Fleet.cutFromStore(First);
    Fleet.run(seconds(2));
    if (IsRestored)
      Fleet.restoreStore(RestoredCopy{}, Away);
    Fleet.run(2 * Away);
    Fleet.publish();
    Fleet.run(Settle);
    CHECK(Fleet.worstVersionLag(Fleet.newestVersion()).has_value());
  }
}
