// Targets and availability zones as derived from the records of a store.
#include "dandelionfall/core/registry.h"

#include "core/registry/limits.h"
#include "platform/record_decoder.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace dandelionfall;
using core::EventId;
using std::chrono::milliseconds;

namespace {

core::StoreRecord record(const std::string &Key, core::Revision Revision,
                         std::string Value) {
  return {Key, Revision, std::make_shared<const std::string>(std::move(Value))};
}

std::string targetJson(const std::string &Address, const std::string &State,
                       int ColdMs = 0, std::int64_t StartedAtMs = 1) {
  return R"({"service":"desk","address":")" + Address +
         R"(","zone":"kalamaria","version":"v1","slots":12,"state":")" + State +
         R"(","cold-remaining-ms":)" + std::to_string(ColdMs) +
         R"(,"seq":4,"born":)" + std::to_string(StartedAtMs) + "}";
}

std::string configurationJson(int Version, const std::string &Prefix = "/a/") {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"r","host":"h.example","prefix":")" + Prefix +
         R"(","kind":"non_idempotent","timeout-ms":1500,"target-latency-ms":500,)"
         R"("priority":1,"service":"desk","max-attempts":2}],"services":[{"name":)"
         R"("desk","health-path":"/healthz","max-connections":120,"protocol":"h1",)"
         R"("tls":false,"cold-start-s":3.0,"cold-per-s":14.0}],"limits":)"
         R"({"max-header-bytes":16384,"max-body-bytes":67108864,)"
         R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

struct Fixture {
  Fixture() {
    CHECK(m_Registry.replaceAll(
        {record("op/config", 1, configurationJson(4)),
         record("servers/i-1", 2, targetJson("10.1.0.8:8301", "ready"))},
        10, m_Now));
    m_Registry.takeEvents();
  }

  std::vector<core::Target> targets() const {
    return m_Registry.configuration()->m_Services.at("desk")->m_Targets;
  }

  std::size_t countEvents(EventId Id) {
    const std::vector<core::Event> Events = m_Registry.takeEvents();
    return static_cast<std::size_t>(std::count_if(
        Events.begin(), Events.end(),
        [Id](const core::Event &Each) { return Each.m_Id == Id; }));
  }

  platform::PlatformRecordDecoder m_Decoder;
  core::Registry m_Registry{m_Decoder, {{{"kalamaria", "gr-north"}}, 7620, {}}};
  core::TimePoint m_Now{std::chrono::seconds(100)};
};

} // namespace

TEST_CASE("a target is reached at the node on its host") {
  const Fixture World;
  REQUIRE(World.targets().size() == 1);
  const core::Target Found = World.targets().front();
  CHECK(Found.m_Name == "i-1");
  CHECK(Found.m_Address == "10.1.0.8:8301");
  CHECK(Found.m_GateAddress == "10.1.0.8:7620");
  CHECK(Found.m_Slots == 12);
  CHECK(Found.m_Connections == 120);
  const auto Config = World.m_Registry.configuration();
  CHECK(Config->m_Stamp.m_Version == 10);
  const core::RouteMatch Match =
      core::findRoute(*Config, "H.example:80", "/a/b?c");
  REQUIRE(Match.m_Route != nullptr);
  CHECK(Match.m_Route->m_Split ==
        std::vector<core::WeightedService>{{"desk", 1}});
  CHECK(Match.m_Route->m_Timeout == milliseconds(1500));
  CHECK(core::findRoute(*Config, "h.example", "/a").m_Route == nullptr);
}

TEST_CASE("revisions and versions never decrease") {
  Fixture World;
  CHECK_FALSE(World.m_Registry.apply(
      {record("op/config", 9, configurationJson(3, "/old/"))}, 11,
      World.m_Now));
  CHECK(World.m_Registry.version() == 4);
  CHECK_FALSE(
      World.m_Registry.apply({{"servers/i-1", 9, nullptr}}, 11, World.m_Now));
  CHECK(World.targets().size() == 1);
  CHECK_FALSE(World.m_Registry.replaceAll({}, 9, World.m_Now));
  CHECK(World.targets().size() == 1);
}

