// Safety invariants and convergence of the distribution under each fault alone,
// repeated, and combined with every other fault.
#include "contract/distribution_fleet.h"

#include <doctest/doctest.h>

using namespace dandelionfall;
using namespace dandelionfall::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t NodeCount = 12;

struct FaultCase {
  std::string m_Name;
  void (*m_Begin)(Fleet &);
  void (*m_End)(Fleet &);
};

template <void (Fleet::*Action)(std::size_t)>
void applyToEveryThird(Fleet &Nodes) {
  for (std::size_t Index = 1; Index < Nodes.size(); Index += 3) {
    if (Nodes.isAlive(Index))
      (Nodes.*Action)(Index);
  }
}

// Nodes 2, 5, 8 and 11 are all nodes of one availability zone.
void loseZone(Fleet &Nodes) {
  for (std::size_t Index = 2; Index < Nodes.size(); Index += 3) {
    if (Nodes.isAlive(Index))
      Nodes.loseHost(Index);
  }
}

void startMissing(Fleet &Nodes) {
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
    if (!Nodes.isAlive(Index))
      Nodes.startNode(Index);
  }
}

void restartAll(Fleet &Nodes) {
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
    if (Nodes.isAlive(Index))
      Nodes.kill(Index);
  }
  startMissing(Nodes);
}

void partitionInTwo(Fleet &Nodes) {
  std::map<std::size_t, int> Groups;
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index)
    Groups[Index] = static_cast<int>(Index % 2);
  Nodes.partition(Groups);
}

void isolateEach(Fleet &Nodes) {
  std::map<std::size_t, int> Groups;
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index)
    Groups[Index] = static_cast<int>(Index);
  Nodes.partition(Groups);
}

void resumeAll(Fleet &Nodes) {
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index)
    Nodes.resume(Index);
}

void sourceDown(Fleet &Nodes) {
  Nodes.m_Source.setMode(FakeSource::Mode::Down);
}

void sourceStale(Fleet &Nodes) {
  Nodes.m_Source.setMode(FakeSource::Mode::Stale);
}

void sourceRestored(Fleet &Nodes) {
  Nodes.m_Source.setMode(FakeSource::Mode::Working);
}

const FaultCase Cases[] = {
    {"kill a third", applyToEveryThird<&Fleet::kill>, startMissing},
    {"lose a third of the hosts", applyToEveryThird<&Fleet::loseHost>,
     startMissing},
    {"freeze a third", applyToEveryThird<&Fleet::freeze>, resumeAll},
    {"zone lost", loseZone, startMissing},
    {"restart all nodes", restartAll, startMissing},
    {"partition in two", partitionInTwo, [](Fleet &Nodes) { Nodes.heal(); }},
    {"isolate each node", isolateEach, [](Fleet &Nodes) { Nodes.heal(); }},
    {"lose a tenth of the messages",
     [](Fleet &Nodes) { Nodes.m_LossPercent = 10; },
     [](Fleet &Nodes) { Nodes.m_LossPercent = 0; }},
    {"source down", sourceDown, sourceRestored},
    {"source stale", sourceStale, sourceRestored},
    {"update during a read",
     [](Fleet &Nodes) { Nodes.m_Source.m_PublishAfterPartReads = 1; },
     [](Fleet &) {}},
};

// If all nodes lose their state while the source is stale, no node can know the
// newer version.
bool isExcluded(const FaultCase &First, const FaultCase &Second) {
  const auto Is = [&](const std::string &Name) {
    return First.m_Name == Name || Second.m_Name == Name;
  };
  return Is("source stale") && Is("restart all nodes");
}

void checkConvergence(Fleet &Nodes, Duration Limit) {
  Nodes.m_Source.publish();
  const auto Time = Nodes.runUntil(
      [&] { return Nodes.allReadyAt(Nodes.m_Source.newest()); }, Limit);
  for (std::size_t Index = 0; !Time.has_value() && Index < Nodes.size();
       ++Index) {
    if (!Nodes.isAlive(Index))
      continue;
    const auto Status = Nodes.status(Index);
    MESSAGE("host" << Index << " held " << Status.m_Held.m_Version
                   << " applied " << Status.m_Applied.m_Version << " ready "
                   << Status.m_Ready << " links " << Status.m_Links);
  }
  CHECK(Time.has_value());
}

