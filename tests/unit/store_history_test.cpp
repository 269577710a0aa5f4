// A store that comes back from an older copy, or counts its revisions anew: how
// a reader finds out, and what a started node asks others.
#include "core/registry/limits.h"
#include "core/registry/start_inquiry.h"
#include "store_reader_fixture.h"

#include <doctest/doctest.h>

using namespace dandelionfall;
using namespace dandelionfall::test;
using core::registry::PartialListingLimit;
using core::registry::StartInquiry;
using core::registry::StartInquiryTime;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

core::StoreRecord record(const std::string &Key, core::Revision At,
                         const std::string &Value = "{}") {
  return {Key, At, std::make_shared<const std::string>(Value)};
}

struct Fixture : ReaderFixture {
  Fixture() { m_Reader.takeCommands(); }

  void replyOfEra(std::uint64_t Era, std::vector<core::StoreRecord> Records,
                  core::StoreCounter AsOf) {
    core::StoreReply Reply;
    Reply.m_Call = m_Reader.calls();
    Reply.m_Outcome = core::StoreOutcome::Answered;
    Reply.m_Records = std::move(Records);
    Reply.m_AsOf = AsOf;
    Reply.m_Era = Era;
    m_Reader.onReply(std::move(Reply), m_Now);
  }

  /// Fails the pending call, and waits for the next one.
  void fail() {
    reply(0, core::StoreOutcome::Failed);
    REQUIRE(m_Reader.nextWakeUp().has_value());
    m_Now = *m_Reader.nextWakeUp();
    m_Reader.takeCommands();
    m_Reader.onTick(m_Now);
  }

  template <typename Command> std::vector<Command> take() {
    return select<Command>(m_Reader.takeCommands());
  }
};

} // namespace

TEST_CASE("revisions of a later history are greater") {
  CHECK(core::makeRevision(1, 3) > core::makeRevision(0, 361));
  CHECK(core::historyOf(core::makeRevision(5, 7)) == 5);
  CHECK(core::counterOf(core::makeRevision(5, 7)) == 7);
  CHECK(core::formatRevision(361) == "361");
  CHECK(core::formatRevision(core::makeRevision(2, 33)) == "33@2");
}

TEST_CASE("nodes that learn of a restore in different ways number it alike") {
  core::StoreHistory ByEra;
  ByEra.onEra(6, true);
  CHECK(ByEra.onEra(7, true) == core::StoreHistory::Relation::Later);
  core::StoreHistory Started;
  Started.onEra(7, true);
  core::StoreHistory Told;
  Told.onEra(6, true);
  CHECK(Told.follow(7));
  CHECK(Told.onEra(7, true) == core::StoreHistory::Relation::Same);
  CHECK(ByEra.number() == 7);
  CHECK(Started.number() == 7);
  CHECK(Told.number() == 7);
  CHECK(Told.onEra(6, false) == core::StoreHistory::Relation::Earlier);
  CHECK(Told.number() == 7);
}

TEST_CASE("a watch below the known revision is followed by a listing") {
  Fixture World;
  World.replyWith({}, 3);
  CHECK(World.take<core::ListRecords>().size() == 1);
  World.replyWith({record("a", 2)}, 3);
  const auto Read = World.take<core::RecordsRead>();
  REQUIRE(Read.size() == 1);
  CHECK(Read[0].m_AsOf == core::makeRevision(1, 3));
}

TEST_CASE("changes of a later era are not applied to the earlier history") {
  Fixture World;
  World.replyOfEra(4, {}, 8);
  World.replyWith({}, 8);
  World.take<core::WatchRecords>();
  World.replyOfEra(5, {record("a", 9)}, 9);
  CHECK(World.take<core::RecordsChanged>().empty());
  REQUIRE(World.m_Reader.nextWakeUp().has_value());
  World.m_Now = *World.m_Reader.nextWakeUp();
  World.m_Reader.onTick(World.m_Now);
  CHECK(World.take<core::ListRecords>().size() == 1);
  World.replyOfEra(5, {record("a", 9)}, 9);
  const auto Read = World.take<core::RecordsRead>();
  REQUIRE(Read.size() == 1);
  CHECK(Read[0].m_AsOf == core::makeRevision(5, 9));
}

