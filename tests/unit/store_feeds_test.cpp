// Revision feeds between nodes.
#include "core/registry/feed_follower.h"
#include "core/registry/feed_publisher.h"
#include "dandelionfall/core/machine_limits.h"
#include "store_reader_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

using namespace dandelionfall::core;
using namespace dandelionfall::core::registry;
using namespace dandelionfall::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

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

} // namespace

TEST_CASE("a publisher sends a newer revision at once and repeats it") {
  FeedPublisher Publisher(4);
  Publisher.onFollow(1, FollowRevisions{}, {7, 7, Start}, {}, Start);
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
  Publisher.onRevision({8, 8, Start}, {{Older}, {}, {}, false}, Start);
  Publisher.onFollow(1, FollowRevisions{}, {8, 8, Start},
                     {{Newer}, {}, {}, false}, Start);
  CHECK(takeNotices(Publisher) ==
        std::vector<RevisionNotice>{
            {8, 8, Duration{0}, false, {{Newer}, {}, {}, false}}});
  const TimePoint Late = Start + ConfirmationLimit;
  Publisher.onRevision({8, 8, Start}, {{Older}, {}, {}, false}, Late);
  Publisher.onRevision({8, 8, Start}, {{Newer}, {}, {}, false}, Late);
  CHECK(takeNotices(Publisher).empty());
  Publisher.onRevision({8, 8, Late}, {}, Late);
  CHECK(takeNotices(Publisher) ==
        std::vector<RevisionNotice>{
            {8, 8, Duration{0}, false, {{Newer}, {}, {}, false}}});
  Publisher.onRevision({8, 8, Late}, {}, Late);
  CHECK(takeNotices(Publisher).empty());
  Publisher.onFollow(1, FollowRevisions{}, {8, 8, Late},
                     {{Newer}, {}, {}, false}, Late);
  CHECK(takeNotices(Publisher).size() == 1);
}

TEST_CASE("a publisher is silent while the store does not confirm") {
  FeedPublisher Publisher(4);
  Publisher.onFollow(1, FollowRevisions{}, {7, 7, std::nullopt}, {}, Start);
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
    Publisher.onFollow(Link, FollowRevisions{}, {7, 7, Start}, {}, Start);
  const auto Notices = takeNotices(Publisher);
  REQUIRE(Notices.size() == 3);
  CHECK_FALSE(Notices[1].m_Refused);
  CHECK(Notices[2].m_Refused);
  CHECK(Publisher.followers() == 2);
}

