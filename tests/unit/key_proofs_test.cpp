// Proofs that a revision is the newest: of the store's replies, and of notices.
#include "core/ingress/proof_watch.h"
#include "core/registry/feed_publisher.h"
#include "core/registry/freshness_probes.h"
#include "core/registry/limits.h"
#include "core/registry/revision_proofs.h"
#include "dandelionfall/core/freshness.h"
#include "store_reader_fixture.h"

#include <doctest/doctest.h>

using namespace dandelionfall::core;
using namespace dandelionfall::core::registry;
using namespace dandelionfall::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

RevisionNotice provingNotice(std::int64_t Probe, Duration ProvedAgo) {
  RevisionNotice Result;
  Result.m_Revision = Result.m_Held = 7;
  Result.m_ConfirmedAgo = Duration{0};
  Result.m_ProvedAgo = ProvedAgo;
  Result.m_Probe = Probe;
  return Result;
}

constexpr Revision later(Revision Counter) { return makeRevision(1, Counter); }

} // namespace

TEST_CASE("a notice proves as of its probe, whenever it arrives") {
  FreshnessProbes Probes;
  CHECK_FALSE(Probes.takeDue(Start).has_value());
  Probes.start(Start);
  const auto First = Probes.takeDue(Start);
  REQUIRE(First.has_value());
  CHECK_FALSE(Probes.takeDue(Start).has_value());
  REQUIRE(Probes.nextAt() == Start + ProbeInterval);
  const auto Second = Probes.takeDue(Start + ProbeInterval);
  REQUIRE(Second.has_value());
  const Duration Ago = milliseconds(300);
  struct Row {
    const char *m_Name;
    RevisionNotice m_Notice;
    std::optional<TimePoint> m_ProvedAt;
  };
  RevisionNotice Unprobed = provingNotice(First->m_Number, Ago);
  Unprobed.m_Probe.reset();
  RevisionNotice Refused = provingNotice(First->m_Number, Ago);
  Refused.m_Refused = true;
  const Row Rows[] = {
      {"no probe", Unprobed, std::nullopt},
      {"refused", Refused, std::nullopt},
      {"nothing proved", provingNotice(First->m_Number, NeverCalled),
       std::nullopt},
      {"a negative age", provingNotice(First->m_Number, -Ago), std::nullopt},
      {"a probe not sent", provingNotice(Second->m_Number + 1, Ago),
       std::nullopt},
      {"the first", provingNotice(First->m_Number, Ago), Start - Ago},
      {"the first again", provingNotice(First->m_Number, Ago), Start - Ago},
      {"the second", provingNotice(Second->m_Number, Ago),
       Start + ProbeInterval - Ago},
      {"an earlier one than before", provingNotice(First->m_Number, Ago),
       std::nullopt},
  };
  for (const Row &Each : Rows) {
    CAPTURE(std::string(Each.m_Name));
    CHECK(Probes.provedAt(Each.m_Notice) == Each.m_ProvedAt);
  }
}

TEST_CASE("probes without a reply are forgotten, and prove nothing then") {
  FreshnessProbes Probes;
  Probes.start(Start);
  const auto First = Probes.takeDue(Start);
  REQUIRE(First.has_value());
  for (int Count = 1; Count < 100; ++Count)
    Probes.takeDue(Start + Count * ProbeInterval);
  CHECK_FALSE(
      Probes.provedAt(provingNotice(First->m_Number, Duration{0})).has_value());
}

TEST_CASE("a publisher repeats the latest probe of each follower") {
  FeedPublisher Publisher(4);
  const auto Notices = [&Publisher] {
    std::map<LinkId, RevisionNotice> Result;
    for (const SendControl &Each :
         select<SendControl>(Publisher.takeCommands()))
      Result.insert_or_assign(Each.m_Link,
                              std::get<RevisionNotice>(Each.m_Message));
    return Result;
  };
  for (const LinkId Link : {1U, 2U})
    Publisher.onFollow(Link, {}, {7, 7, Start, 0, Start}, {}, Start);
  for (const auto &[Link, Sent] : Notices())
    CHECK(Sent.m_ProvedAgo == NeverCalled);
  Publisher.onProbe(1, {4});
  Publisher.onProbe(1, {5});
  Publisher.onProbe(3, {6});
  const TimePoint Later = Start + seconds(1);
  Publisher.onRevision({8, 8, Later, 0, Start}, {}, Later);
  const auto Sent = Notices();
  CHECK(Sent.at(1).m_Probe == 5);
  CHECK(Sent.at(1).m_ProvedAgo == seconds(1));
  CHECK_FALSE(Sent.at(2).m_Probe.has_value());
  CHECK(Sent.at(2).m_ProvedAgo == NeverCalled);
  Publisher.onRevision({9, 9, Later, 0, std::nullopt}, {}, Later);
  CHECK(Notices().at(1).m_ProvedAgo == NeverCalled);
}

