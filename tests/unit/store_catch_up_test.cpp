// How a reader watches the store while other nodes announce revisions or send
// changes.
#include "core/registry/limits.h"
#include "dandelionfall/core/peer_pull.h"
#include "store_reader_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

using namespace dandelionfall::core;
using namespace dandelionfall::core::registry;
using namespace dandelionfall::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a follower watches serializably and reads what it is told to lack") {
  ReaderFixture World;
  World.takeWatches();
  World.follow();
  auto Watches = World.takeWatches();
  REQUIRE(Watches.size() == 1);
  CHECK(Watches[0].m_Consistency == ReadConsistency::Serializable);
  World.m_Reader.onNewerRevision(8, World.m_Now);
  REQUIRE(World.m_Reader.nextWakeUp().has_value());
  World.m_Now = *World.m_Reader.nextWakeUp();
  CHECK(World.m_Now - Start <= seconds(1));
  World.m_Reader.onTick(World.m_Now);
  const auto Commands = World.m_Reader.takeCommands();
  CHECK(select<AbandonCall>(Commands) ==
        std::vector<AbandonCall>{{Watches[0].m_Call}});
  Watches = select<WatchRecords>(Commands);
  REQUIRE(Watches.size() == 1);
  CHECK(Watches[0].m_Consistency == ReadConsistency::Linearizable);
  CHECK(Watches[0].m_Wait == Duration{0});
  World.reply(8);
  CHECK(World.m_Reader.confirmedAt() == World.m_Now);
  World.m_Now = *World.m_Reader.nextWakeUp();
  World.m_Reader.onTick(World.m_Now);
  Watches = World.takeWatches();
  REQUIRE(Watches.size() == 1);
  CHECK(Watches[0].m_Consistency == ReadConsistency::Serializable);
}

TEST_CASE(
    "a follower that received the announced revision reads nothing more") {
  ReaderFixture World;
  World.follow();
  World.m_Reader.onNewerRevision(8, World.m_Now);
  World.reply(8);
  const std::uint64_t Calls = World.m_Reader.calls();
  for (int Count = 0; Count < 120; ++Count) {
    World.m_Now += milliseconds(10);
    World.m_Reader.onTick(World.m_Now);
  }
  const auto Watches = World.takeWatches();
  CHECK(World.m_Reader.calls() == Calls + 1);
  CHECK(Watches.back().m_Consistency == ReadConsistency::Serializable);
}

TEST_CASE("a revision announced during a watch is waited for in full") {
  ReaderFixture World;
  World.follow();
  World.m_Reader.onNewerRevision(8, World.m_Now);
  World.m_Now += milliseconds(300);
  World.m_Reader.onNewerRevision(9, World.m_Now);
  World.reply(8);
  const TimePoint Announced = World.m_Now;
  const std::uint64_t Calls = World.m_Reader.calls();
  while (World.m_Now < Announced + FollowerWatchInterval - milliseconds(1)) {
    World.m_Now += milliseconds(1);
    World.m_Reader.onTick(World.m_Now);
    CHECK(World.m_Reader.calls() == Calls);
  }
}

TEST_CASE("a watch issued after the announcement is given time to reply") {
  ReaderFixture World;
  World.follow();
  World.m_Reader.onNewerRevision(8, World.m_Now);
  World.reply(8);
  World.m_Reader.onNewerRevision(9, World.m_Now + milliseconds(10));
  World.m_Now += FollowerWatchInterval;
  World.m_Reader.onTick(World.m_Now);
  CHECK(World.takeWatches().back().m_Consistency ==
        ReadConsistency::Serializable);
  const TimePoint Called = World.m_Now;
  const std::uint64_t Calls = World.m_Reader.calls();
  World.m_Now = Called + CatchUpDelay - milliseconds(1);
  World.m_Reader.onTick(World.m_Now);
  CHECK(World.m_Reader.calls() == Calls);
  World.m_Now = Called + CatchUpDelay;
  World.m_Reader.onTick(World.m_Now);
  CHECK(World.takeWatches().back().m_Consistency ==
        ReadConsistency::Linearizable);
}