TEST_CASE("an unreadable record changes nothing") {
  for (const char *Bad :
       {"", "{", "[]", "7", R"({"service":7})",
        R"({"service":"desk","address":"10.1.0.8:8301","zone":"kalamaria",)"
        R"("slots":12,"state":"odd","cold-remaining-ms":0})",
        R"({"service":"desk","address":"nowhere","zone":"kalamaria",)"
        R"("slots":12,"state":"ready","cold-remaining-ms":0})",
        R"({"service":"desk","address":"10.1.0.9:8301","zone":"kalamaria",)"
        R"("slots":-1,"state":"ready","cold-remaining-ms":0})"}) {
    CAPTURE(std::string(Bad));
    Fixture World;
    CHECK_FALSE(World.m_Registry.apply(
        {record("servers/i-2", 11, Bad), record("op/config", 11, Bad)}, 11,
        World.m_Now));
    CHECK(World.countEvents(EventId::RecordRefused) == 2);
    CHECK(World.targets().size() == 1);
    CHECK(World.m_Registry.version() == 4);
  }
}

TEST_CASE("a draining target is marked, a removed target is dropped") {
  Fixture World;
  CHECK(World.m_Registry.apply(
      {record("servers/i-1", 11, targetJson("10.1.0.8:8301", "draining"))}, 11,
      World.m_Now));
  REQUIRE(World.targets().size() == 1);
  CHECK(World.targets().front().m_Draining);
  CHECK(
      World.m_Registry.apply({{"servers/i-1", 12, nullptr}}, 12, World.m_Now));
  CHECK(World.targets().empty());
}

TEST_CASE("of two targets with the same address the one started last is used") {
  Fixture World;
  CHECK(World.m_Registry.apply(
      {record("servers/i-0", 11, targetJson("10.1.0.8:8301", "ready", 0, 2))},
      11, World.m_Now));
  REQUIRE(World.targets().size() == 1);
  CHECK(World.targets().front().m_Name == "i-0");
}

TEST_CASE("an entry without a named service hides no target at its address") {
  Fixture World;
  std::string Foreign = targetJson("10.1.0.8:8301", "ready", 0, 2);
  Foreign.replace(Foreign.find("desk"), 4, "else");
  World.m_Registry.apply({record("servers/i-0", 11, Foreign)}, 11, World.m_Now);
  REQUIRE(World.targets().size() == 1);
  CHECK(World.targets().front().m_Name == "i-1");
  SUBCASE("its node remains known once the target has left") {
    World.m_Registry.apply({{"servers/i-1", 12, nullptr}}, 12, World.m_Now);
    CHECK(World.targets().empty());
    CHECK(World.m_Registry.nodes().size() == 1);
  }
}

TEST_CASE("the end of an announced cold start is measured on the local clock") {
  Fixture World;
  CHECK(World.m_Registry.apply(
      {record("servers/i-1", 11, targetJson("10.1.0.8:8301", "ready", 2500))},
      11, World.m_Now));
  CHECK(World.targets().front().m_ColdUntil ==
        World.m_Now + milliseconds(2500));
}

TEST_CASE("a target whose entry lapsed during a store outage can return") {
  Fixture World;
  World.m_Registry.onStoreReachable(false, World.m_Now);
  World.m_Registry.onStoreReachable(true, World.m_Now);
  CHECK_FALSE(
      World.m_Registry.apply({{"servers/i-1", 11, nullptr}}, 11, World.m_Now));
  CHECK(World.targets().size() == 1);
  SUBCASE("it returns") {
    World.m_Registry.apply(
        {record("servers/i-1", 12, targetJson("10.1.0.8:8301", "ready"))}, 12,
        World.m_Now);
    CHECK_FALSE(World.m_Registry.nextWakeUp().has_value());
    CHECK_FALSE(World.m_Registry.onTick(World.m_Now + std::chrono::hours(1)));
    CHECK(World.targets().size() == 1);
  }
  SUBCASE("it does not return") {
    const auto Due = World.m_Registry.nextWakeUp();
    REQUIRE(Due.has_value());
    CHECK(*Due <= World.m_Now + std::chrono::seconds(2));
    CHECK(World.m_Registry.onTick(*Due));
    CHECK(World.targets().empty());
  }
}