void checkSafety(const Fleet &Nodes) {
  for (const std::string &Fault : Nodes.m_Violations)
    MESSAGE(Fault);
  CHECK(Nodes.m_Violations.empty());
  CHECK(Nodes.maxCallsInASecond() <= 2000);
}

Fleet startFleet() {
  FleetOptions Options;
  Options.m_Nodes = NodeCount;
  return Fleet(Options);
}

void runCase(const FaultCase &First, const FaultCase &Second, bool Together) {
  CAPTURE(First.m_Name);
  CAPTURE(Second.m_Name);
  Fleet Nodes = startFleet();
  Nodes.startAll();
  checkConvergence(Nodes, 5s);
  checkConvergence(Nodes, 2s);
  First.m_Begin(Nodes);
  Nodes.runFor(300ms);
  Nodes.m_Source.publish();
  Nodes.runFor(4s);
  if (!Together) {
    First.m_End(Nodes);
    Nodes.runFor(500ms);
  }
  Second.m_Begin(Nodes);
  Nodes.m_Source.publish();
  Nodes.runFor(4s);
  Second.m_End(Nodes);
  if (Together)
    First.m_End(Nodes);
  checkConvergence(Nodes, 12s);
  checkConvergence(Nodes, 2s);
  checkSafety(Nodes);
}

} // namespace

TEST_CASE("each fault alone and twice") {
  for (const FaultCase &Each : Cases)
    runCase(Each, Each, false);
}

TEST_CASE("two faults together and one after the other") {
  for (const FaultCase &First : Cases) {
    for (const FaultCase &Second : Cases) {
      if (&First == &Second || isExcluded(First, Second))
        continue;
      runCase(First, Second, true);
      runCase(First, Second, false);
    }
  }
}

TEST_CASE("every node stays ready while the source is down") {
  Fleet Nodes = startFleet();
  Nodes.startAll();
  checkConvergence(Nodes, 5s);
  sourceDown(Nodes);
  const std::size_t Before = Nodes.sourceCalls();
  Nodes.runFor(120s);
  CHECK(Nodes.allReadyAt(Nodes.m_Source.newest()));
  // One attempt per reader every three seconds suffices to detect its return.
  CHECK(Nodes.sourceCalls() - Before < 120 * NodeCount);
  applyToEveryThird<&Fleet::kill>(Nodes);
  startMissing(Nodes);
  CHECK(Nodes
            .runUntil([&] { return Nodes.allReadyAt(Nodes.m_Source.newest()); },
                      5s)
            .has_value());
  sourceRestored(Nodes);
  checkConvergence(Nodes, 8s);
  checkSafety(Nodes);
}

TEST_CASE("invalid and conflicting versions are refused completely") {
  Fleet Nodes = startFleet();
  Nodes.startAll();
  checkConvergence(Nodes, 5s);
  const Version Valid = Nodes.m_Source.newest();
  Nodes.m_Source.publishFaulty();
  Nodes.runFor(5s);
  CHECK(Nodes.allReadyAt(Valid));
  CHECK(Nodes.countEvents(core::EventId::ConfigurationRefused) > 0);
  CHECK(Nodes.countEvents(core::EventId::ConfigurationRefused) <= NodeCount);
  checkConvergence(Nodes, 4s);
  Nodes.m_Source.publishConflict();
  applyToEveryThird<&Fleet::kill>(Nodes);
  startMissing(Nodes);
  Nodes.runFor(5s);
  CHECK(Nodes.allReadyAt(Nodes.m_Source.newest()));
  checkConvergence(Nodes, 4s);
  checkSafety(Nodes);
}

TEST_CASE("the first node to apply a version restarts with a stale source") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    FleetOptions Options;
    Options.m_Nodes = NodeCount;
    Options.m_Seed = Seed;
    Fleet Nodes(Options);
    Nodes.startAll();
    checkConvergence(Nodes, 5s);
    const Version Next = Nodes.m_Source.newest() + 1;
    std::optional<std::size_t> First;
    Nodes.m_OnApply = [&](std::size_t Index, Version Applied) {
      if (Applied != Next || First.has_value())
        return;
      First = Index;
      Nodes.runAfterPending([&Nodes, Index] {
        sourceStale(Nodes);
        Nodes.kill(Index);
        Nodes.startNode(Index);
      });
    };
    Nodes.m_Source.publish();
    Nodes.runFor(10s);
    REQUIRE(First.has_value());
    CHECK(Nodes.status(*First).m_Applied.m_Version == Next);
    CHECK(Nodes.allReadyAt(Next));
    sourceRestored(Nodes);
    checkConvergence(Nodes, 8s);
    checkSafety(Nodes);
  }
}

