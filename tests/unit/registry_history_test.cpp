// What a registry keeps when the store begins another history.
#include "core/registry/limits.h"
#include "dandelionfall/core/registry.h"
#include "platform/record_decoder.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace dandelionfall;
using core::makeRevision;
using core::registry::DepartureMemory;
using core::registry::LapseGrace;
using std::chrono::seconds;

namespace {

core::StoreRecord record(const std::string &Key, core::Revision At,
                         std::string Value) {
  return {Key, At, std::make_shared<const std::string>(std::move(Value))};
}

core::StoreRecord target(core::Revision At, const std::string &State, int Seq,
                         int Born = 1) {
  return record("servers/i-1", At,
                R"({"service":"desk","address":"10.1.0.8:8301","zone":"z",)"
                R"("slots":4,"cold-remaining-ms":0,"state":")" +
                    State + R"(","seq":)" + std::to_string(Seq) +
                    R"(,"born":)" + std::to_string(Born) + "}");
}

core::StoreRecord configuration(core::Revision At, int Version) {
  return record(
      "op/config", At,
      R"({"version":)" + std::to_string(Version) +
          R"(,"routes":[],"services":[{"name":"desk","max-connections":9,)"
          R"("cold-start-s":3.0,"cold-per-s":14.0}],"limits":)"
          R"({"max-header-bytes":16384,"max-body-bytes":1,)"
          R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})");
}

struct Node {
  std::vector<core::Target> targets() const {
    return m_Registry.configuration()->m_Services.at("desk")->m_Targets;
  }
  bool isUsed() const {
    const auto Targets = targets();
    return !Targets.empty() && !Targets.front().m_Draining;
  }
  bool isZoneOut() const {
    return m_Registry.configuration()->m_Zones.at("z").m_State ==
           core::ZoneState::Out;
  }
  std::size_t countEvents(core::EventId Id) {
    const auto Events = m_Registry.takeEvents();
    return static_cast<std::size_t>(std::count_if(
        Events.begin(), Events.end(),
        [Id](const core::Event &Each) { return Each.m_Id == Id; }));
  }

  platform::PlatformRecordDecoder m_Decoder;
  core::Registry m_Registry{m_Decoder, {{{"z", "r"}}, 7620, {}}};
  core::TimePoint m_Now{seconds(100)};
};

/// Holds version 17, a target and an availability zone that is out, as of 361.
struct Fixture : Node {
  Fixture() {
    m_Registry.replaceAll({configuration(300, 17), target(310, "ready", 5),
                           record("op/evacuate/z", 320, "{}")},
                          361, m_Now);
    m_Registry.takeEvents();
  }
};

constexpr core::Revision at(core::StoreCounter Counter) {
  return makeRevision(1, Counter);
}

/// What a started node that has read version 15 asks.
core::RecordsPull askedAtStart() { return {at(core::MaxStoreCounter), 15}; }

} // namespace

TEST_CASE("a version that the store has lost stays in force and is passed on") {
  Fixture World;
  World.m_Registry.replaceAll({configuration(at(3), 15)}, at(20), World.m_Now);
  CHECK(World.m_Registry.version() == 17);
  CHECK(World.m_Registry.retainedVersion() == 17);
  CHECK(World.countEvents(core::EventId::ConfigurationRefused) == 0);
  Node Started;
  Started.m_Registry.replaceAll({configuration(at(3), 15)}, at(21),
                                Started.m_Now);
  CHECK(Started.m_Registry.version() == 15);
  Started.m_Registry.applyPush(
      World.m_Registry.makePush(askedAtStart(), World.m_Now), Started.m_Now);
  CHECK(Started.m_Registry.version() == 17);
  CHECK(Started.m_Registry.retainedVersion() == 17);
  SUBCASE("until the store has it again") {
    World.m_Registry.apply({configuration(at(22), 17)}, at(22), World.m_Now);
    CHECK(World.m_Registry.retainedVersion() == 0);
    CHECK(World.countEvents(core::EventId::ConfigurationRefused) == 0);
  }
  SUBCASE("until the store has a higher one") {
    World.m_Registry.apply({configuration(at(22), 18)}, at(22), World.m_Now);
    CHECK(World.m_Registry.retainedVersion() == 0);
    CHECK(World.m_Registry.version() == 18);
  }
}

TEST_CASE("a node of an earlier history passes on what it has in force") {
  const Fixture World;
  Node Started;
  Started.m_Registry.replaceAll({configuration(at(3), 15)}, at(21),
                                Started.m_Now);
  Started.m_Registry.applyPush(
      World.m_Registry.makePush(askedAtStart(), World.m_Now), Started.m_Now);
  CHECK(Started.m_Registry.version() == 17);
  CHECK(Started.m_Registry.revision() == at(21));
}

TEST_CASE("a started node is sent no records that the store has") {
  const Fixture World;
  const core::RecordsPush Push = World.m_Registry.makePush(
      {makeRevision(0, core::MaxStoreCounter), 17}, World.m_Now);
  CHECK(Push.m_Records.empty());
  CHECK_FALSE(Push.m_Retained.has_value());
  Node Started;
  Started.m_Registry.replaceAll({configuration(300, 17)}, 350, Started.m_Now);
  CHECK_FALSE(Started.m_Registry.applyPush(Push, Started.m_Now));
  CHECK(Started.m_Registry.revision() == 350);
}

