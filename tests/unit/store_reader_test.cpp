// Listing a store, watching it for changes, and losing the connection to it.
#include "dandelionfall/core/peer_pull.h"
#include "dandelionfall/core/store_reader.h"

#include <doctest/doctest.h>

using namespace dandelionfall::core;
using std::chrono::milliseconds;

namespace {

StoreRecord record(const std::string &Key, Revision Revision) {
  return {Key, Revision, std::make_shared<const std::string>("{}")};
}

struct Fixture {
  Fixture() { m_Reader.start(m_Now); }

  template <typename Command> std::vector<Command> take() {
    std::vector<Command> Result;
    for (StoreReaderCommand &Each : m_Reader.takeCommands()) {
      if (auto *Found = std::get_if<Command>(&Each))
        Result.push_back(std::move(*Found));
    }
    return Result;
  }

  void reply(StoreOutcome Outcome, std::vector<StoreRecord> Records,
             Revision AsOf, bool More = false) {
    StoreReply Reply;
    Reply.m_Call = m_Reader.calls();
    Reply.m_Outcome = Outcome;
    Reply.m_Records = std::move(Records);
    Reply.m_AsOf = AsOf;
    Reply.m_HasMore = More;
    m_Reader.onReply(std::move(Reply), m_Now);
  }

  void waitForCall() {
    REQUIRE(m_Reader.nextWakeUp().has_value());
    m_Now = *m_Reader.nextWakeUp();
    m_Reader.onTick(m_Now);
  }

  StoreReader m_Reader{1};
  TimePoint m_Now{std::chrono::seconds(100)};
};

} // namespace

TEST_CASE("a node without records pulls from its seeds in turn") {
  const TimePoint Now{std::chrono::seconds(100)};
  PeerPull Pull({"10.1.0.1:7620", "10.2.0.1:7620"});
  Pull.start(Now);
  REQUIRE(Pull.nextWakeUp().has_value());
  CHECK_FALSE(Pull.takeDuePeer(0, Now).has_value());
  CHECK(Pull.takeDuePeer(0, *Pull.nextWakeUp()) == "10.1.0.1:7620");
  CHECK(Pull.takeDuePeer(0, *Pull.nextWakeUp()) == "10.2.0.1:7620");
  CHECK(Pull.takeDuePeer(0, *Pull.nextWakeUp()) == "10.1.0.1:7620");
  CHECK_FALSE(Pull.takeDuePeer(7, *Pull.nextWakeUp()).has_value());
  CHECK_FALSE(Pull.nextWakeUp().has_value());
}

TEST_CASE("the watch starts from the revision of the first page") {
  Fixture World;
  CHECK(World.take<ListRecords>().size() == 1);
  World.reply(StoreOutcome::Answered, {record("a", 1)}, 7, true);
  const auto Second = World.take<ListRecords>();
  REQUIRE(Second.size() == 1);
  CHECK(Second.front().m_After == "a");
  World.reply(StoreOutcome::Answered, {record("b", 8)}, 9);
  auto Commands = World.m_Reader.takeCommands();
  REQUIRE(Commands.size() == 2);
  CHECK(std::get<RecordsRead>(Commands[0]).m_Records.size() == 2);
  CHECK(std::get<RecordsRead>(Commands[0]).m_AsOf == 7);
  CHECK(std::get<WatchRecords>(Commands[1]).m_After == 7);
}

TEST_CASE("changes in quick succession are read together") {
  Fixture World;
  World.reply(StoreOutcome::Answered, {}, 7);
  World.take<WatchRecords>();
  World.reply(StoreOutcome::Answered, {record("a", 8)}, 8);
  CHECK(World.take<WatchRecords>().empty());
  World.waitForCall();
  const auto Next = World.take<WatchRecords>();
  REQUIRE(Next.size() == 1);
  CHECK(Next.front().m_After == 8);
  // A watch that ends without a change is repeated at once.
  World.reply(StoreOutcome::Answered, {}, 8);
  CHECK(World.take<WatchRecords>().size() == 1);
}