TEST_CASE("after a failed call the last change is compared with the store's") {
  Fixture World;
  World.m_Reader.setEvidence(record("a", 7), 7);
  World.fail();
  const auto Compared = World.take<core::ListRecords>();
  REQUIRE(Compared.size() == 1);
  CHECK(Compared[0].m_Prefix == "a");
  SUBCASE("the same") {
    World.replyWith({record("a", 7)}, 12);
    CHECK(World.takeWatches().back().m_After == 7);
  }
  SUBCASE("another value at the same revision") {
    World.replyWith({record("a", 7, "other")}, 12);
    const auto Next = World.take<core::ListRecords>();
    REQUIRE(Next.size() == 1);
    CHECK(Next[0].m_Prefix.empty());
  }
}

TEST_CASE("a removal or a large record is compared by a listing") {
  for (const core::StoreRecord &Newest :
       {core::StoreRecord{"a", 7, nullptr},
        record("a", 7, std::string(100'000, 'x'))}) {
    Fixture World;
    World.m_Reader.setEvidence(Newest, 7);
    World.fail();
    const auto Next = World.take<core::ListRecords>();
    REQUIRE(Next.size() == 1);
    CHECK(Next[0].m_Prefix.empty());
  }
}

TEST_CASE("watches that fail beside answered reads are repeated with growing "
          "delays") {
  Fixture World;
  World.m_Reader.setEvidence(record("a", 7), 7);
  const std::uint64_t Before = World.m_Reader.calls();
  while (World.m_Now < Start + seconds(3)) {
    World.fail();
    World.replyWith({record("a", 7)}, 7);
  }
  CHECK(World.m_Reader.calls() - Before < 30);
}

TEST_CASE("a record that is unchanged confirms no revision") {
  Fixture World;
  World.m_Reader.setEvidence(record("a", 7), 7);
  const auto Confirmed = World.m_Reader.confirmedAt();
  for (int Count = 0; Count < 5; ++Count) {
    World.fail();
    World.replyWith({record("a", 7)}, 12);
  }
  CHECK(World.m_Reader.confirmedAt() == Confirmed);
}

TEST_CASE("a listing that a failure interrupts begins again") {
  for (const bool Fails : {true, false}) {
    CAPTURE(Fails);
    Fixture World;
    World.reply(0, core::StoreOutcome::HistoryCompacted);
    core::StoreReply First;
    First.m_Call = World.m_Reader.calls();
    First.m_Outcome = core::StoreOutcome::Answered;
    First.m_Records = {record("a", 5)};
    First.m_AsOf = 100;
    First.m_HasMore = true;
    World.m_Reader.onReply(First, World.m_Now);
    if (Fails) {
      World.fail();
      const auto Next = World.take<core::ListRecords>();
      REQUIRE(Next.size() == 1);
      CHECK(Next[0].m_After.empty());
      continue;
    }
    // The second page, twice, and then a first one.
    for (int Count = 0; Count < 3; ++Count)
      World.replyWith({record("b", 20)}, 30);
    const auto Read = World.take<core::RecordsRead>();
    REQUIRE(Read.size() == 1);
    CHECK(Read[0].m_AsOf == 30);
    CHECK(Read[0].m_Records.size() == 1);
  }
}

TEST_CASE("a node lists once when another one follows a later history") {
  Fixture World;
  World.m_Reader.onLaterHistory(3, World.m_Now);
  World.m_Reader.onLaterHistory(3, World.m_Now);
  CHECK(World.take<core::ListRecords>().empty());
  REQUIRE(World.m_Reader.nextWakeUp().has_value());
  World.m_Now = *World.m_Reader.nextWakeUp();
  World.m_Reader.onTick(World.m_Now);
  CHECK(World.take<core::ListRecords>().size() == 1);
  World.replyWith({record("a", 2)}, 5);
  const auto Read = World.take<core::RecordsRead>();
  REQUIRE(Read.size() == 1);
  CHECK(Read[0].m_AsOf == core::makeRevision(3, 5));
}

TEST_CASE("a listing goes on although its evidence changes") {
  Fixture World;
  World.m_Reader.setEvidence({"a", 7, nullptr}, 7);
  World.fail();
  World.take<core::ListRecords>();
  World.m_Reader.setEvidence(record("a", 7), 7);
  core::StoreReply First;
  First.m_Call = World.m_Reader.calls();
  First.m_Outcome = core::StoreOutcome::Answered;
  First.m_Records = {record("a", 5)};
  First.m_AsOf = 9;
  First.m_HasMore = true;
  World.m_Reader.onReply(First, World.m_Now);
  const auto Next = World.take<core::ListRecords>();
  REQUIRE(Next.size() == 1);
  CHECK(Next[0].m_After == "a");
  CHECK(Next[0].m_Prefix.empty());
}

TEST_CASE("a store that returns without its records is waited for") {
  Fixture World;
  World.m_Reader.setRequiredKey("configuration");
  World.reply(0, core::StoreOutcome::HistoryCompacted);
  World.replyWith({}, 1);
  CHECK(World.take<core::RecordsRead>().empty());
  World.m_Now = *World.m_Reader.nextWakeUp();
  World.m_Reader.onTick(World.m_Now);
  SUBCASE("they are back") {
    World.replyWith({record("configuration", 3)}, 7);
    const auto Read = World.take<core::RecordsRead>();
    REQUIRE(Read.size() == 1);
    CHECK(Read[0].m_AsOf == 7);
  }
  SUBCASE("they do not come back") {
    World.m_Now += PartialListingLimit;
    World.replyWith({}, 1);
    CHECK(World.take<core::RecordsRead>().size() == 1);
  }
}

TEST_CASE("a revision that the store disproves is not pulled but checked") {
  Fixture World;
  World.m_Reader.onNewerRevision(99, World.m_Now);
  World.m_Now = *World.m_Reader.nextWakeUp();
  World.m_Reader.onTick(World.m_Now);
  World.replyWith({}, 7);
  World.m_Reader.takeCommands();
  CHECK_FALSE(World.m_Reader.checkClaim(100, World.m_Now));
  CHECK(World.m_Reader.checkClaim(99, World.m_Now));
  CHECK(World.take<core::ListRecords>().size() == 1);
  World.replyWith({}, 8);
  CHECK(World.m_Reader.history().number() == 1);
}

TEST_CASE("stores that state eras in turn are not called in a loop") {
  Fixture World;
  const std::uint64_t Before = World.m_Reader.calls();
  for (std::uint64_t Era = 0; World.m_Now < Start + seconds(3); ++Era) {
    World.replyOfEra(1 + Era % 2, {}, 20);
    if (const auto Next = World.m_Reader.nextWakeUp())
      World.m_Now = std::max(World.m_Now, *Next);
    World.m_Reader.onTick(World.m_Now);
    REQUIRE(World.m_Reader.calls() < Before + 100);
  }
}

TEST_CASE("an inquiry ends although a node neither replies nor refuses") {
  StartInquiry Inquiry("10.1.0.1:7620", 1);
  Inquiry.start({{"10.1.0.1:7620", "a"},
                 {"10.1.0.2:7620", "a"},
                 {"10.1.0.3:7620", "b"},
                 {"10.1.0.4:7620", "b"}},
                Start);
  const auto Opened = select<core::OpenControlLink>(Inquiry.takeCommands());
  REQUIRE(Opened.size() == 2);
  CHECK(Opened[0].m_Address != Opened[1].m_Address);
  Inquiry.onReply(Opened[0].m_Link);
  CHECK_FALSE(Inquiry.isOver());
  Inquiry.onTick(Start + StartInquiryTime);
  CHECK(Inquiry.isOver());
  CHECK_FALSE(Inquiry.nextWakeUp().has_value());
  Inquiry.onLinkClosed(Opened[1].m_Link);
  CHECK(select<core::OpenControlLink>(Inquiry.takeCommands()).empty());
}