TEST_CASE("a target that a later history lacks has time to write its entry") {
  Fixture World;
  World.m_Registry.replaceAll({configuration(at(3), 17)}, at(20), World.m_Now);
  CHECK(World.isUsed());
  SUBCASE("it writes it") {
    World.m_Registry.apply({target(at(21), "ready", 6)}, at(21), World.m_Now);
    World.m_Registry.onTick(World.m_Now + 2 * LapseGrace);
    CHECK(World.isUsed());
  }
  SUBCASE("it does not") {
    World.m_Registry.onTick(World.m_Now + LapseGrace);
    CHECK(World.targets().empty());
  }
  SUBCASE("the store is away meanwhile") {
    World.m_Registry.onStoreReachable(false, World.m_Now);
    World.m_Registry.onTick(World.m_Now + 2 * LapseGrace);
    CHECK(World.isUsed());
    CHECK(World.isZoneOut());
    World.m_Registry.onStoreReachable(true, World.m_Now + 2 * LapseGrace);
    World.m_Registry.onTick(World.m_Now + 3 * LapseGrace);
    CHECK(World.targets().empty());
    CHECK_FALSE(World.isZoneOut());
  }
}

TEST_CASE("an availability zone stays out until operators had time to write it "
          "again") {
  Fixture World;
  World.m_Registry.replaceAll({configuration(at(3), 17)}, at(20), World.m_Now);
  CHECK(World.isZoneOut());
  World.m_Registry.onTick(World.m_Now + LapseGrace);
  CHECK_FALSE(World.isZoneOut());
}

TEST_CASE("an older entry of a target that has left is not used again") {
  for (const core::StoreRecord &Departure :
       {target(362, "draining", 6),
        core::StoreRecord{"servers/i-1", 362, nullptr}}) {
    Fixture World;
    World.m_Registry.apply({Departure}, 362, World.m_Now);
    World.m_Registry.replaceAll(
        {configuration(at(3), 17), target(at(4), "ready", 5)}, at(20),
        World.m_Now);
    CHECK_FALSE(World.isUsed());
    SUBCASE("a later entry is") {
      World.m_Registry.apply({target(at(21), "ready", 7)}, at(21), World.m_Now);
      CHECK(World.isUsed());
    }
    SUBCASE("another start is") {
      World.m_Registry.apply({target(at(21), "ready", 1, 2)}, at(21),
                             World.m_Now);
      CHECK(World.isUsed());
    }
    SUBCASE("an entry long after is") {
      World.m_Now += DepartureMemory;
      World.m_Registry.apply({target(at(21), "ready", 5)}, at(21), World.m_Now);
      CHECK(World.isUsed());
    }
  }
}

TEST_CASE("a node that has started is told which targets left before") {
  Fixture World;
  World.m_Registry.apply({{"servers/i-1", 362, nullptr}}, 362, World.m_Now);
  Node Started;
  Started.m_Registry.replaceAll(
      {configuration(at(3), 17), target(at(4), "ready", 5)}, at(20),
      Started.m_Now);
  CHECK(Started.isUsed());
  CHECK(Started.m_Registry.applyPush(
      World.m_Registry.makePush(askedAtStart(), World.m_Now), Started.m_Now));
  CHECK_FALSE(Started.isUsed());
  Started.m_Registry.apply({target(at(21), "ready", 6)}, at(21), Started.m_Now);
  CHECK(Started.isUsed());
}

TEST_CASE("records of an earlier history are not taken") {
  Fixture World;
  World.m_Registry.replaceAll({configuration(at(3), 17)}, at(20), World.m_Now);
  World.m_Registry.onTick(World.m_Now + LapseGrace);
  World.m_Registry.applyAhead(
      {target(362, "ready", 6), record("op/evacuate/z", 363, "{}")}, "feed",
      World.m_Now);
  CHECK(World.targets().empty());
  CHECK_FALSE(World.isZoneOut());
}

TEST_CASE("a removal that arrived ahead of a listing is not reverted by it") {
  Fixture World;
  World.m_Registry.applyAhead({{"servers/i-1", at(23), nullptr}}, "feed",
                              World.m_Now);
  World.m_Registry.replaceAll(
      {configuration(at(3), 17), target(at(4), "ready", 9)}, at(20),
      World.m_Now);
  World.m_Registry.onTick(World.m_Now + LapseGrace);
  CHECK(World.targets().empty());
}

TEST_CASE("a listing that can't follow on the records held contradicts them") {
  Fixture World;
  const auto Contradicts = [&](const std::vector<core::StoreRecord> &Listed) {
    return World.m_Registry.contradicts(Listed, 361);
  };
  CHECK_FALSE(Contradicts({configuration(300, 17), target(310, "ready", 5)}));
  CHECK_FALSE(Contradicts({configuration(370, 18)}));
  CHECK(Contradicts({configuration(300, 16)}));
  CHECK(Contradicts({target(309, "ready", 4)}));
  CHECK(Contradicts({record("servers/i-2", 340, "{}")}));
  CHECK_FALSE(Contradicts({configuration(at(3), 15)}));
}

TEST_CASE("a feed of another history leaves open what a follower lacks") {
  const Fixture World;
  CHECK(World.m_Registry.changesFor(361).m_IsComplete);
  CHECK_FALSE(World.m_Registry.changesFor(at(25)).m_IsComplete);
  Fixture Follower;
  core::RecordChanges Changes;
  Changes.m_IsComplete = true;
  Follower.m_Registry.applyFeed(Changes, at(25), Follower.m_Now);
  CHECK(Follower.m_Registry.revision() == 361);
}
