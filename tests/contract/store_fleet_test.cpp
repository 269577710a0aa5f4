// Nodes whose store calls may see a state that is seconds old: how late each
// node holds a change, under loss of the nodes that it follows, and what the
// fleet's calls cost.
#include "store_fleet.h"

#include <doctest/doctest.h>

#include <array>

using namespace dandelionfall;
using namespace dandelionfall::test;
using core::WatchMode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time within which a change must be in force everywhere; the shortest bound
/// for configurations, leaving targets and availability zones is 2 s.
constexpr Duration Bound = seconds(2);
/// Part of the bound within which a follower holds a change while no node
/// fails.
constexpr Duration CalmBound = Bound * 3 / 4;
constexpr Duration Settle = seconds(4);

/// A way to lose a node that others follow.
struct Loss {
  const char *m_Name;
  void (StoreFleet::*m_Apply)(std::size_t);
  /// Whether the lost node itself is bound to hold changes in time.
  bool m_Excused;
};

constexpr std::array Losses = {
    Loss{"killed", &StoreFleet::kill, true},
    Loss{"without power", &StoreFleet::losePower, true},
    Loss{"frozen", &StoreFleet::freeze, true},
    Loss{"cut from the store", &StoreFleet::cutFromStore, true},
    Loss{"cut from the nodes", &StoreFleet::cutFromNodes, false},
    Loss{"hears nothing from the store", &StoreFleet::silencePendingCalls,
         false},
};

constexpr std::array ChangesAfter = {milliseconds(0), milliseconds(20),
                                     milliseconds(300), milliseconds(650),
                                     milliseconds(1400)};

/// Applies losses to the nodes that one node follows, publishes after a delay,
/// and checks that all others hold the change in time.
void checkLosses(const StoreFleetOptions &Options, const Loss &First,
                 const Loss *Second, Duration Delay) {
  CAPTURE(First.m_Name);
  CAPTURE(std::string(Second == nullptr ? "" : Second->m_Name));
  CAPTURE(Delay.count());
  CAPTURE(Options.m_Seed);
  StoreFleet Fleet(Options);
  Fleet.startAll();
  const std::set<std::size_t> Sources =
      Fleet.sourcesOf(0).empty() ? Fleet.sourcesOf(1) : Fleet.sourcesOf(0);
  REQUIRE(Sources.size() == 2);
  std::set<std::size_t> Excused;
  const auto Apply = [&](const Loss &Applied, std::size_t Node) {
    (Fleet.*Applied.m_Apply)(Node);
    if (Applied.m_Excused)
      Excused.insert(Node);
  };
  Apply(First, *Sources.begin());
  if (Second != nullptr)
    Apply(*Second, *Sources.rbegin());
  Fleet.run(Delay);
  const core::Revision Configuration = Fleet.publish();
  const core::Revision Draining = Fleet.drainTarget(Fleet.nodes() - 1);
  Fleet.run(Settle);
  for (const core::Revision Changed : {Configuration, Draining}) {
    const auto Lag = Fleet.worstLag(Changed, Excused);
    REQUIRE(Lag.has_value());
    CHECK(*Lag < Bound);
  }
}

StoreFleetOptions staleFleet(std::uint64_t Seed) {
  StoreFleetOptions Options;
  Options.m_Staleness = seconds(Seed % 2 == 0 ? 6 : 3);
  Options.m_TrafficInterval = milliseconds(Seed % 3 == 0 ? 50 : 0);
  Options.m_Seed = Seed;
  // A machine that carries only four followers.
  if (Seed % 5 < 2)
    Options.m_Machine.m_ProcessorShare = 0.01;
  return Options;
}

} // namespace

TEST_CASE("followers hold a change in time although their calls see old "
          "states") {
  for (const int StaleSeconds : {0, 3, 6, 60}) {
    for (const int TrafficMs : {0, 50}) {
      CAPTURE(StaleSeconds);
      CAPTURE(TrafficMs);
      StoreFleetOptions Options;
      Options.m_Staleness = seconds(StaleSeconds);
      Options.m_TrafficInterval = milliseconds(TrafficMs);
      StoreFleet Fleet(Options);
      Fleet.startAll();
      CHECK(Fleet.count(WatchMode::Following) + Fleet.count(WatchMode::Fed) >=
            Options.m_Nodes / 2);
      CHECK(Fleet.count(WatchMode::Alone) == 0);
      for (int Count = 0; Count < 10; ++Count) {
        const core::Revision Changed = Fleet.publish();
        Fleet.run(milliseconds(1700));
        const auto Lag = Fleet.worstLag(Changed);
        REQUIRE(Lag.has_value());
        CHECK(*Lag < CalmBound);
      }
    }
  }
}

TEST_CASE("the loss of one followed node delays no change beyond the bound") {
  std::uint64_t Seed = 0;
  for (const Loss &Each : Losses) {
    for (const Duration Delay : ChangesAfter)
      checkLosses(staleFleet(++Seed), Each, nullptr, Delay);
  }
}

