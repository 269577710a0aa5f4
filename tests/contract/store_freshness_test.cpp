// Proofs that a configuration is the newest one: never given by a node once a
// newer one is acknowledged, and young in ordinary times.
#include "store_fleet.h"
#include "store_returns.h"

#include <doctest/doctest.h>

#include <array>

using namespace dandelionfall;
using namespace dandelionfall::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Age up to which keys are accepted where a bound is set.
constexpr Duration MaxProofAge = seconds(5);
/// Age that no proof exceeds while nothing fails.
constexpr Duration CalmAge = seconds(3);

StoreFleetOptions provingFleet(std::uint64_t Seed) {
  StoreFleetOptions Options;
  Options.m_Seed = Seed;
  Options.m_ProvesFreshness = true;
  Options.m_Staleness = milliseconds(Seed % 2 == 0 ? 0 : 2000);
  Options.m_TrafficInterval = milliseconds(Seed % 3 == 0 ? 50 : 0);
  if (Seed % 4 < 2) {
    Options.m_ConfigurationBytes = 40'000;
    Options.m_DecodeTime = milliseconds(Seed % 4 == 0 ? 20 : 400);
  }
  // A machine that carries only four followers.
  if (Seed % 5 < 2)
    Options.m_Machine.m_ProcessorShare = 0.01;
  return Options;
}

void slowAll(StoreFleet &Fleet, Duration Longer) {
  for (std::size_t Node = 0; Node < Fleet.nodes(); ++Node)
    Fleet.slowReplies(Node, Longer);
}

/// \returns the highest age of a proof in a time, sampled.
Duration worstAge(StoreFleet &Fleet, Duration Length, Duration PublishEach) {
  constexpr Duration Sample = milliseconds(50);
  Duration Worst{0};
  Duration SincePublished{0};
  for (Duration Elapsed{0}; Elapsed < Length; Elapsed += Sample) {
    SincePublished += Sample;
    if (PublishEach > Duration{0} && SincePublished >= PublishEach) {
      Fleet.publish();
      SincePublished = Duration{0};
    }
    Fleet.run(Sample);
    const auto Age = Fleet.worstProofAge();
    REQUIRE(Age.has_value());
    Worst = std::max(Worst, *Age);
  }
  return Worst;
}

/// Does something to a node, or undoes it.
using Fault = void (*)(StoreFleet &, std::size_t, std::mt19937_64 &);

constexpr std::array<Fault, 10> Faults = {
    [](StoreFleet &Fleet, std::size_t Node, std::mt19937_64 &) {
      Fleet.freeze(Node);
    },
    [](StoreFleet &Fleet, std::size_t Node, std::mt19937_64 &) {
      Fleet.thaw(Node);
    },
    [](StoreFleet &Fleet, std::size_t Node, std::mt19937_64 &) {
      Fleet.cutFromStore(Node);
    },
    [](StoreFleet &Fleet, std::size_t Node, std::mt19937_64 &) {
      Fleet.reconnectToStore(Node);
    },
    [](StoreFleet &Fleet, std::size_t Node, std::mt19937_64 &) {
      Fleet.silencePendingCalls(Node);
    },
    [](StoreFleet &Fleet, std::size_t Node, std::mt19937_64 &) {
      Fleet.cutFromNodes(Node);
    },
    [](StoreFleet &Fleet, std::size_t Node, std::mt19937_64 &) {
      Fleet.reconnectToNodes(Node);
    },
    [](StoreFleet &Fleet, std::size_t Node, std::mt19937_64 &Random) {
      Fleet.slowReplies(Node, milliseconds(Random() % 700));
    },
    [](StoreFleet &Fleet, std::size_t Node, std::mt19937_64 &Random) {
      Fleet.slowMessages(Node, milliseconds(Random() % 1500));
    },
    [](StoreFleet &Fleet, std::size_t Node, std::mt19937_64 &) {
      Fleet.kill(Node);
      Fleet.start(Node);
    },
};

void healAll(StoreFleet &Fleet) {
  for (std::size_t Node = 0; Node < Fleet.nodes(); ++Node) {
    Fleet.reconnectToStore(Node);
    Fleet.reconnectToNodes(Node);
    Fleet.slowReplies(Node, Duration{0});
    Fleet.slowMessages(Node, Duration{0});
    Fleet.thaw(Node);
  }
}

std::string firstOf(const std::vector<std::string> &Reports) {
  return Reports.empty() ? "" : Reports.front();
}

} // namespace

