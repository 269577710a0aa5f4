// Revision feeds between nodes, and how a reader watches the store with them.
#include "core/registry/feed_follower.h"
#include "core/registry/feed_publisher.h"
#include "dandelionfall/core/machine_limits.h"
#include "dandelionfall/core/peer_pull.h"
#include "dandelionfall/core/store_reader.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

using namespace dandelionfall::core;
using namespace dandelionfall::core::registry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start{seconds(100)};

template <typename Command, typename Variant>
std::vector<Command> select(const std::vector<Variant> &Commands) {
  std::vector<Command> Result;
  for (const Variant &Each : Commands) {
    if (const auto *Found = std::get_if<Command>(&Each))
      Result.push_back(*Found);
  }
  return Result;
}

std::vector<RevisionNotice> takeNotices(FeedPublisher &Publisher) {
  std::vector<RevisionNotice> Result;
  for (const SendControl &Each : select<SendControl>(Publisher.takeCommands()))
    Result.push_back(std::get<RevisionNotice>(Each.m_Message));
  return Result;
}

std::vector<NodeAddress> threeZones() {
  std::vector<NodeAddress> Nodes;
  for (const char *Zone : {"a", "b", "c"}) {
    for (const char *Number : {"1", "2", "3", "4"})
      Nodes.push_back({std::string(Zone) + Number + ":7620", Zone});
  }
  return Nodes;
}

/// A follower whose links open at once.
struct FollowerFixture {
  FollowerFixture() {
    m_Follower.onNodes(threeZones(), m_Now);
    openLinks();
  }

  void openLinks() {
    for (const OpenControlLink &Each :
         select<OpenControlLink>(m_Follower.takeCommands())) {
      m_Open[Each.m_Link] = Each.m_Address;
      m_Follower.onLinkOpened(Each.m_Link, m_Now);
    }
  }

  void notify(LinkId Link, Revision Value, Duration ConfirmedAgo) {
    m_Follower.onNotice(Link, {Value, Value, ConfirmedAgo, false, {}}, m_Now);
  }

  TimePoint m_Now = Start;
  FeedFollower m_Follower{"z9:7620", "a"};
  std::map<LinkId, std::string> m_Open;
};

/// A reader that has listed all records as of revision 7 and watches.
struct ReaderFixture {
  ReaderFixture() {
    m_Reader.start(m_Now);
    reply(7);
  }

  void reply(Revision AsOf, StoreOutcome Outcome = StoreOutcome::Answered) {
    StoreReply Reply;
    Reply.m_Call = m_Reader.calls();
    Reply.m_Outcome = Outcome;
    Reply.m_AsOf = AsOf;
    m_Reader.onReply(std::move(Reply), m_Now);
  }

  std::vector<WatchRecords> takeWatches() {
    return select<WatchRecords>(m_Reader.takeCommands());
  }

  void follow() {
    m_Reader.setMode(WatchMode::Following, m_Now);
    reply(7);
  }

  TimePoint m_Now = Start;
  StoreReader m_Reader{1};
};

} // namespace

TEST_CASE("a publisher sends a newer revision at once and repeats it") {
  FeedPublisher Publisher(4);
  Publisher.onFollow(1, {7, 7, Start}, {}, Start);
  CHECK(takeNotices(Publisher) ==
        std::vector<RevisionNotice>{{7, 7, Duration{0}, false, {}}});
  const TimePoint Later = Start + milliseconds(10);
  Publisher.onRevision({7, 7, Later}, {}, Later);
  CHECK(takeNotices(Publisher).empty());
  Publisher.onRevision({8, 8, Later}, {}, Later);
  CHECK(takeNotices(Publisher) ==
        std::vector<RevisionNotice>{{8, 8, Duration{0}, false, {}}});
  REQUIRE(Publisher.nextWakeUp().has_value());
  const TimePoint Due = *Publisher.nextWakeUp();
  CHECK(Due - Later <= NoticeInterval);
  Publisher.onTick({8, 8, Later}, Due);
  CHECK(takeNotices(Publisher) ==
        std::vector<RevisionNotice>{{8, 8, Due - Later, false, {}}});
}