TEST_CASE("the loss of both followed nodes delays no change beyond the bound") {
  std::uint64_t Seed = 0;
  for (const Loss &First : Losses) {
    for (const Loss &Second : Losses) {
      for (const Duration Delay : ChangesAfter)
        checkLosses(staleFleet(++Seed), First, &Second, Delay);
    }
  }
}

TEST_CASE("random losses at random moments delay no change beyond the bound") {
  constexpr std::uint64_t Runs = 200;
  for (std::uint64_t Seed = 1; Seed <= Runs; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    StoreFleetOptions Options = staleFleet(Seed);
    Options.m_Nodes = 12 + Random() % 20;
    Options.m_Zones = 1 + Random() % 4;
    StoreFleet Fleet(Options);
    Fleet.startAll();
    std::set<std::size_t> Excused;
    std::vector<core::Revision> Changes;
    for (int Step = 0; Step < 6; ++Step) {
      const std::size_t Node = Random() % Options.m_Nodes;
      const Loss &Applied = Losses[Random() % Losses.size()];
      if (Excused.contains(Node) || Excused.size() > Options.m_Nodes / 3)
        continue;
      (Fleet.*Applied.m_Apply)(Node);
      // A node that lost either the store or the other nodes is not bound once
      // it may lose the other one too.
      Excused.insert(Node);
      Fleet.run(milliseconds(Random() % 900));
      Changes.push_back(Fleet.publish());
      Fleet.run(milliseconds(Random() % 900));
    }
    Fleet.run(Settle);
    for (const core::Revision Changed : Changes) {
      const auto Lag = Fleet.worstLag(Changed, Excused);
      REQUIRE(Lag.has_value());
      CHECK(*Lag < Bound);
    }
  }
}

TEST_CASE("a follower that reaches no other node reads the store itself") {
  for (const Duration Delay : ChangesAfter) {
    CAPTURE(Delay.count());
    StoreFleetOptions Options;
    Options.m_Staleness = seconds(6);
    StoreFleet Fleet(Options);
    Fleet.startAll();
    std::size_t Follower = 0;
    while (Fleet.replica(Follower).mode() != WatchMode::Fed)
      ++Follower;
    Fleet.cutFromNodes(Follower);
    Fleet.run(Delay);
    const core::Revision Changed = Fleet.publish();
    Fleet.run(Settle);
    const auto Lag = Fleet.lag(Follower, Changed);
    REQUIRE(Lag.has_value());
    CHECK(*Lag < Bound);
  }
}

TEST_CASE("half of the nodes cut from the store follow the other half") {
  for (const bool TrafficFlows : {false, true}) {
    CAPTURE(TrafficFlows);
    StoreFleetOptions Options;
    Options.m_Nodes = 24;
    Options.m_Staleness = seconds(6);
    Options.m_TrafficInterval = milliseconds(TrafficFlows ? 50 : 0);
    StoreFleet Fleet(Options);
    Fleet.startAll();
    std::set<std::size_t> Cut;
    for (std::size_t Node = 0; Node < Options.m_Nodes; Node += 2) {
      Fleet.cutFromStore(Node);
      Cut.insert(Node);
    }
    for (int Count = 0; Count < 4; ++Count) {
      const core::Revision Changed = Fleet.publish();
      Fleet.run(seconds(4));
      const auto Lag = Fleet.worstLag(Changed, Cut);
      REQUIRE(Lag.has_value());
      CHECK(*Lag < Bound);
      CHECK(Fleet.worstLag(Changed).has_value());
    }
  }
}

TEST_CASE("a fleet that starts at once is ready at once") {
  StoreFleetOptions Options;
  Options.m_Nodes = 60;
  Options.m_Staleness = seconds(6);
  StoreFleet Fleet(Options);
  Fleet.startAll();
  for (std::size_t Node = 0; Node < Options.m_Nodes; ++Node)
    Fleet.kill(Node);
  Fleet.publish();
  for (std::size_t Node = 0; Node < Options.m_Nodes; ++Node)
    Fleet.start(Node);
  const core::Revision Newest = Fleet.publish();
  Fleet.run(milliseconds(100));
  for (std::size_t Node = 0; Node < Options.m_Nodes; ++Node)
    CHECK(Fleet.isReady(Node));
  Fleet.run(Settle);
  const auto Lag = Fleet.worstLag(Newest);
  REQUIRE(Lag.has_value());
  CHECK(*Lag < CalmBound);
}