TEST_CASE("an availability zone is out of service while its record exists") {
  Fixture World;
  CHECK(World.m_Registry.apply({record("op/evacuate/kalamaria", 11, "{}")}, 11,
                               World.m_Now));
  CHECK_FALSE(core::isZoneIn(*World.m_Registry.configuration(), "kalamaria"));
  CHECK(World.m_Registry.apply({{"op/evacuate/kalamaria", 12, nullptr}}, 12,
                               World.m_Now));
  CHECK(core::isZoneIn(*World.m_Registry.configuration(), "kalamaria"));
}

TEST_CASE("a peer with an older revision is updated") {
  Fixture World;
  World.m_Registry.apply(
      {record("servers/i-2", 11, targetJson("10.1.0.9:8301", "ready")),
       {"servers/i-1", 12, nullptr}},
      12, World.m_Now);
  for (const core::Revision PeerRevision :
       {core::Revision{0}, core::Revision{10}}) {
    CAPTURE(PeerRevision);
    Fixture Peer;
    const core::RecordsPush Push =
        World.m_Registry.makePush({PeerRevision}, World.m_Now);
    CHECK(Push.m_IsFull == (PeerRevision == 0));
    CHECK(Peer.m_Registry.applyPush(Push, Peer.m_Now));
    CHECK(Peer.m_Registry.revision() == 12);
    REQUIRE(Peer.targets().size() == 1);
    CHECK(Peer.targets().front().m_Name == "i-2");
    CHECK_FALSE(Peer.m_Registry.applyPush(Push, Peer.m_Now));
  }
}

TEST_CASE("a record of a feed is applied ahead of its revision") {
  Fixture World;
  World.m_Registry.dropChanges();
  const core::StoreRecord Leaving =
      record("servers/i-1", 14, targetJson("10.1.0.8:8301", "draining"));
  CHECK(World.m_Registry.applyAhead({Leaving}, "feed", World.m_Now));
  CHECK(World.targets()[0].m_Draining);
  CHECK(World.m_Registry.revision() == 10);
  CHECK(World.m_Registry.takeChanges().m_Records == std::vector{Leaving});
  CHECK_FALSE(World.m_Registry.applyAhead({Leaving}, "feed", World.m_Now));
  CHECK(World.m_Registry.takeChanges().m_Records.empty());
  CHECK(World.m_Registry.changesFor(10).m_Records == std::vector{Leaving});
  CHECK(World.m_Registry.changesFor(14).m_Records.empty());
  CHECK(World.m_Registry.changesFor(0).m_Records.empty());
}

TEST_CASE("no older state of the store reverts a removal received from a "
          "feed") {
  Fixture World;
  const core::StoreRecord Removal{"servers/i-1", 14, nullptr};
  const core::StoreRecord Before =
      record("servers/i-1", 12, targetJson("10.1.0.8:8301", "ready"));
  CHECK(World.m_Registry.applyAhead({Removal}, "feed", World.m_Now));
  CHECK(World.targets().empty());
  World.m_Registry.apply({Before}, 12, World.m_Now);
  CHECK(World.targets().empty());
  World.m_Registry.replaceAll(
      {record("op/config", 1, configurationJson(4)), Before}, 13, World.m_Now);
  CHECK(World.targets().empty());
  const core::StoreRecord After =
      record("servers/i-1", 15, targetJson("10.1.0.8:8301", "ready"));
  CHECK(World.m_Registry.apply({After}, 15, World.m_Now));
  CHECK(World.targets().size() == 1);
  CHECK_FALSE(World.m_Registry.applyAhead({Removal}, "feed", World.m_Now));
  CHECK(World.targets().size() == 1);
}