TEST_CASE("all records are listed again after history compaction") {
  Fixture World;
  World.reply(StoreOutcome::Answered, {}, 7);
  World.reply(StoreOutcome::HistoryCompacted, {}, 0);
  const auto Again = World.take<ListRecords>();
  REQUIRE(Again.size() == 2);
  CHECK(Again.back().m_After.empty());
  SUBCASE("a listing below what a peer has sent meanwhile is not reported") {
    World.m_Reader.onPeerRecords(9, World.m_Now);
    World.reply(StoreOutcome::Answered, {record("a", 1)}, 8);
    CHECK(World.take<RecordsRead>().empty());
  }
  SUBCASE("a listing below what was known before is of another history") {
    World.reply(StoreOutcome::Answered, {record("a", 1)}, 6);
    const auto Read = World.take<RecordsRead>();
    REQUIRE(Read.size() == 1);
    CHECK(Read[0].m_AsOf == makeRevision(1, 6));
    CHECK(Read[0].m_Records[0].m_Revision == makeRevision(1, 1));
  }
}

TEST_CASE("replies below the known revision are reported") {
  struct Row {
    StoreOutcome m_First;
    EventId m_Reported;
  };
  for (const Row &Each :
       {Row{StoreOutcome::HistoryCompacted, EventId::StoreHistoryReplaced},
        Row{StoreOutcome::Answered, EventId::StoreReplyDropped}}) {
    Fixture World;
    World.reply(StoreOutcome::Answered, {}, 7);
    World.m_Reader.takeCommands();
    if (Each.m_First == StoreOutcome::HistoryCompacted)
      World.reply(Each.m_First, {}, 0);
    World.reply(StoreOutcome::Answered, {}, 3);
    const auto Events = World.take<Event>();
    REQUIRE(Events.size() == 1);
    CHECK(Events[0].m_Id == Each.m_Reported);
    CHECK(Events[0].m_Detail.find("known_revision=7") != std::string::npos);
    CHECK(Events[0].m_Detail.find("as_of=3") != std::string::npos);
  }
}

TEST_CASE("an unresponsive store is called with backoff and reported") {
  Fixture World;
  Duration Longest{0};
  for (int Count = 0; Count < 20; ++Count) {
    World.reply(StoreOutcome::Failed, {}, 0);
    const TimePoint Before = World.m_Now;
    World.waitForCall();
    Longest = std::max(Longest, World.m_Now - Before);
  }
  CHECK(Longest <= milliseconds(800));
  CHECK(Longest >= milliseconds(400));
  CHECK_FALSE(World.m_Reader.isReachable());
  CHECK(World.take<StoreReachability>().size() == 1);
  World.reply(StoreOutcome::Answered, {}, 7);
  const auto Back = World.take<StoreReachability>();
  REQUIRE(Back.size() == 1);
  CHECK(Back.front().m_Reachable);
}

TEST_CASE("late replies to earlier calls are ignored") {
  Fixture World;
  StoreReply Late;
  Late.m_Call = World.m_Reader.calls();
  Late.m_Outcome = StoreOutcome::Answered;
  Late.m_Records = {record("a", 1)};
  Late.m_AsOf = 3;
  World.reply(StoreOutcome::Failed, {}, 0);
  World.waitForCall();
  World.take<ListRecords>();
  World.m_Reader.onReply(std::move(Late), World.m_Now);
  CHECK(World.m_Reader.takeCommands().empty());
}

TEST_CASE("the watch continues from the revision of a peer's records") {
  Fixture World;
  World.m_Reader.onPeerRecords(40, World.m_Now);
  const auto Watches = World.take<WatchRecords>();
  REQUIRE(Watches.size() == 1);
  CHECK(Watches.front().m_After == 40);
}

TEST_CASE("a peer is pulled from only if the store does not deliver in time") {
  const TimePoint Now{std::chrono::seconds(100)};
  PeerPull Pull;
  Pull.onPeerRevision(8, "10.1.0.9:7620", 7, Now);
  CHECK_FALSE(Pull.takeDuePeer(7, Now).has_value());
  const auto Due = Pull.nextWakeUp();
  REQUIRE(Due.has_value());
  SUBCASE("the store delivered it") {
    CHECK_FALSE(Pull.takeDuePeer(8, *Due).has_value());
  }
  SUBCASE("the store did not deliver it") {
    CHECK(Pull.takeDuePeer(7, *Due) == "10.1.0.9:7620");
    // The next pull waits for the reply to the first, up to its timeout.
    Pull.onPeerRevision(9, "10.1.0.10:7620", 7, *Due);
    const auto Next = Pull.nextWakeUp();
    REQUIRE(Next.has_value());
    CHECK_FALSE(Pull.takeDuePeer(7, *Next).has_value());
    REQUIRE(Pull.nextWakeUp().has_value());
    CHECK(Pull.takeDuePeer(7, *Pull.nextWakeUp()) == "10.1.0.10:7620");
  }
}
