// Records that followed nodes send: patches, and when nothing is missing.
#include "core/registry/limits.h"
#include "dandelionfall/core/registry.h"

#include <doctest/doctest.h>

using namespace dandelionfall::core;

namespace {

constexpr TimePoint Now{std::chrono::seconds(100)};

/// A large record holds the configuration's version, then filler.
class Decoder : public RecordDecoder {
public:
  DecodedRecord decode(const StoreRecord &Record) const override {
    if (Record.m_Key != "configuration")
      return IgnoredRecord{};
    auto Result = std::make_shared<PublishedConfiguration>();
    Result->m_Version = std::stoull(*Record.m_Value);
    Result->m_Routes = std::make_shared<const std::vector<Route>>();
    return std::shared_ptr<const PublishedConfiguration>(Result);
  }
};

StoreRecord configuration(Revision At, int Version) {
  std::string Value = std::to_string(Version) + " ";
  for (int Index = 0; Index < 2000; ++Index)
    Value += std::to_string(Index) + ",";
  return {"configuration", At,
          std::make_shared<const std::string>(std::move(Value))};
}

StoreRecord entry(Revision At, const std::string &Value) {
  return {"target/1", At, std::make_shared<const std::string>(Value)};
}

struct Node {
  Node() {
    m_Registry.replaceAll({configuration(1, 1), entry(2, "ready")}, 5, Now);
    m_Registry.dropChanges();
  }
  Version version() const { return m_Registry.version(); }

  Decoder m_Decoder;
  Registry m_Registry{m_Decoder, {}};
};

} // namespace

TEST_CASE("a follower holds the sender's revision once nothing is missing") {
  Node Sender;
  Node Follower;
  Sender.m_Registry.apply({configuration(7, 2), entry(8, "draining")}, 9, Now);
  RecordChanges Changes = Sender.m_Registry.takeChanges();
  REQUIRE(Changes.m_Patches.size() == 1);
  CHECK(Changes.m_Patches[0].m_Base == 1);
  SUBCASE("all of it") {
    Changes.m_IsComplete = true;
    CHECK(Follower.m_Registry.applyFeed(Changes, 9, Now));
    CHECK(Follower.m_Registry.revision() == 9);
    CHECK(Follower.version() == 2);
    CHECK(*Follower.m_Registry.records().at("target/1").m_Value == "draining");
    CHECK_FALSE(Follower.m_Registry.applyFeed(Changes, 9, Now));
  }
  SUBCASE("the sender may lack small records") {
    Follower.m_Registry.applyFeed(Changes, 9, Now);
    CHECK(Follower.version() == 2);
    CHECK(Follower.m_Registry.revision() == 5);
  }
  SUBCASE("the large record is missing") {
    Changes.m_IsComplete = true;
    Changes.m_Patches.clear();
    Follower.m_Registry.applyFeed(Changes, 9, Now);
    CHECK(Follower.version() == 1);
    CHECK(Follower.m_Registry.revision() == 5);
  }
  SUBCASE("the follower has another base") {
    Follower.m_Registry.apply({configuration(6, 7)}, 6, Now);
    Changes.m_IsComplete = true;
    Changes.m_Patches[0].m_Base = 3;
    Follower.m_Registry.applyFeed(Changes, 9, Now);
    CHECK(Follower.version() == 7);
    CHECK(Follower.m_Registry.revision() == 6);
  }
  SUBCASE("the follower has a newer value than the base") {
    Follower.m_Registry.apply({configuration(6, 2)}, 6, Now);
    Changes.m_IsComplete = true;
    Follower.m_Registry.applyFeed(Changes, 9, Now);
    CHECK(Follower.m_Registry.revision() == 9);
    CHECK(*Follower.m_Registry.records().at("configuration").m_Value ==
          *Sender.m_Registry.records().at("configuration").m_Value);
  }
  SUBCASE("a patch with another digest changes nothing") {
    Changes.m_IsComplete = true;
    ++Changes.m_Patches[0].m_Patch.m_Digest;
    Follower.m_Registry.applyFeed(Changes, 9, Now);
    CHECK(Follower.version() == 1);
    CHECK(Follower.m_Registry.revision() == 5);
  }
  SUBCASE("a node that holds nothing is not made to hold a revision") {
    Decoder Decodes;
    Registry Empty(Decodes, {});
    Changes.m_IsComplete = true;
    Changes.m_Large.clear();
    Empty.applyFeed(Changes, 9, Now);
    CHECK(Empty.revision() == 0);
  }
}

