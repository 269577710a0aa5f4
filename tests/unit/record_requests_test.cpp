// Requests for records that other nodes claim to hold.
#include "core/registry/limits.h"
#include "dandelionfall/core/store_replica.h"
#include "store_reader_fixture.h"

#include <doctest/doctest.h>

using namespace dandelionfall;
using namespace dandelionfall::test;
using core::registry::PeerPullTimeout;

namespace {

core::StoreRecord record(const std::string &Key, core::Revision At) {
  return {Key, At, std::make_shared<const std::string>("{}")};
}

class IgnoringDecoder : public core::RecordDecoder {
public:
  core::DecodedRecord
  decode(const core::StoreRecord & /*Record*/) const override {
    return core::IgnoredRecord{};
  }
};

constexpr core::LinkId First = core::FirstInboundLink;
constexpr core::LinkId Second = First + 1;

/// A node that the store no longer answers and that others follow.
struct CutReplica {
  CutReplica() : m_Replica(m_Decoder, options()) {
    m_Replica.start(m_Now);
    const auto Listings = select<core::ListRecords>(m_Replica.takeCommands());
    REQUIRE(Listings.size() == 1);
    core::StoreReply Listed;
    Listed.m_Call = Listings[0].m_Call;
    Listed.m_Outcome = core::StoreOutcome::Answered;
    Listed.m_Records = {record("a", 7)};
    Listed.m_AsOf = 7;
    m_Replica.onStoreReply(Listed, m_Now);
    const auto Watches = select<core::WatchRecords>(m_Replica.takeCommands());
    REQUIRE(!Watches.empty());
    core::StoreReply Failed;
    Failed.m_Call = Watches[0].m_Call;
    m_Replica.onStoreReply(Failed, m_Now);
    m_Replica.takeCommands();
  }

  static core::StoreReplicaOptions options() {
    core::StoreReplicaOptions Options;
    Options.m_LinkAddress = "10.0.0.1:7620";
    Options.m_Zone = "a";
    Options.m_MaxFollowers = 8;
    return Options;
  }

  void follow(core::LinkId Link, core::Revision Held) {
    core::FollowRevisions Request;
    Request.m_Held = Held;
    m_Replica.onMessage(Link, Request, m_Now);
  }

  /// \returns the links on which records have been requested.
  std::vector<core::LinkId> asked() {
    std::vector<core::LinkId> Result;
    for (const core::SendControl &Each :
         select<core::SendControl>(m_Replica.takeCommands())) {
      if (std::holds_alternative<core::RecordsPull>(Each.m_Message))
        Result.push_back(Each.m_Link);
    }
    return Result;
  }

  TimePoint m_Now = Start;
  IgnoringDecoder m_Decoder;
  core::StoreReplica m_Replica;
};

using Links = std::vector<core::LinkId>;

} // namespace

TEST_CASE("a follower that has nothing does not delay one that has") {
  CutReplica World;
  World.follow(First, 9);
  CHECK(World.asked() == Links{First});
  World.follow(Second, 10);
  CHECK(World.asked().empty());
  SUBCASE("it sends nothing newer") {
    World.m_Replica.onMessage(First, core::RecordsPush{7, false, {}},
                              World.m_Now);
    CHECK(World.asked() == Links{Second});
  }
  SUBCASE("it ends") {
    World.m_Replica.onLinkClosed(First, World.m_Now);
    CHECK(World.asked() == Links{Second});
  }
  SUBCASE("it does not answer") {
    World.m_Now += PeerPullTimeout;
    World.m_Replica.onTick(World.m_Now);
    CHECK(World.asked() == Links{Second});
  }
}

TEST_CASE("what one follower has sent is requested of no other") {
  CutReplica World;
  World.follow(First, 10);
  World.follow(Second, 10);
  CHECK(World.asked() == Links{First});
  World.m_Replica.onMessage(
      First, core::RecordsPush{10, false, {record("b", 10)}}, World.m_Now);
  CHECK(World.asked().empty());
  World.m_Now += PeerPullTimeout;
  World.m_Replica.onTick(World.m_Now);
  CHECK(World.asked().empty());
}

TEST_CASE("a follower that has nothing is asked once in a while") {
  CutReplica World;
  std::size_t Asked = 0;
  for (int Count = 0; Count < 40; ++Count) {
    World.follow(First, 9);
    for (const core::LinkId Link : World.asked()) {
      ++Asked;
      World.m_Replica.onMessage(Link, core::RecordsPush{7, false, {}},
                                World.m_Now);
    }
    World.m_Now += PeerPullTimeout / 20;
  }
  CHECK(Asked == 2);
}
