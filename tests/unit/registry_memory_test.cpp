// What a registry keeps of records that other writers put and remove.
#include "core/registry/limits.h"
#include "dandelionfall/core/registry.h"
#include "platform/record_decoder.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace dandelionfall;
using core::Registry;
using core::Revision;
using core::StoreRecord;

namespace {

constexpr char ConfigurationKey[] = "op/config";
constexpr std::size_t LargeBytes = 3000;
constexpr Revision FirstRevision = 10;

/// \returns a configuration; blanks make it a large record.
std::string configurationJson(int Version) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[],"services":[],"limits":{"max-header-bytes":16384,)"
         R"("max-body-bytes":65536,"header-timeout-ms":3000,)"
         R"("idle-timeout-ms":15000}})" +
         std::string(LargeBytes, ' ');
}

std::string targetJson(const std::string &Address,
                       std::size_t PaddingBytes = 0) {
  return R"({"service":"desk","address":")" + Address +
         R"(","zone":"kalamaria","slots":12,"state":"ready",)"
         R"("cold-remaining-ms":0,"seq":1,"born":1})" +
         std::string(PaddingBytes, ' ');
}

std::string unreadable(Revision At) {
  return std::string(LargeBytes, 'x') + std::to_string(At);
}

/// A registry, and which of the values that it was given are still in memory.
class Node {
public:
  explicit Node(bool DefersLargeRecords = false)
      : m_Registry(m_Decoder, options(DefersLargeRecords)) {
    m_Registry.replaceAll({record(ConfigurationKey, 1, configurationJson(1))},
                          FirstRevision, m_Now);
    settle();
  }

  StoreRecord record(const std::string &Key, Revision At, std::string Value) {
    StoreRecord Result{Key, At,
                       std::make_shared<const std::string>(std::move(Value))};
    m_Values.push_back(Result.m_Value);
    return Result;
  }

  void put(const std::string &Key, std::string Value) {
    ++m_At;
    m_Registry.apply({record(Key, m_At, std::move(Value))}, m_At, m_Now);
  }

  void remove(const std::string &Key) {
    ++m_At;
    m_Registry.apply({{Key, m_At, nullptr}}, m_At, m_Now);
  }

  /// Removes all records but the configuration.
  /// \param Way on which the node learns of it.
  void removeBy(std::string_view Way) {
    std::vector<StoreRecord> Removals;
    const StoreRecord Kept = m_Registry.records().at(ConfigurationKey);
    ++m_At;
    for (const auto &[Key, Record] : m_Registry.records()) {
      if (Key != ConfigurationKey)
        Removals.push_back({Key, m_At, nullptr});
    }
    if (Way == "watch")
      m_Registry.apply(Removals, m_At, m_Now);
    if (Way == "listing")
      m_Registry.replaceAll({Kept}, m_At, m_Now);
    if (Way == "history")
      m_Registry.replaceAll(
          {{Kept.m_Key, core::makeRevision(1, 1), Kept.m_Value}},
          core::makeRevision(1, 2), m_Now);
    if (Way == "feed")
      m_Registry.applyFeed({Removals, {}, {}, true}, m_At, m_Now);
    if (Way == "peer")
      m_Registry.applyPush({m_At, false, Removals}, m_Now);
  }

  /// Does what a node does after each step, as if nobody followed it.
  void settle() {
    m_Registry.onTick(m_Now);
    m_Registry.dropChanges();
    m_Registry.takeChanges();
    m_Registry.takeEvents();
  }

  /// \returns the bytes of the given values that are still in memory.
  std::size_t keptBytes() {
    std::erase_if(m_Values, [](const std::weak_ptr<const std::string> &Each) {
      return Each.expired();
    });
    std::size_t Result = 0;
    for (const std::weak_ptr<const std::string> &Each : m_Values)
      Result += Each.lock()->size();
    return Result;
  }

  /// \returns the number of removals and departures kept for others.
  std::size_t keptRemovals() {
    return m_Registry.changesFor(m_At).m_Records.size() +
           m_Registry.makePush({}, m_Now).m_Departures.size();
  }

  platform::PlatformRecordDecoder m_Decoder;
  Registry m_Registry;
  core::TimePoint m_Now{std::chrono::seconds(100)};
  Revision m_At = FirstRevision;

private:
  static core::RegistryOptions options(bool DefersLargeRecords) {
    core::RegistryOptions Result;
    Result.m_DefersLargeRecords = DefersLargeRecords;
    return Result;
  }

  std::vector<std::weak_ptr<const std::string>> m_Values;
};

} // namespace

TEST_CASE("what is kept of a large record goes with it") {
  bool Defers = false;
  SUBCASE("decoded at once") {}
  SUBCASE("decoded later") { Defers = true; }
  for (const bool IsDecoded : {false, true}) {
    for (const char *Way : {"watch", "listing", "history", "feed", "peer"}) {
      CAPTURE(IsDecoded);
      CAPTURE(Way);
      Node World(Defers);
      const std::size_t Before = World.keptBytes();
      World.put("servers/i-2", unreadable(1));
      World.put("servers/i-2", unreadable(2));
      World.put("servers/i-3", targetJson("10.1.0.8:8301", LargeBytes));
      World.put("other/key", unreadable(3));
      if (IsDecoded)
        World.settle();
      CHECK(World.keptBytes() > Before);
      World.removeBy(Way);
      World.settle();
      CHECK(World.keptBytes() == Before);
    }
  }
}