TEST_CASE("a publisher sends small changes once, the latest of each key") {
  const StoreRecord Older{"servers/i-1", 8, nullptr};
  const StoreRecord Newer{"servers/i-1", 9, nullptr};
  FeedPublisher Publisher(4);
  Publisher.onRevision({8, 8, Start}, {Older}, Start);
  Publisher.onFollow(1, {8, 8, Start}, {Newer}, Start);
  CHECK(takeNotices(Publisher) ==
        std::vector<RevisionNotice>{{8, 8, Duration{0}, false, {Newer}}});
  const TimePoint Late = Start + ConfirmationLimit;
  Publisher.onRevision({8, 8, Start}, {Older}, Late);
  Publisher.onRevision({8, 8, Start}, {Newer}, Late);
  CHECK(takeNotices(Publisher).empty());
  Publisher.onRevision({8, 8, Late}, {}, Late);
  CHECK(takeNotices(Publisher) ==
        std::vector<RevisionNotice>{{8, 8, Duration{0}, false, {Newer}}});
  Publisher.onRevision({8, 8, Late}, {}, Late);
  CHECK(takeNotices(Publisher).empty());
  Publisher.onFollow(1, {8, 8, Late}, {Newer}, Late);
  CHECK(takeNotices(Publisher).size() == 1);
}

TEST_CASE("a publisher is silent while the store does not confirm") {
  FeedPublisher Publisher(4);
  Publisher.onFollow(1, {7, 7, std::nullopt}, {}, Start);
  CHECK(takeNotices(Publisher).empty());
  Publisher.onRevision({7, 7, Start}, {}, Start);
  CHECK(takeNotices(Publisher).size() == 1);
  const TimePoint Late = Start + ConfirmationLimit;
  Publisher.onTick({7, 7, Start}, Late);
  Publisher.onRevision({8, 8, Start}, {}, Late);
  CHECK(takeNotices(Publisher).empty());
  Publisher.onRevision({8, 8, Late}, {}, Late);
  CHECK(takeNotices(Publisher).size() == 1);
}

TEST_CASE("a publisher refuses more followers than its machine carries") {
  FeedPublisher Publisher(2);
  for (LinkId Link = 1; Link <= 3; ++Link)
    Publisher.onFollow(Link, {7, 7, Start}, {}, Start);
  const auto Notices = takeNotices(Publisher);
  REQUIRE(Notices.size() == 3);
  CHECK_FALSE(Notices[1].m_Refused);
  CHECK(Notices[2].m_Refused);
  CHECK(Publisher.followers() == 2);
}

TEST_CASE("a publisher drops a follower that no longer asks") {
  FeedPublisher Publisher(4);
  Publisher.onFollow(1, {7, 7, Start}, {}, Start);
  Publisher.onFollow(2, {7, 7, Start}, {}, Start);
  Publisher.onFollow(2, {7, 7, Start}, {}, Start + FollowInterval);
  Publisher.takeCommands();
  const TimePoint Late = Start + FollowTimeout;
  Publisher.onTick({7, 7, Late}, Late);
  const auto Commands = Publisher.takeCommands();
  CHECK(select<CloseControlLink>(Commands) ==
        std::vector<CloseControlLink>{{1}});
  CHECK(Publisher.followers() == 1);
}

TEST_CASE("a follower chooses feeds of two availability zones") {
  FollowerFixture World;
  REQUIRE(World.m_Open.size() == 2);
  std::vector<char> Zones;
  for (const auto &[Link, Address] : World.m_Open)
    Zones.push_back(Address.front());
  std::sort(Zones.begin(), Zones.end());
  CHECK(Zones == std::vector<char>{'a', 'b'});
  CHECK(World.m_Follower.reliableFeeds(World.m_Now) == 0);
  World.notify(1, 7, Duration{0});
  CHECK(World.m_Follower.reliableFeeds(World.m_Now) == 1);
}