TEST_CASE("no node proves that a configuration is the newest once a newer one "
          "is acknowledged") {
  constexpr std::uint64_t Runs = 40;
  for (std::uint64_t Seed = 1; Seed <= Runs; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    StoreFleet Fleet(provingFleet(Seed));
    Fleet.startAll();
    for (int Step = 0; Step < 60; ++Step) {
      Faults[Random() % Faults.size()](Fleet, Random() % Fleet.nodes(), Random);
      if (Random() % 2 == 0)
        Fleet.publish();
      Fleet.run(milliseconds(Random() % 600));
    }
    healAll(Fleet);
    Fleet.run(seconds(20));
    CAPTURE(firstOf(Fleet.falseProofs()));
    CHECK(Fleet.falseProofs().empty());
    const auto Age = Fleet.worstProofAge();
    REQUIRE(Age.has_value());
    CHECK(*Age < CalmAge);
  }
}

TEST_CASE("a node that reconnects to a restored store proves nothing before "
          "what is lost has been written again") {
  for (const Return &Played : Returns) {
    for (std::uint64_t Seed = 1; Seed <= 6; ++Seed) {
      CAPTURE(Played.m_Name);
      CAPTURE(Seed);
      std::mt19937_64 Random(Seed);
      StoreFleetOptions Options = fleetFor(Played, Seed);
      Options.m_ProvesFreshness = true;
      StoreFleet Fleet(Options);
      Fleet.startAll();
      Fleet.publish();
      Fleet.run(seconds(4));
      std::set<std::size_t> Away;
      for (int Count = 0; Count < 5; ++Count)
        Away.insert(Random() % Fleet.nodes());
      for (const std::size_t Node : Away) {
        Fleet.cutFromStore(Node);
        Fleet.cutFromNodes(Node);
      }
      // Only the others learn of it before the store loses it.
      Fleet.publish();
      Fleet.run(milliseconds(500 + Random() % 1000));
      Fleet.restoreStore(Played.m_Copy, milliseconds(Random() % 1500));
      Fleet.run(milliseconds(1500 + Random() % 1500));
      for (const std::size_t Node : Away)
        Fleet.reconnectToStore(Node);
      Fleet.run(seconds(4));
      for (const std::size_t Node : Away)
        Fleet.reconnectToNodes(Node);
      Fleet.run(seconds(12));
      Fleet.publish();
      Fleet.run(seconds(3));
      CAPTURE(firstOf(Fleet.falseProofs()));
      CHECK(Fleet.falseProofs().empty());
      CHECK(Fleet.worstProofAge().value_or(MaxProofAge) < CalmAge);
    }
  }
}

TEST_CASE("proofs are young while nothing fails") {
  for (const int PublishEachMs : {0, 300, 900, 2000}) {
    for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
      CAPTURE(PublishEachMs);
      CAPTURE(Seed);
      StoreFleet Fleet(provingFleet(Seed));
      Fleet.startAll();
      const Duration Worst =
          worstAge(Fleet, seconds(20), milliseconds(PublishEachMs));
      CAPTURE(Worst.count());
      CHECK(Worst < CalmAge);
      CHECK(Fleet.falseProofs().empty());
    }
  }
}

TEST_CASE("proofs stay valid while the store is slow, or away from some "
          "nodes") {
  for (const int PublishEachMs : {0, 700}) {
    for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
      CAPTURE(PublishEachMs);
      CAPTURE(Seed);
      StoreFleet Fleet(provingFleet(Seed));
      Fleet.startAll();
      if (Seed % 2 == 0) {
        slowAll(Fleet, milliseconds(240));
      } else {
        for (std::size_t Node = 0; Node < Fleet.nodes(); Node += 3)
          Fleet.cutFromStore(Node);
      }
      const Duration Worst =
          worstAge(Fleet, seconds(30), milliseconds(PublishEachMs));
      CAPTURE(Worst.count());
      CHECK(Worst < MaxProofAge);
      CHECK(Fleet.falseProofs().empty());
    }
  }
}

TEST_CASE("proofs cost the store no calls") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    CAPTURE(Seed);
    double Calls[2] = {};
    for (const bool Proves : {false, true}) {
      StoreFleetOptions Options = provingFleet(Seed);
      Options.m_ProvesFreshness = Proves;
      StoreFleet Fleet(Options);
      Fleet.startAll();
      const double Before = Fleet.pricedCalls();
      for (int Count = 0; Count < 10; ++Count) {
        Fleet.publish();
        Fleet.run(milliseconds(1700));
      }
      Calls[Proves ? 1 : 0] = Fleet.pricedCalls() - Before;
    }
    CHECK(Calls[1] < Calls[0] * 1.05 + 1);
  }
}