TEST_CASE("a frozen fleet holds a change in time after it wakes") {
  StoreFleetOptions Options;
  Options.m_Staleness = seconds(6);
  StoreFleet Fleet(Options);
  Fleet.startAll();
  for (std::size_t Node = 0; Node < Options.m_Nodes; Node += 3)
    Fleet.freeze(Node);
  Fleet.run(seconds(3));
  for (std::size_t Node = 0; Node < Options.m_Nodes; Node += 3)
    Fleet.thaw(Node);
  const core::Revision Changed = Fleet.publish();
  Fleet.run(Settle);
  const auto Lag = Fleet.worstLag(Changed);
  REQUIRE(Lag.has_value());
  CHECK(*Lag < Bound);
}

TEST_CASE("a node in a planned stop hands its followers over") {
  StoreFleetOptions Options;
  Options.m_Staleness = seconds(6);
  StoreFleet Fleet(Options);
  Fleet.startAll();
  for (std::size_t Node = 0; Node < Options.m_Nodes; ++Node) {
    if (Fleet.replica(Node).followers() == 0)
      continue;
    Fleet.drain(Node);
    CHECK(Fleet.replica(Node).followers() == 0);
    Fleet.run(milliseconds(200));
    CHECK(Fleet.count(WatchMode::Alone) <= 1);
    CHECK(Fleet.replica(Node).followers() == 0);
    break;
  }
  const core::Revision Changed = Fleet.publish();
  Fleet.run(Settle);
  const auto Lag = Fleet.worstLag(Changed);
  REQUIRE(Lag.has_value());
  CHECK(*Lag < CalmBound);
}

TEST_CASE("the fleet's calls stay below a small share of what watching by "
          "every node costs") {
  // A watch of 1.5 s at each of 195 nodes makes 130 calls a second.
  constexpr double EveryNodeWatches = 195 / 1.5;
  constexpr double Ceiling = EveryNodeWatches / 5;
  for (const double ProcessorShare : {0.1, 0.5}) {
    StoreFleetOptions Options;
    Options.m_Nodes = 195;
    Options.m_Zones = 5;
    Options.m_Staleness = seconds(1);
    Options.m_Machine = {ProcessorShare, 1, 160, 4100, 20};
    StoreFleet Fleet(Options);
    Fleet.startAll();
    CHECK(Fleet.count(WatchMode::Alone) == 0);
    CHECK(Fleet.count(WatchMode::Publishing) <= 20);
    const double Before = Fleet.pricedCalls();
    constexpr seconds Length{30};
    Fleet.run(Length);
    const double PerSecond =
        (Fleet.pricedCalls() - Before) / static_cast<double>(Length.count());
    MESSAGE("calls a second: ", PerSecond,
            ", publishers: ", Fleet.count(WatchMode::Publishing));
    CHECK(PerSecond < Ceiling);
    for (std::size_t Node = 0; Node < Options.m_Nodes; ++Node)
      CHECK(Fleet.replica(Node).followers() <=
            core::maxFollowers(Options.m_Machine));
  }
}

TEST_CASE("changes in quick succession delay none of them beyond the bound") {
  for (const int IntervalMs : {50, 150, 300, 400, 500, 700, 900}) {
    for (const std::uint64_t Seed : {1U, 2U, 3U, 4U, 5U, 6U}) {
      CAPTURE(IntervalMs);
      CAPTURE(Seed);
      StoreFleet Fleet(staleFleet(Seed));
      Fleet.startAll();
      std::vector<core::Revision> Changes;
      for (int Elapsed = 0; Elapsed < 9000; Elapsed += IntervalMs) {
        Changes.push_back(Fleet.publish());
        Fleet.run(milliseconds(IntervalMs));
      }
      Fleet.run(Settle);
      for (const core::Revision Changed : Changes) {
        const auto Lag = Fleet.worstLag(Changed);
        REQUIRE(Lag.has_value());
        CHECK(*Lag < CalmBound);
      }
    }
  }
}

TEST_CASE("changes in quick succession beside restarts of nodes delay none of "
          "them beyond the bound") {
  constexpr std::uint64_t Runs = 60;
  for (std::uint64_t Seed = 1; Seed <= Runs; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    StoreFleetOptions Options = staleFleet(Seed);
    Options.m_Nodes = 30;
    StoreFleet Fleet(Options);
    Fleet.startAll();
    std::vector<core::Revision> Changes;
    std::set<std::size_t> Restarted;
    for (int Step = 0; Step < 24; ++Step) {
      const std::size_t Node = Random() % Options.m_Nodes;
      const bool Restarts = Restarted.size() < 10 || Restarted.contains(Node);
      if (Restarts) {
        Restarted.insert(Node);
        Fleet.kill(Node);
      }
      Changes.push_back(Fleet.publish());
      Fleet.run(milliseconds(100 + Random() % 300));
      if (Restarts)
        Fleet.start(Node);
      Changes.push_back(Fleet.publish());
      Fleet.run(milliseconds(Random() % 400));
    }
    Fleet.run(Settle);
    for (const core::Revision Changed : Changes) {
      const auto Lag = Fleet.worstLag(Changed, Restarted);
      REQUIRE(Lag.has_value());
      CHECK(*Lag < Bound);
    }
  }
}