TEST_CASE("a pull waits for the store if the store answers") {
  PeerPull Pull;
  Pull.setStoreAnswers(true);
  Pull.onPeerRevision(8, "10.1.0.9:7620", 7, Start);
  CHECK(Pull.nextWakeUp() == Start + PeerPullDelayIfAnswering);
  Pull.setStoreAnswers(false);
  CHECK(Pull.nextWakeUp() == Start + PeerPullDelay);
}

TEST_CASE("a pull is due only for a revision that is still missing") {
  PeerPull Pull;
  Pull.onPeerRevision(8, "10.1.0.9:7620", 7, Start);
  Pull.onPeerRevision(9, "10.1.0.9:7620", 8, Start + milliseconds(500));
  CHECK_FALSE(Pull.takeDuePeer(8, Start + PeerPullDelay).has_value());
  REQUIRE(Pull.nextWakeUp().has_value());
  CHECK(*Pull.nextWakeUp() == Start + milliseconds(500) + PeerPullDelay);
  CHECK(Pull.takeDuePeer(8, *Pull.nextWakeUp()).has_value());
}

TEST_CASE("a pending watch that brings no announced revision is replaced") {
  for (const WatchMode Mode : {WatchMode::Alone, WatchMode::Publishing}) {
    ReaderFixture World;
    World.m_Reader.setMode(Mode, World.m_Now);
    World.takeWatches();
    World.m_Reader.onNewerRevision(8, World.m_Now);
    REQUIRE(World.m_Reader.nextWakeUp().has_value());
    World.m_Now = *World.m_Reader.nextWakeUp();
    World.m_Reader.onTick(World.m_Now);
    CHECK(World.takeWatches().size() == 1);
  }
}

TEST_CASE("a revision that the store disproves is not asked for again") {
  ReaderFixture World;
  World.follow();
  World.m_Reader.onNewerRevision(99, World.m_Now);
  World.m_Now = *World.m_Reader.nextWakeUp();
  World.m_Reader.onTick(World.m_Now);
  World.reply(7);
  const std::uint64_t Calls = World.m_Reader.calls();
  for (int Count = 0; Count < 20; ++Count) {
    World.m_Reader.onNewerRevision(99, World.m_Now);
    World.m_Now += milliseconds(250);
    World.m_Reader.onTick(World.m_Now);
  }
  CHECK(World.m_Reader.calls() <= Calls + 1);
}

TEST_CASE("a disproved revision hides no lower one") {
  ReaderFixture World;
  World.follow();
  World.m_Reader.onNewerRevision(~Revision{0}, World.m_Now);
  World.m_Now = *World.m_Reader.nextWakeUp();
  World.m_Reader.onTick(World.m_Now);
  World.reply(7);
  World.takeWatches();
  World.m_Reader.onNewerRevision(8, World.m_Now);
  World.m_Now += seconds(1);
  World.m_Reader.onTick(World.m_Now);
  const auto Watches = World.takeWatches();
  REQUIRE_FALSE(Watches.empty());
  CHECK(Watches.back().m_Consistency == ReadConsistency::Linearizable);
}

TEST_CASE("a follower without reliable feeds asks the store at once") {
  ReaderFixture World;
  World.follow();
  World.takeWatches();
  for (const WatchMode Mode : {WatchMode::Alone, WatchMode::Publishing}) {
    World.m_Reader.setMode(WatchMode::Following, World.m_Now);
    World.m_Reader.setMode(Mode, World.m_Now);
    const auto Watches = World.takeWatches();
    REQUIRE(Watches.size() <= 1);
    if (!Watches.empty()) {
      CHECK(Watches[0].m_Consistency == ReadConsistency::Linearizable);
      CHECK(Watches[0].m_Wait == Duration{0});
    }
    CHECK(World.m_Reader.calls() == 4);
  }
}

