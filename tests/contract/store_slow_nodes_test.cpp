// How late departures and configurations are in force at nodes that are
// occupied for long by decoding each configuration.
#include "store_fleet.h"

#include <doctest/doctest.h>

using namespace dandelionfall;
using namespace dandelionfall::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Shortest time within which a leaving target must get no more requests, and a
/// configuration must be in force.
constexpr Duration Bound = seconds(2);
constexpr Duration Settle = seconds(6);

StoreFleetOptions slowDecoders(Duration DecodeTime, std::uint64_t Seed) {
  StoreFleetOptions Options;
  Options.m_Nodes = 40;
  Options.m_Staleness = milliseconds(800);
  Options.m_Seed = Seed;
  Options.m_ConfigurationBytes = 400'000;
  Options.m_BytesPerSecond = 2'500'000;
  Options.m_Machine = {0.1, 1, 160, 4100, 20};
  Options.m_DecodeTime = DecodeTime;
  return Options;
}

struct Series {
  std::vector<core::Revision> m_Departures;
  core::Revision m_LastVersion = 0;
};

/// Publishes 24 configurations, and marks a target as draining, or removes one,
/// between every fourth pair of them.
Series publishSeries(StoreFleet &Fleet, Duration Interval) {
  Series Result;
  for (std::size_t Count = 0; Count < 24; ++Count) {
    Result.m_LastVersion = Fleet.publish();
    Fleet.run(Interval / 2);
    const std::size_t Target = Fleet.nodes() - 1 - Count / 4;
    if (Count % 4 == 1)
      Result.m_Departures.push_back(Count % 8 == 1
                                        ? Fleet.drainTarget(Target)
                                        : Fleet.removeTarget(Target));
    Fleet.run(Interval / 2);
  }
  Fleet.run(Settle);
  return Result;
}

template <typename Check> void forEachSeries(Check Run) {
  for (const milliseconds DecodeTime : {milliseconds(130), milliseconds(260)}) {
    for (const milliseconds Interval :
         {milliseconds(100), milliseconds(200), milliseconds(400)}) {
      for (const std::uint64_t Seed : {1U, 2U}) {
        CAPTURE(DecodeTime.count());
        CAPTURE(Interval.count());
        CAPTURE(Seed);
        StoreFleet Fleet(slowDecoders(DecodeTime, Seed));
        Fleet.startAll();
        Run(Fleet, publishSeries(Fleet, Interval));
      }
    }
  }
}

} // namespace

TEST_CASE("a leaving target is known in time by nodes that are occupied by "
          "configurations") {
  forEachSeries([](StoreFleet &Fleet, const Series &Published) {
    for (const core::Revision Departure : Published.m_Departures)
      CHECK(Fleet.worstDepartureLag(Departure).value_or(Duration::max()) <
            Bound);
  });
}

TEST_CASE("the last of a series of configurations is in force in time at nodes "
          "that are occupied by them") {
  forEachSeries([](StoreFleet &Fleet, const Series &Published) {
    CHECK(Fleet.worstApplicationLag(Published.m_LastVersion)
              .value_or(Duration::max()) < Bound);
  });
}

TEST_CASE("a node does not give up feeds for the time for which it was "
          "occupied itself") {
  for (const std::uint64_t Seed : {1U, 2U, 3U}) {
    CAPTURE(Seed);
    StoreFleet Fleet(slowDecoders(milliseconds(1200), Seed));
    Fleet.startAll();
    Fleet.run(Settle);
    const std::size_t Before = Fleet.lostFeeds();
    Fleet.publish();
    Fleet.run(Settle);
    CHECK(Fleet.lostFeeds() == Before);
  }
}