TEST_CASE("a large record is gone once its key has a small one") {
  Node World;
  const std::size_t Before = World.keptBytes();
  World.put("servers/i-2", unreadable(1));
  World.put("servers/i-2", "x");
  World.settle();
  CHECK(World.keptBytes() == Before + 1);
  // Its followers are sent the small one with the other small records.
  CHECK_FALSE(World.m_Registry.changesFor(FirstRevision)
                  .m_Large.contains("servers/i-2"));
  CHECK(World.m_Registry.changesFor(FirstRevision).m_Patches.empty());
}

TEST_CASE("a small record that replaces a large one is decoded once") {
  Node World(true);
  World.put("servers/i-2", unreadable(1));
  World.put("servers/i-2", "x");
  World.m_Registry.onTick(World.m_Now);
  CHECK(World.m_Registry.takeEvents().size() == 1);
}

TEST_CASE("older values are kept of configurations only") {
  for (const bool Defers : {false, true}) {
    CAPTURE(Defers);
    Node World(Defers);
    const std::size_t Before = World.keptBytes();
    constexpr int Values = 3;
    std::size_t Newest = 0;
    for (int Index = 0; Index < Values; ++Index) {
      World.put("servers/i-2", unreadable(1));
      World.put("other/key", unreadable(1));
      World.put("servers/i-3", targetJson("10.1.0.8:8301", LargeBytes));
      World.settle();
      if (Index == 0)
        Newest = World.keptBytes();
      CHECK(World.keptBytes() == Newest);
    }
    for (int Version = 2; Version < 2 + Values; ++Version) {
      World.put(ConfigurationKey, configurationJson(Version));
      World.settle();
    }
    CHECK(World.keptBytes() == Newest + Values * Before);
    // A faulty one leaves the values from which the next one is patched.
    World.put(ConfigurationKey, unreadable(2));
    World.settle();
    World.put(ConfigurationKey, configurationJson(2 + Values));
    const auto Changes = World.m_Registry.takeChanges();
    REQUIRE(Changes.m_Patches.size() == 1);
    CHECK(Changes.m_Patches.front().m_Base > FirstRevision);
  }
}

TEST_CASE("a follower learns of the removal of a large record") {
  Node Sender;
  Node Follower;
  for (Node *Each : {&Sender, &Follower})
    Each->put("servers/i-2", unreadable(1));
  Sender.settle();
  Sender.remove("servers/i-2");
  SUBCASE("that follows already") {
    core::RecordChanges Changes = Sender.m_Registry.takeChanges();
    Changes.m_IsComplete = true;
    Follower.m_Registry.applyFeed(Changes, Sender.m_At, Follower.m_Now);
  }
  SUBCASE("that has just begun to follow") {
    Follower.m_Registry.applyFeed(Sender.m_Registry.changesFor(Follower.m_At),
                                  Sender.m_At, Follower.m_Now);
  }
  CHECK(Follower.m_Registry.revision() == Sender.m_At);
  CHECK(Follower.m_Registry.records().size() == 1);
}

TEST_CASE("a large record that is back is sent whole to followers") {
  Node Sender;
  Node Follower;
  for (Node *Each : {&Sender, &Follower})
    Each->put("servers/i-2", unreadable(1));
  Sender.settle();
  Sender.remove("servers/i-2");
  Sender.put("servers/i-2", unreadable(2));
  core::RecordChanges Changes = Sender.m_Registry.takeChanges();
  Changes.m_IsComplete = true;
  REQUIRE(Changes.m_Patches.size() == 1);
  CHECK(Changes.m_Patches.front().m_Base == 0);
  Follower.m_Registry.applyFeed(Changes, Sender.m_At, Follower.m_Now);
  CHECK(Follower.m_Registry.revision() == Sender.m_At);
  CHECK(Follower.m_Registry.records() == Sender.m_Registry.records());
}

TEST_CASE("a day of starts leaves no more than a tenth of it") {
  constexpr int Starts = 100'000;
  constexpr std::chrono::seconds Day = std::chrono::hours(24);
  // Each entry is removed some starts later, so that ten are there at a time.
  constexpr int Present = 10;
  Node World;
  const auto KeyOf = [](int Index) {
    return "servers/i-" + std::to_string(Index);
  };
  const auto ValueOf = [](int Index) {
    const std::string Address =
        "10.1." + std::to_string(Index % 200) + ".8:8301";
    switch (Index % 4) {
    case 0:
      return unreadable(0);
    case 1:
      return targetJson(Address, LargeBytes);
    case 2:
      return targetJson(Address);
    default:
      return std::string("{");
    }
  };
  std::size_t Tenth = 0;
  std::size_t TenthRemovals = 0;
  for (int Index = 0; Index < Starts; ++Index) {
    World.m_Now += std::chrono::duration_cast<core::Duration>(Day) / Starts;
    World.put(KeyOf(Index), ValueOf(Index));
    if (Index >= Present)
      World.remove(KeyOf(Index - Present));
    World.settle();
    if (Index + 1 != Starts / 10)
      continue;
    Tenth = World.keptBytes();
    TenthRemovals = World.keptRemovals();
  }
  MESSAGE("bytes at a tenth of the day: " << Tenth << ", at its end: "
                                          << World.keptBytes());
  CHECK(World.keptBytes() <= Tenth);
  CHECK(World.m_Registry.records().size() == Present + 1);
  CHECK(TenthRemovals <= 2 * core::registry::MaxRemovalHistory);
  CHECK(World.keptRemovals() <= 2 * core::registry::MaxRemovalHistory);
}