TEST_CASE("later pages of a listing cost little and are never older") {
  StoreReader Reader(1);
  Reader.start(Start);
  const auto Answer = [&Reader](Revision AsOf, const std::string &Key,
                                bool HasMore) {
    StoreReply Reply;
    Reply.m_Call = Reader.calls();
    Reply.m_Outcome = StoreOutcome::Answered;
    Reply.m_Records = {{Key, 1, std::make_shared<const std::string>("{}")}};
    Reply.m_AsOf = AsOf;
    Reply.m_HasMore = HasMore;
    Reader.onReply(std::move(Reply), Start);
    return Reader.takeCommands();
  };
  CHECK(select<ListRecords>(Reader.takeCommands()).at(0).m_Consistency ==
        ReadConsistency::Linearizable);
  const auto Second = select<ListRecords>(Answer(7, "a", true));
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].m_Consistency == ReadConsistency::Serializable);
  // A page older than the first is read again.
  const auto Again = select<ListRecords>(Answer(6, "b", false));
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].m_Consistency == ReadConsistency::Linearizable);
  CHECK(Again[0].m_After == "a");
  const auto Read = select<RecordsRead>(Answer(8, "b", false));
  REQUIRE(Read.size() == 1);
  CHECK(Read[0].m_Records.size() == 2);
  CHECK(Read[0].m_AsOf == 7);
}

TEST_CASE("a replica of the store that lags behind is not called in a loop") {
  ReaderFixture World;
  World.follow();
  const std::uint64_t Before = World.m_Reader.calls();
  const auto Count = [&](StoreOutcome Outcome) {
    while (World.m_Now < Start + seconds(10)) {
      for (const WatchRecords &Each : World.takeWatches()) {
        const bool IsStale =
            Each.m_Consistency == ReadConsistency::Serializable;
        World.m_Now += IsStale ? milliseconds(4) : Each.m_Wait;
        World.reply(IsStale ? 3 : 7,
                    IsStale ? Outcome : StoreOutcome::Answered);
      }
      World.m_Now += milliseconds(10);
      World.m_Reader.onTick(World.m_Now);
      if (World.m_Reader.calls() > Before + 100)
        break;
    }
    return World.m_Reader.calls() - Before;
  };
  SUBCASE("it answers without a wait") {
    CHECK(Count(StoreOutcome::Answered) < 30);
  }
  SUBCASE("it refuses the revision") {
    CHECK(Count(StoreOutcome::HistoryCompacted) < 30);
  }
}

TEST_CASE("a follower that is sent all changes makes no calls until one is "
          "missing") {
  ReaderFixture World;
  World.follow();
  auto Watches = World.takeWatches();
  REQUIRE(!Watches.empty());
  World.m_Reader.setMode(WatchMode::Fed, World.m_Now);
  CHECK(select<AbandonCall>(World.m_Reader.takeCommands()) ==
        std::vector<AbandonCall>{{Watches.back().m_Call}});
  World.m_Reader.onNewerRevision(8, World.m_Now);
  World.m_Reader.onPeerRecords(8, World.m_Now);
  World.m_Reader.onTick(World.m_Now + seconds(20));
  CHECK(World.m_Reader.takeCommands().empty());
  World.m_Now += seconds(20);
  World.m_Reader.onNewerRevision(9, World.m_Now);
  REQUIRE(World.m_Reader.nextWakeUp() == World.m_Now + FedCatchUpDelay);
  World.m_Now += FedCatchUpDelay;
  World.m_Reader.onTick(World.m_Now);
  Watches = World.takeWatches();
  REQUIRE(Watches.size() == 1);
  CHECK(Watches[0].m_Consistency == ReadConsistency::Linearizable);
  SUBCASE("the store has it") {
    World.reply(9);
    World.m_Reader.onTick(World.m_Now + seconds(20));
    CHECK(World.takeWatches().empty());
  }
  SUBCASE("the feed brings it first") {
    World.m_Reader.onPeerRecords(9, World.m_Now);
    World.m_Reader.onTick(World.m_Now + seconds(20));
    CHECK(World.takeWatches().empty());
  }
  SUBCASE("the call fails and is repeated") {
    World.reply(0, StoreOutcome::Failed);
    REQUIRE(World.m_Reader.nextWakeUp().has_value());
    World.m_Reader.onTick(*World.m_Reader.nextWakeUp());
    CHECK(World.takeWatches().size() == 1);
  }
  SUBCASE("no feed is left") {
    World.reply(9);
    World.m_Reader.takeCommands();
    World.m_Reader.setMode(WatchMode::Alone, World.m_Now);
    Watches = World.takeWatches();
    REQUIRE(Watches.size() == 1);
    CHECK(Watches[0].m_Consistency == ReadConsistency::Linearizable);
    CHECK(Watches[0].m_Wait == Duration{0});
  }
}