TEST_CASE("a publisher drops a follower that no longer asks") {
  FeedPublisher Publisher(4);
  Publisher.onFollow(1, FollowRevisions{}, {7, 7, Start}, {}, Start);
  Publisher.onFollow(2, FollowRevisions{}, {7, 7, Start}, {}, Start);
  Publisher.onFollow(2, FollowRevisions{}, {7, 7, Start}, {},
                     Start + FollowInterval);
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

TEST_CASE(
    "a machine carries followers by its processor, link and descriptors") {
  CHECK(maxFollowers({}) == 64);
  CHECK(maxFollowers({0.1, 1, 160, 4100, 20}) <
        maxFollowers({0.5, 1, 512, 8192, 200}));
  CHECK(maxFollowers({0.5, 1, 512, 8192, 5}) <
        maxFollowers({0.5, 1, 512, 8192, 200}));
  CHECK(maxFollowers({0.001, 1, 16, 64, 0.01}) == 4);
}

TEST_CASE("a node that is always late notices a lost feed") {
  FollowerFixture World;
  World.notify(1, 7, Duration{0});
  const TimePoint Lost = World.m_Now;
  while (World.m_Follower.reliableFeeds(World.m_Now) > 0) {
    REQUIRE(World.m_Now - Lost < 2 * MaxExcusedSilence + FeedSilenceLimit);
    World.m_Now += milliseconds(200);
    World.m_Follower.onDelay(milliseconds(200), World.m_Now);
    World.m_Follower.onTick(World.m_Now);
  }
}

TEST_CASE(
    "a follower is sent patches by one feed, by the other if it is lost") {
  FollowerFixture World;
  const auto Complete = [&](LinkId Link) {
    World.m_Follower.onNotice(
        Link, {7, 7, Duration{0}, false, {{}, {}, {}, true}}, World.m_Now);
  };
  std::map<LinkId, bool> Wants = {{1, true}, {2, true}};
  const auto Note = [&] {
    for (const SendControl &Each :
         select<SendControl>(World.m_Follower.takeCommands()))
      Wants[Each.m_Link] =
          std::get<FollowRevisions>(Each.m_Message).m_WantsPatches;
  };
  Complete(1);
  Complete(2);
  Note();
  CHECK(Wants.at(1) != Wants.at(2));
  const LinkId Sender = Wants.at(1) ? 1 : 2;
  World.m_Follower.onLinkClosed(Sender, World.m_Now);
  Note();
  CHECK(Wants.at(3 - Sender));
}

TEST_CASE(
    "a feed that sends patches already is asked again for one that fits") {
  FollowerFixture World;
  const LargeRevisions Bases = {{"configuration", {5, 7}}};
  World.m_Follower.takeCommands();
  const auto Asks = [&] {
    std::size_t Count = 0;
    for (const SendControl &Each :
         select<SendControl>(World.m_Follower.takeCommands()))
      Count += std::get<FollowRevisions>(Each.m_Message).m_Bases == Bases;
    return Count;
  };
  for (const LinkId Link : {1U, 2U}) {
    CHECK(World.m_Follower.takePatchesFrom(Link, Bases, World.m_Now));
    CHECK(Asks() == 1);
    CHECK_FALSE(World.m_Follower.takePatchesFrom(Link, Bases, World.m_Now));
    CHECK(Asks() == 0);
  }
  World.m_Now += NoticeInterval;
  CHECK(World.m_Follower.takePatchesFrom(2, Bases, World.m_Now));
  CHECK(Asks() == 1);
}

TEST_CASE("the next patches wait until the follower has received the last") {
  const RecordPatch Patch{"configuration", 8, 7, {}};
  const auto Patched = [&](FeedPublisher &Publisher) {
    std::size_t Count = 0;
    for (const RevisionNotice &Each : takeNotices(Publisher))
      Count += Each.m_Changes.m_Patches.size();
    return Count;
  };
  FeedPublisher Publisher(4);
  FollowRevisions Request;
  Request.m_ReceivedPatches = 0;
  Publisher.onFollow(1, Request, {7, 7, Start}, {}, Start);
  // It does not state what it has received.
  Publisher.onFollow(2, FollowRevisions{}, {7, 7, Start}, {}, Start);
  Publisher.onRevision({8, 8, Start}, {{}, {Patch}, {}, true}, Start);
  CHECK(Patched(Publisher) == 2);
  Publisher.onRevision({9, 9, Start}, {{}, {Patch}, {}, true}, Start);
  CHECK(Patched(Publisher) == 1);
  Publisher.onFollow(1, Request, {9, 9, Start}, {{}, {Patch}, {}, true}, Start);
  CHECK(Patched(Publisher) == 0);
  Request.m_ReceivedPatches = 1;
  Publisher.onFollow(1, Request, {9, 9, Start}, {{}, {Patch}, {}, true}, Start);
  CHECK(Patched(Publisher) == 1);
}

TEST_CASE("a follower states which patches it has received") {
  FollowerFixture World;
  World.m_Follower.takeCommands();
  const auto Received = [&] {
    const auto Sent = select<SendControl>(World.m_Follower.takeCommands());
    REQUIRE(!Sent.empty());
    return std::get<FollowRevisions>(Sent.back().m_Message).m_ReceivedPatches;
  };
  const RevisionNotice Notice{
      7,
      7,
      Duration{0},
      false,
      {{}, {RecordPatch{"configuration", 7, 6, {}}}, {}, true}};
  World.m_Follower.onNotice(1, Notice, World.m_Now);
  World.m_Follower.confirmPatches(1, {});
  CHECK(Received() == 1);
  World.m_Follower.onOutdatedNotice(1, Notice, World.m_Now);
  CHECK(World.m_Follower.takeCommands().empty());
  World.m_Follower.confirmPatches(1, {});
  CHECK(Received() == 2);
  World.m_Follower.confirmPatches(2, {});
  CHECK(Received() == 0);
}

TEST_CASE("several patches of a record that wait are left to be asked for") {
  FeedPublisher Publisher(4);
  Publisher.onFollow(1, FollowRevisions{}, {7, 7, std::nullopt}, {}, Start);
  for (const Revision At : {8U, 9U})
    Publisher.onRevision({At, At, std::nullopt},
                         {{}, {RecordPatch{"a", At, At - 1, {}}}, {}, true},
                         Start);
  Publisher.onRevision({9, 9, std::nullopt},
                       {{}, {RecordPatch{"b", 9, 8, {}}}, {}, true}, Start);
  Publisher.onRevision({9, 9, Start}, {}, Start);
  const std::vector<RevisionNotice> Sent = takeNotices(Publisher);
  REQUIRE(Sent.size() == 1);
  REQUIRE(Sent[0].m_Changes.m_Patches.size() == 1);
  CHECK(Sent[0].m_Changes.m_Patches[0].m_Key == "b");
}