TEST_CASE("a new follower is sent what it lacks") {
  Node Sender;
  Sender.m_Registry.apply({configuration(7, 2)}, 7, Now);
  Sender.m_Registry.apply({configuration(8, 3), {"target/1", 9, nullptr}}, 9,
                          Now);
  const RecordChanges Lacking = Sender.m_Registry.changesFor(7);
  CHECK(Lacking.m_IsComplete);
  REQUIRE(Lacking.m_Patches.size() == 1);
  CHECK(Lacking.m_Patches[0].m_Base == 7);
  REQUIRE(Lacking.m_Records.size() == 1);
  CHECK(Lacking.m_Records[0].m_Value == nullptr);
  CHECK(Sender.m_Registry.changesFor(5).m_Patches.at(0).m_Base == 1);
  CHECK(Sender.m_Registry.changesFor(9).m_Patches.empty());
  // Removals before the sender's own listing are unknown to it.
  CHECK_FALSE(Sender.m_Registry.changesFor(4).m_IsComplete);
  CHECK_FALSE(Sender.m_Registry.changesFor(0).m_IsComplete);
}

TEST_CASE("a follower is sent a patch from a value that it holds") {
  Node Sender;
  Sender.m_Registry.apply({configuration(6, 2)}, 6, Now);
  Sender.m_Registry.apply({configuration(8, 4)}, 8, Now);
  Node Follower;
  // The sender skipped this one.
  Follower.m_Registry.apply({configuration(7, 3)}, 7, Now);
  const RecordChanges Assumed = Sender.m_Registry.changesFor(7);
  CHECK(Assumed.m_Patches.at(0).m_Base == 6);
  Follower.m_Registry.applyFeed(Assumed, 8, Now);
  CHECK(Follower.version() == 3);
  const LargeRevisions Bases = Follower.m_Registry.basesOf(Assumed.m_Large);
  const RecordChanges Stated = Sender.m_Registry.changesFor(7, true, Bases);
  CHECK(Stated.m_Patches.at(0).m_Base == 1);
  Follower.m_Registry.applyFeed(Stated, 8, Now);
  CHECK(Follower.version() == 4);
  CHECK(Follower.m_Registry.basesOf(Assumed.m_Large).at("configuration") ==
        std::vector<Revision>{1, 7, 8});
  SUBCASE("or the whole value if they have none in common") {
    const RecordChanges Whole =
        Sender.m_Registry.changesFor(7, true, {{"configuration", {7}}});
    CHECK(Whole.m_Patches.at(0).m_Base == 0);
    Node Other;
    Other.m_Registry.apply({configuration(7, 3)}, 7, Now);
    Other.m_Registry.applyFeed(Whole, 8, Now);
    CHECK(Other.version() == 4);
  }
}

TEST_CASE("a follower that is ahead is sent no patch") {
  Node Sender;
  Sender.m_Registry.apply({configuration(6, 2)}, 6, Now);
  Sender.m_Registry.apply({configuration(8, 4)}, 8, Now);
  Node Follower;
  SUBCASE("by a newer value") {
    Follower.m_Registry.apply({configuration(9, 5)}, 9, Now);
  }
  SUBCASE("by a removal") {
    Follower.m_Registry.apply({{"configuration", 9, nullptr}}, 9, Now);
  }
  SUBCASE("by a small value") {
    Follower.m_Registry.apply(
        {{"configuration", 9, std::make_shared<const std::string>("5 ")}}, 9,
        Now);
  }
  const RecordChanges Sent = Sender.m_Registry.changesFor(5);
  const LargeRevisions Bases = Follower.m_Registry.basesOf(Sent.m_Large);
  CHECK(Sender.m_Registry.changesFor(5, true, Bases).m_Patches.empty());
}
