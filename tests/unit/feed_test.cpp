// Who reads the store, and what followers do when their reader is lost.
#include "dandelionfall/core/feed.h"

#include "dandelionfall/core/control_message.h"
#include "dandelionfall/net/codec.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace dandelionfall;
using namespace dandelionfall::core;
using std::chrono::milliseconds;

namespace {

const std::vector<std::string> Hosts = {"10.1.0.1:7620", "10.1.0.2:7620",
                                        "10.1.0.3:7620", "10.1.0.4:7620"};
const TimePoint Begin{std::chrono::seconds(100)};

template <typename Command>
std::vector<Command> only(const std::vector<FeedCommand> &All) {
  std::vector<Command> Result;
  for (const FeedCommand &Each : All) {
    if (const auto *Found = std::get_if<Command>(&Each))
      Result.push_back(*Found);
  }
  return Result;
}

/// A node that follows the reader of its availability zone.
struct Follower {
  Follower() {
    for (const std::string &Address : Hosts) {
      m_Feed = Feed(Address);
      m_Feed.onHosts(Hosts, Begin);
      const auto Follows = only<FollowPeer>(m_Feed.takeCommands());
      if (Follows.empty())
        continue;
      m_Reader = Follows.front().m_Address;
      return;
    }
  }
  Feed m_Feed{""};
  std::string m_Reader;
};

} // namespace

TEST_CASE("one node of an availability zone reads, the others follow it") {
  std::size_t Readers = 0;
  std::vector<std::string> Followed;
  for (const std::string &Address : Hosts) {
    Feed Each(Address);
    CHECK(Each.reads());
    Each.onHosts(Hosts, Begin);
    const auto Follows = only<FollowPeer>(Each.takeCommands());
    Readers += Follows.empty();
    for (const FollowPeer &Command : Follows)
      Followed.push_back(Command.m_Address);
  }
  CHECK(Readers == 1);
  REQUIRE(Followed.size() == 3);
  CHECK(std::count(Followed.begin(), Followed.end(), Followed.front()) == 3);
}

TEST_CASE("a follower reads on until its reader has shown fresh records") {
  Follower World;
  REQUIRE_FALSE(World.m_Reader.empty());
  CHECK(World.m_Feed.reads());
  World.m_Feed.onPush(milliseconds(1400), Begin + milliseconds(10));
  CHECK(World.m_Feed.reads());
  World.m_Feed.onPush(milliseconds(100), Begin + milliseconds(20));
  CHECK_FALSE(World.m_Feed.reads());
  CHECK(only<ReadStore>(World.m_Feed.takeCommands()) ==
        std::vector<ReadStore>{{false}});
}

TEST_CASE("a follower whose reader is lost reads at once") {
  Follower World;
  World.m_Feed.onPush(milliseconds(0), Begin);
  World.m_Feed.takeCommands();
  TimePoint Noticed = Begin;
  SUBCASE("its link closes") { World.m_Feed.onPeerLost(Begin); }
  SUBCASE("it falls silent") {
    REQUIRE(World.m_Feed.nextWakeUp().has_value());
    Noticed = *World.m_Feed.nextWakeUp();
    CHECK(Noticed <= Begin + milliseconds(1500));
    World.m_Feed.onTick(Noticed);
  }
  SUBCASE("it has lost the store itself") {
    Noticed = Begin + milliseconds(1500);
    for (int Ms = 300; Ms <= 1500; Ms += 300) {
      World.m_Feed.onPush(milliseconds(Ms), Begin + milliseconds(Ms));
      World.m_Feed.onTick(Begin + milliseconds(Ms));
    }
  }
  CHECK(World.m_Feed.reads());
  CHECK(only<ReadStore>(World.m_Feed.takeCommands()) ==
        std::vector<ReadStore>{{true}});
  // For a while it relies on nobody.
  World.m_Feed.onHosts(Hosts, Noticed + milliseconds(100));
  CHECK(only<FollowPeer>(World.m_Feed.takeCommands()).empty());
  World.m_Feed.onTick(Noticed + std::chrono::seconds(6));
  CHECK(only<FollowPeer>(World.m_Feed.takeCommands()).size() == 1);
}

TEST_CASE("a follower tells its own followers the age of what it has") {
  Follower World;
  World.m_Feed.onPush(milliseconds(200), Begin);
  CHECK(World.m_Feed.age(std::nullopt, Begin + milliseconds(100)) ==
        milliseconds(300));
  Feed Reader("10.1.0.9:7620");
  CHECK(Reader.age(Begin, Begin + milliseconds(50)) == milliseconds(50));
  CHECK(Reader.age(std::nullopt, Begin) == Duration::max());
}

TEST_CASE("records of a store pass between nodes unchanged") {
  RecordsPush Push;
  Push.m_AsOf = 12;
  Push.m_Whole = true;
  Push.m_Age = milliseconds(3);
  Push.m_Records = {{"a", 3, std::make_shared<const std::string>("\0x", 2)},
                    {"b", 4, nullptr}};
  const std::string Frame = net::encodeFrame(ControlMessage(Push), 1);
  const net::DecodedFrame Read =
      net::decodeFrame(std::string_view(Frame).substr(net::FrameHeaderBytes));
  const auto &Message = std::get<ControlMessage>(Read.m_Message);
  const auto &Back = std::get<RecordsPush>(Message);
  CHECK(Back.m_AsOf == 12);
  CHECK(Back.m_Whole);
  CHECK(Back.m_Age == milliseconds(3));
  REQUIRE(Back.m_Records.size() == 2);
  CHECK(*Back.m_Records[0].m_Value == std::string("\0x", 2));
  CHECK(Back.m_Records[1].m_Value == nullptr);
  const std::string Asked =
      net::encodeFrame(ControlMessage(RecordsPull{7, true}), 1);
  const net::DecodedFrame Question =
      net::decodeFrame(std::string_view(Asked).substr(net::FrameHeaderBytes));
  CHECK(std::get<RecordsPull>(std::get<ControlMessage>(Question.m_Message)) ==
        RecordsPull{7, true});
}