TEST_CASE("a stale source does not roll back a restarted node") {
  struct Row {
    std::string m_Name;
    std::size_t m_Seeds;
    std::uint32_t m_Holders;
    Duration m_LinkDelay;
  };
  const Row Rows[] = {{"seeds running", 3, 2, 1ms},
                      {"no seed", 0, 2, 1ms},
                      {"no seed, no holders", 0, 0, 1ms},
                      {"no seed, slow links", 0, 2, 600ms},
                      {"no seed, no holders, slow links", 0, 0, 600ms}};
  for (const Row &Each : Rows) {
    for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
      CAPTURE(Each.m_Name);
      CAPTURE(Seed);
      FleetOptions Options;
      Options.m_Nodes = NodeCount;
      Options.m_Seeds = Each.m_Seeds;
      Options.m_Holders = Each.m_Holders;
      Options.m_LinkDelay = Each.m_LinkDelay;
      Options.m_Seed = Seed;
      Fleet Nodes(Options);
      Nodes.startAll();
      checkConvergence(Nodes, 15s);
      checkConvergence(Nodes, 15s);
      sourceStale(Nodes);
      applyToEveryThird<&Fleet::kill>(Nodes);
      startMissing(Nodes);
      const Version Newest = Nodes.m_Source.newest();
      CHECK(Nodes.runUntil([&] { return Nodes.allReadyAt(Newest); }, 15s)
                .has_value());
      checkSafety(Nodes);
    }
  }
}

TEST_CASE("a source that answers with an older version changes nothing") {
  Fleet Nodes = startFleet();
  Nodes.startAll();
  checkConvergence(Nodes, 5s);
  checkConvergence(Nodes, 5s);
  Nodes.m_Source.m_IgnoresAfter = true;
  sourceStale(Nodes);
  Nodes.runFor(5s);
  CHECK(Nodes.allReadyAt(Nodes.m_Source.newest()));
  checkSafety(Nodes);
}

TEST_CASE("an altered change record is refused") {
  Fleet Nodes = startFleet();
  Nodes.startAll();
  checkConvergence(Nodes, 5s);
  Nodes.m_AltersRecords = true;
  Nodes.m_Source.publish();
  Nodes.runFor(2s);
  Nodes.m_AltersRecords = false;
  checkConvergence(Nodes, 5s);
  checkSafety(Nodes);
}

TEST_CASE("other nodes replace lost readers") {
  Fleet Nodes = startFleet();
  Nodes.startAll();
  checkConvergence(Nodes, 5s);
  std::size_t Removed = 0;
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
    if (!Nodes.status(Index).m_Reader)
      continue;
    Nodes.loseHost(Index);
    ++Removed;
  }
  CHECK(Removed == 9);
  checkConvergence(Nodes, 15s);
  checkSafety(Nodes);
}

TEST_CASE("heartbeats repair missed announcements") {
  Fleet Nodes = startFleet();
  Nodes.startAll();
  checkConvergence(Nodes, 5s);
  Nodes.m_LossPercent = 100;
  Nodes.m_Source.publish();
  Nodes.runFor(500ms);
  Nodes.m_LossPercent = 0;
  CHECK(Nodes
            .runUntil([&] { return Nodes.allReadyAt(Nodes.m_Source.newest()); },
                      2500ms)
            .has_value());
  checkSafety(Nodes);
}

TEST_CASE("a planned stop hands over the node's neighbours") {
  Fleet Nodes = startFleet();
  Nodes.startAll();
  checkConvergence(Nodes, 5s);
  Nodes.drain(0);
  Nodes.runFor(1s);
  Nodes.kill(0);
  checkConvergence(Nodes, 1s);
  checkSafety(Nodes);
}