TEST_CASE("all followers of a zone prefer the same nodes, none below itself") {
  std::map<std::string, int> Followed;
  for (const NodeAddress &Own : threeZones()) {
    FeedCandidates Candidates(Own.m_Address, Own.m_Zone);
    Candidates.replace(threeZones());
    REQUIRE(Candidates.inOtherZones().size() == 8);
    ++Followed[Candidates.inOtherZones().front().m_Address];
    for (const NodeAddress &Better : Candidates.inZone()) {
      FeedCandidates Other(Better.m_Address, Better.m_Zone);
      Other.replace(threeZones());
      CHECK(std::find(Other.inZone().begin(), Other.inZone().end(), Own) ==
            Other.inZone().end());
    }
  }
  CHECK(Followed.size() == 3);
}

TEST_CASE("a silent feed is replaced by one of another node") {
  FollowerFixture World;
  World.notify(1, 7, Duration{0});
  World.notify(2, 7, Duration{0});
  const std::string Silent = World.m_Open.at(1);
  World.m_Now += milliseconds(500);
  World.notify(2, 7, Duration{0});
  World.m_Now = Start + FeedSilenceLimit;
  CHECK(World.m_Follower.reliableFeeds(World.m_Now) == 1);
  World.m_Follower.onTick(World.m_Now);
  REQUIRE(World.m_Follower.nextWakeUp().has_value());
  World.m_Now = *World.m_Follower.nextWakeUp();
  World.m_Follower.onTick(World.m_Now);
  World.openLinks();
  REQUIRE(World.m_Open.size() == 3);
  CHECK(World.m_Open.rbegin()->second != Silent);
}

TEST_CASE("a feed that the store no longer confirms is not relied on") {
  FollowerFixture World;
  // Notices still arrive, but the confirmation grows older.
  const TimePoint End = Start + ConfirmationLimit;
  for (; World.m_Now < End; World.m_Now += milliseconds(100)) {
    World.notify(1, 7, World.m_Now - Start);
    CHECK(World.m_Follower.reliableFeeds(World.m_Now) == 1);
  }
  CHECK(World.m_Follower.reliableFeeds(End) == 0);
  CHECK(ConfirmationLimit < seconds(2));
}

TEST_CASE("a follower does not ask a node that refused it again soon") {
  FollowerFixture World;
  World.m_Follower.onNotice(1, {0, 0, NeverCalled, true, {}}, World.m_Now);
  const std::string Refusing = World.m_Open.at(1);
  for (int Second = 1; Second < 30; ++Second) {
    World.m_Now = Start + seconds(Second);
    World.m_Follower.onTick(World.m_Now);
    World.openLinks();
  }
  CHECK(World.m_Open.size() > 2);
  for (const auto &[Link, Address] : World.m_Open) {
    if (Link > 2)
      CHECK(Address != Refusing);
  }
}

TEST_CASE("lost feeds are replaced with growing delays") {
  FollowerFixture World;
  std::size_t Opened = World.m_Open.size();
  // Every link is refused at once.
  while (World.m_Now < Start + seconds(20)) {
    for (const auto &[Link, Address] : std::exchange(World.m_Open, {}))
      World.m_Follower.onLinkClosed(Link, World.m_Now);
    World.m_Now += milliseconds(10);
    World.m_Follower.onTick(World.m_Now);
    World.openLinks();
    Opened += World.m_Open.size();
  }
  CHECK(Opened < 40);
}

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

TEST_CASE(
    "a machine carries followers by its processor, link and descriptors") {
  CHECK(maxFollowers({}) == 64);
  CHECK(maxFollowers({0.1, 1, 160, 4100, 20}) <
        maxFollowers({0.5, 1, 512, 8192, 200}));
  CHECK(maxFollowers({0.5, 1, 512, 8192, 5}) <
        maxFollowers({0.5, 1, 512, 8192, 200}));
  CHECK(maxFollowers({0.001, 1, 16, 64, 0.01}) == 4);
}