TEST_CASE("a reader lists instead of repeating a watch whose reply is too "
          "large") {
  ReaderFixture World;
  World.m_Reader.takeCommands();
  World.reply(0, StoreOutcome::TooLarge);
  auto Commands = World.m_Reader.takeCommands();
  CHECK(select<ListRecords>(Commands).size() == 1);
  CHECK(select<WatchRecords>(Commands).empty());
  CHECK(World.m_Reader.isReachable());
  SUBCASE("a page that is too large is a failure, repeated with a delay") {
    World.reply(0, StoreOutcome::TooLarge);
    Commands = World.m_Reader.takeCommands();
    CHECK(select<ListRecords>(Commands).empty());
    REQUIRE(World.m_Reader.nextWakeUp().has_value());
    CHECK(*World.m_Reader.nextWakeUp() > World.m_Now);
  }
  SUBCASE("it watches again once the records were listed") {
    World.reply(9);
    CHECK(World.takeWatches().back().m_After == 9);
  }
}

TEST_CASE("a reader lists while large records change faster than it reads") {
  const auto Large = [](Revision At) {
    return StoreRecord{"configuration", At,
                       std::make_shared<const std::string>(100'000, 'x')};
  };
  ReaderFixture World;
  World.m_Reader.takeCommands();
  World.replyWith({Large(8), Large(9)}, 9);
  CHECK(select<ListRecords>(World.m_Reader.takeCommands()).size() == 1);
  World.replyWith({Large(12)}, 12);
  CHECK(World.m_Reader.takeCommands().size() == 1);
  REQUIRE(World.m_Reader.nextWakeUp().has_value());
  World.m_Now = *World.m_Reader.nextWakeUp();
  CHECK(World.m_Now - Start >= MinWatchInterval);
  World.m_Reader.onTick(World.m_Now);
  CHECK(select<ListRecords>(World.m_Reader.takeCommands()).size() == 1);
  World.replyWith({Large(12)}, 13);
  CHECK(World.takeWatches().back().m_After == 13);
}

TEST_CASE("a fed node that listed once catches up again") {
  ReaderFixture World;
  World.follow();
  World.m_Reader.setMode(WatchMode::Fed, World.m_Now);
  World.m_Reader.takeCommands();
  for (const Revision Announced : {Revision{8}, Revision{12}}) {
    World.m_Reader.onNewerRevision(Announced, World.m_Now);
    World.m_Now += FedCatchUpDelay;
    World.m_Reader.onTick(World.m_Now);
    CHECK(World.takeWatches().size() == 1);
    World.reply(0, StoreOutcome::TooLarge);
    CHECK(select<ListRecords>(World.m_Reader.takeCommands()).size() == 1);
    World.replyWith({{"configuration", Announced,
                      std::make_shared<const std::string>(100'000, 'x')}},
                    Announced);
    World.m_Reader.takeCommands();
    World.m_Reader.onTick(World.m_Now + seconds(20));
    CHECK(World.m_Reader.takeCommands().empty());
  }
}
