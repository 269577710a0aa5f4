// How late each node knows that a target leaves while large configurations
// follow one another and machines receive them slowly.
#include "store_fleet.h"

#include <doctest/doctest.h>

using namespace dandelionfall;
using namespace dandelionfall::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Shortest time within which a leaving target must get no more requests.
constexpr Duration Bound = seconds(2);
constexpr Duration Settle = seconds(6);

/// Machines behind 20 Mbit/s, and a configuration of some thousand routes.
StoreFleetOptions smallMachines(Duration Staleness, std::uint64_t Seed) {
  StoreFleetOptions Options;
  Options.m_Nodes = 40;
  Options.m_Staleness = Staleness;
  Options.m_Seed = Seed;
  Options.m_ConfigurationBytes = 400'000;
  Options.m_BytesPerSecond = 2'500'000;
  Options.m_Machine = {0.1, 1, 160, 4100, 20};
  return Options;
}

} // namespace

TEST_CASE("a leaving target is known in time while large configurations "
          "follow one another") {
  for (const milliseconds Staleness :
       {milliseconds(0), milliseconds(800), milliseconds(3000)}) {
    for (const milliseconds Interval :
         {milliseconds(100), milliseconds(300), milliseconds(700)}) {
      for (const std::uint64_t Seed : {1U, 2U, 3U}) {
        CAPTURE(Staleness.count());
        CAPTURE(Interval.count());
        CAPTURE(Seed);
        StoreFleet Fleet(smallMachines(Staleness, Seed));
        Fleet.startAll();
        std::vector<core::Revision> Departures;
        for (std::size_t Count = 0; Count < 30; ++Count) {
          Fleet.publish();
          Fleet.run(Interval / 2);
          const std::size_t Target = Fleet.nodes() - 1 - Count / 4;
          if (Count % 4 == 1)
            Departures.push_back(Count % 8 == 1 ? Fleet.drainTarget(Target)
                                                : Fleet.removeTarget(Target));
          Fleet.run(Interval / 2);
        }
        Fleet.run(Settle);
        for (const core::Revision Departure : Departures) {
          const auto Lag = Fleet.worstDepartureLag(Departure);
          CHECK(Lag.value_or(Duration::max()) < Bound);
        }
      }
    }
  }
}

TEST_CASE("a large configuration is held in time while others follow it") {
  for (const milliseconds Staleness : {milliseconds(800), milliseconds(6000)}) {
    for (const milliseconds Interval :
         {milliseconds(300), milliseconds(700), milliseconds(1500)}) {
      for (const std::uint64_t Seed : {1U, 2U}) {
        CAPTURE(Staleness.count());
        CAPTURE(Interval.count());
        CAPTURE(Seed);
        StoreFleet Fleet(smallMachines(Staleness, Seed));
        Fleet.startAll();
        std::vector<core::Revision> Versions;
        for (int Count = 0; Count < 12; ++Count) {
          Versions.push_back(Fleet.publish());
          Fleet.run(Interval);
        }
        Fleet.run(Settle);
        for (const core::Revision Version : Versions)
          CHECK(Fleet.worstLag(Version).value_or(Duration::max()) < Bound);
      }
    }
  }
}

TEST_CASE("departures and versions are known in time while all nodes need a "
          "configuration with many more routes") {
  StoreFleetOptions Options = smallMachines(milliseconds(800), 1);
  Options.m_Nodes = 300;
  Options.m_ConfigurationBytes = 100'000;
  // 1,000 Mbit/s of base64.
  Options.m_StoreBytesPerSecond = 94'000'000;
  StoreFleet Fleet(Options);
  Fleet.startAll();
  Fleet.run(Settle);
  std::vector<core::Revision> Versions = {Fleet.publishMoreRoutes(4000)};
  std::vector<core::Revision> Departures;
  for (std::size_t Step = 0; Step < 5; ++Step) {
    Departures.push_back(Fleet.drainTarget(Fleet.nodes() - 1 - Step));
    Fleet.run(milliseconds(400));
    if (Step % 2 == 1)
      Versions.push_back(Fleet.publish());
  }
  Fleet.run(Settle);
  for (const core::Revision Departure : Departures)
    CHECK(Fleet.worstDepartureLag(Departure).value_or(Duration::max()) < Bound);
  for (const core::Revision Version : Versions)
    CHECK(Fleet.worstLag(Version).value_or(Duration::max()) < Bound);
}

TEST_CASE("followers receive a changed configuration without asking the "
          "store") {
  for (const std::uint64_t Seed : {1U, 2U}) {
    CAPTURE(Seed);
    StoreFleetOptions Options = smallMachines(milliseconds(800), Seed);
    Options.m_ConfigurationBytes = 100'000;
    Options.m_Nodes = 195;
    Options.m_Zones = 3;
    StoreFleet Fleet(Options);
    Fleet.startAll();
    Fleet.run(Settle);
    const std::size_t Before = Fleet.catchUps();
    for (int Count = 0; Count < 3; ++Count) {
      Fleet.publish();
      Fleet.run(seconds(2));
    }
    CHECK(Fleet.catchUps() == Before);
  }
}

TEST_CASE("a removed target is left in time by nodes whose own calls to the "
          "store fail") {
  for (const std::uint64_t Seed : {1U, 2U, 3U, 4U}) {
    for (const Duration Outage :
         {milliseconds(100), milliseconds(1700), milliseconds(4000)}) {
      CAPTURE(Seed);
      CAPTURE(Outage.count());
      StoreFleet Fleet(smallMachines(milliseconds(800), Seed));
      Fleet.startAll();
      for (std::size_t Node = 0; Node < Fleet.nodes(); Node += 3)
        Fleet.cutFromStore(Node);
      Fleet.run(Outage);
      const core::Revision Removed = Fleet.removeTarget(Fleet.nodes() - 1);
      Fleet.run(milliseconds(300));
      for (std::size_t Node = 0; Node < Fleet.nodes(); Node += 3)
        Fleet.reconnectToStore(Node);
      Fleet.run(Settle);
      CHECK(Fleet.worstDepartureLag(Removed).value_or(Duration::max()) < Bound);
    }
  }
}

TEST_CASE("an entry that lapsed while no node reached the store is kept until "
          "it can be written again") {
  for (const std::uint64_t Seed : {1U, 2U, 3U, 4U}) {
    CAPTURE(Seed);
    StoreFleet Fleet(smallMachines(milliseconds(800), Seed));
    Fleet.startAll();
    for (std::size_t Node = 0; Node < Fleet.nodes(); ++Node)
      Fleet.cutFromStore(Node);
    Fleet.run(seconds(5));
    const std::size_t Back = Fleet.nodes() - 1;
    const std::size_t Gone = Fleet.nodes() - 2;
    Fleet.removeTarget(Back);
    Fleet.removeTarget(Gone);
    for (std::size_t Node = 0; Node < Fleet.nodes(); ++Node)
      Fleet.reconnectToStore(Node);
    for (int Step = 0; Step < 15; ++Step) {
      for (std::size_t Node = 0; Node < Fleet.nodes(); ++Node) {
        CHECK(Fleet.usesTarget(Node, Back));
        CHECK(Fleet.usesTarget(Node, Gone));
      }
      Fleet.run(milliseconds(100));
    }
    Fleet.listTarget(Back);
    Fleet.run(Settle);
    for (std::size_t Node = 0; Node < Fleet.nodes(); ++Node) {
      CHECK(Fleet.usesTarget(Node, Back));
      CHECK_FALSE(Fleet.usesTarget(Node, Gone));
    }
  }
}