TEST_CASE("a proof counts for who holds its revision, in its history") {
  RevisionProofs Proofs;
  CHECK_FALSE(Proofs.provedAt(9).has_value());
  Proofs.add({7, Start});
  Proofs.add({9, Start + seconds(2)});
  Proofs.add({8, Start + seconds(1)});
  Proofs.add({9, Start});
  CHECK_FALSE(Proofs.provedAt(6).has_value());
  CHECK(Proofs.provedAt(7) == Start);
  CHECK(Proofs.provedAt(8) == Start + seconds(1));
  CHECK(Proofs.provedAt(20) == Start + seconds(2));
  CHECK_FALSE(Proofs.provedAt(later(20)).has_value());
  Proofs.add({later(3), Start + seconds(3)});
  CHECK_FALSE(Proofs.provedAt(later(2)).has_value());
  CHECK(Proofs.provedAt(later(3)) == Start + seconds(3));
  CHECK(Proofs.provedAt(20) == Start + seconds(2));
}

TEST_CASE("a reply of the store proves as of its call, also if it is read "
          "late") {
  ReaderFixture World;
  CHECK(World.m_Reader.proof() == RevisionProof{7, Start});
  World.m_Now += seconds(9);
  World.reply(8);
  CHECK(World.m_Reader.proof() == RevisionProof{8, Start});
  CHECK(World.m_Reader.confirmedAt() == Start + seconds(9));
}

TEST_CASE("an old state proves nothing, nor a reply after a failed call that "
          "may be of another history") {
  ReaderFixture World;
  World.follow();
  const auto Before = World.m_Reader.proof();
  World.m_Now += seconds(1);
  World.reply(8);
  CHECK(World.m_Reader.proof() == Before);
  ReaderFixture Failing;
  Failing.reply(7, StoreOutcome::Failed);
  Failing.m_Now += seconds(1);
  Failing.m_Reader.onTick(Failing.m_Now);
  Failing.reply(8);
  CHECK(Failing.m_Reader.isUnverified());
  CHECK(Failing.m_Reader.proof() == RevisionProof{7, Start});
}

TEST_CASE("a listing proves as of the call for its first page") {
  StoreReader Reader{1};
  Reader.start(Start);
  const auto Reply = [&Reader](StoreCounter AsOf, bool HasMore, TimePoint Now) {
    StoreReply Page;
    Page.m_Call = Reader.calls();
    Page.m_Outcome = StoreOutcome::Answered;
    Page.m_AsOf = AsOf;
    Page.m_HasMore = HasMore;
    Page.m_Records = {
        {"key-" + std::to_string(AsOf), AsOf, std::make_shared<std::string>()}};
    Reader.onReply(std::move(Page), Now);
  };
  Reply(7, true, Start + seconds(1));
  CHECK_FALSE(Reader.proof().has_value());
  Reply(9, false, Start + seconds(2));
  CHECK(Reader.proof() == RevisionProof{7, Start});
}

TEST_CASE("the first rejection for want of a proof is reported, and the next "
          "acceptance") {
  ingress::ProofWatch Watch;
  const auto Note = [&Watch](bool IsRejected, Duration Since) {
    const auto Report = Watch.note(IsRejected, std::nullopt, Start + Since);
    return Report ? std::optional(Report->m_Id) : std::nullopt;
  };
  CHECK_FALSE(Note(false, seconds(0)).has_value());
  CHECK(Note(true, seconds(1)) == EventId::KeysUnproved);
  CHECK_FALSE(Note(true, seconds(2)).has_value());
  CHECK(Note(false, seconds(3)) == EventId::KeysProved);
  CHECK_FALSE(Note(false, seconds(4)).has_value());
  // A quick succession.
  CHECK_FALSE(Note(true, seconds(5)).has_value());
  CHECK_FALSE(Note(false, seconds(6)).has_value());
  CHECK(Note(true, seconds(12)) == EventId::KeysUnproved);
}