TEST_CASE("a configuration is too large for a feed") {
  Fixture World;
  World.m_Registry.dropChanges();
  std::string Value = configurationJson(5);
  Value.append(core::registry::MaxSmallRecordBytes, ' ');
  CHECK(World.m_Registry.apply({record("op/config", 11, std::move(Value))}, 11,
                               World.m_Now));
  CHECK(World.m_Registry.takeChanges().m_Records.empty());
  CHECK(World.m_Registry.changesFor(10).m_Records.empty());
}

TEST_CASE("a removal that is read again does not keep a lapsed target longer") {
  Fixture World;
  const std::vector<core::StoreRecord> Removal{{"servers/i-1", 11, nullptr}};
  World.m_Registry.onStoreReachable(false, World.m_Now);
  World.m_Registry.onStoreReachable(true, World.m_Now);
  World.m_Registry.applyAhead(Removal, "feed", World.m_Now);
  World.m_Registry.apply(Removal, 11, World.m_Now + milliseconds(900));
  World.m_Registry.replaceAll({record("op/config", 1, configurationJson(4))},
                              12, World.m_Now + milliseconds(1500));
  CHECK(World.countEvents(EventId::TargetLapsed) == 1);
  CHECK(World.targets().size() == 1);
  CHECK(World.m_Registry.onTick(World.m_Now + core::registry::LapseGrace));
  CHECK(World.targets().empty());
}

TEST_CASE("a target that lapsed while the store was away has the whole grace "
          "period from its return") {
  Fixture World;
  World.m_Registry.onStoreReachable(false, World.m_Now);
  World.m_Registry.applyAhead({{"servers/i-1", 11, nullptr}}, "feed",
                              World.m_Now);
  const core::TimePoint Return = World.m_Now + milliseconds(1500);
  World.m_Registry.onStoreReachable(true, Return);
  CHECK_FALSE(
      World.m_Registry.onTick(World.m_Now + core::registry::LapseGrace));
  CHECK(World.m_Registry.nextWakeUp() == Return + core::registry::LapseGrace);
  CHECK(World.m_Registry.onTick(Return + core::registry::LapseGrace));
}

TEST_CASE("an odd entry among those of targets names no target and disturbs no "
          "other") {
  const std::string Nested = std::string(100'000, '[');
  const auto Entry = [](const std::string &Address, const std::string &Slots) {
    return R"({"service":"desk","address":")" + Address +
           R"(","zone":"kalamaria","version":"v1","slots":)" + Slots +
           R"(,"state":"ready","cold-remaining-ms":0,"seq":4,"born":1})";
  };
  const auto Unclosed = [&](const std::string &Inner) {
    return Entry("10.1.0.9:8301", Inner);
  };
  for (const std::string &Odd :
       {Nested, Nested + std::string(100'000, ']'),
        Unclosed(R"({"a":)" + Nested + std::string(100'000, ']') + "}"),
        Unclosed("4294967296"), Unclosed("18446744073709551616"),
        Unclosed("1e400"), Unclosed("1e30"), Unclosed("2.5"),
        Entry("10.1.0.9:65536", "12"), Entry("10.1.0.9:0", "12"),
        Entry("10.1.0.9:-1", "12"), Entry("10.1.0.9:8301x", "12"),
        Entry("10.1.0:8301", "12"), Entry("desk.example:8301", "12"),
        Entry("10.1.0.999:8301", "12"), Entry(":8301", "12")}) {
    CAPTURE(Odd.substr(0, 120));
    Fixture World;
    CHECK_FALSE(World.m_Registry.apply({record("servers/i-2", 11, Odd)}, 11,
                                       World.m_Now));
    CHECK(World.countEvents(EventId::RecordRefused) == 1);
    REQUIRE(World.targets().size() == 1);
    CHECK(World.m_Registry.revision() == 11);
    CHECK(World.m_Registry.apply(
        {record("servers/i-1", 12, targetJson("10.1.0.8:8301", "draining"))},
        12, World.m_Now));
    CHECK(World.targets().front().m_Draining);
  }
}
