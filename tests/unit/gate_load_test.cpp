// Deadlines, admission, availability zones, draining and limits of the gate.

#include "core/gate/limits.h"
#include "core/gate/service_time.h"
#include "gate_harness.h"

#include <doctest/doctest.h>

using namespace dandelionfall::core;
using namespace dandelionfall::core::testing;

namespace {

std::vector<std::uint64_t> startedSequences(const GateHarness &Harness) {
  std::vector<std::uint64_t> Sequences;
  for (const StartTarget &Each : Harness.commands<StartTarget>())
    Sequences.push_back(Each.m_Id.m_Sequence);
  return Sequences;
}

RefusalReason singleRefusalReason(const GateHarness &Harness) {
  const auto Refusals = Harness.sent<Refusal>();
  REQUIRE(Refusals.size() == 1);
  return Refusals[0].second.m_Reason;
}

} // namespace

TEST_CASE("a waiting request whose deadline passed is refused, not started") {
  GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
  Harness.hello(1, 1);
  Harness.dispatch(1, 1, 1, ms(1000));
  Harness.dispatch(1, 2, 1, ms(100));
  SUBCASE("by the tick") { Harness.advanceTime(ms(200)); }
  SUBCASE("by the slot that became free during a suspension") {
    Harness.sleep(ms(200));
    Harness.answer(1);
  }
  CHECK(singleRefusalReason(Harness) == RefusalReason::DeadlinePassed);
  CHECK(Harness.starts(2) == 0);
}

TEST_CASE("a request that expired unread during a suspension is refused") {
  GateHarness Harness;
  Harness.hello(1, 1);
  Harness.advanceTime(ms(1000));
  Harness.dispatch(1, 1, 1, ms(800));
  CHECK(Harness.starts(1) == 1);
  Harness.sleep(ms(900));
  Harness.dispatch(1, 2, 1, ms(800));
  CHECK(singleRefusalReason(Harness) == RefusalReason::DeadlinePassed);
  Harness.dispatch(1, 3, 1, ms(1500));
  REQUIRE(Harness.starts(3) == 1);
  CHECK(Harness.commands<StartTarget>().back().m_Deadline ==
        Harness.now() + ms(600));
  Harness.advanceTime(ms(300));
  Harness.dispatch(1, 4, 1, ms(800));
  CHECK(Harness.starts(4) == 1);
}

TEST_CASE("a request past its deadline is cancelled and may have run") {
  GateHarness Harness;
  Harness.hello(1, 1);
  Harness.dispatch(1, 1, 1, ms(100));
  Harness.advanceTime(ms(100));
  CHECK(Harness.commands<CancelTarget>().size() == 1);
  CHECK(Harness.sent<Failure>().size() == 1);
  Harness.failure(1, TargetFailure::Abandoned);
  CHECK(Harness.sent<Failure>().size() == 1);
}

TEST_CASE(
    "a request that can no longer finish in time is refused, not started") {
  GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
  Harness.hello(1, 1);
  Harness.warmUp(1, 100, 200, ms(100));
  Harness.dispatch(1, 1, 1, ms(900));
  Harness.dispatch(1, 2, 1, ms(250));
  REQUIRE(Harness.sent<Refusal>().empty());
  Harness.advanceTime(ms(190));
  Harness.answer(1);
  CHECK(singleRefusalReason(Harness) == RefusalReason::Overload);
  CHECK(Harness.starts(2) == 0);
}

TEST_CASE("a waiting request that is cancelled never runs") {
  GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
  Harness.hello(1, 1);
  Harness.dispatch(1, 1);
  Harness.dispatch(1, 2);
  Harness.message(1, Cancel{GateHarness::id(2)});
  CHECK(singleRefusalReason(Harness) == RefusalReason::Cancelled);
  Harness.answer(1);
  CHECK(Harness.starts(2) == 0);
}

TEST_CASE("waiting requests start in order of their deadlines") {
  GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
  Harness.hello(1, 1);
  Harness.dispatch(1, 1);
  Harness.dispatch(1, 2, 1, ms(900));
  Harness.dispatch(1, 3, 1, ms(300));
  Harness.dispatch(1, 4, 1, ms(600));
  for (const std::uint64_t Sequence : {1U, 3U, 4U, 2U})
    Harness.answer(Sequence);
  CHECK(startedSequences(Harness) == std::vector<std::uint64_t>{1, 3, 4, 2});
}

TEST_CASE("admission by deadline") {
  struct Case {
    const char *m_Name;
    std::vector<int> m_Waiting;
    int m_Arriving;
    bool m_Admitted;
    RefusalReason m_Reason;
  };
  // One slot, occupied for 10 ms; each request takes 10 ms.
  const std::vector<Case> Cases = {
      {"fits after the running request", {}, 25, true, {}},
      {"too late after the running request",
       {},
       15,
       false,
       RefusalReason::Overload},
      {"fits before a request with time to spare", {100}, 25, true, {}},
      {"would make an admitted request late",
       {33, 34},
       25,
       false,
       RefusalReason::Overload},
      {"later deadline is queued last", {25, 35}, 50, true, {}},
      {"queue full",
       {900, 900, 900, 900},
       950,
       false,
       RefusalReason::QueueFull},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1, .m_QueueLimit = 4});
    Harness.hello(1, 1);
    Harness.warmUp(1, 100, 60, ms(10));
    Harness.dispatch(1, 1);
    std::uint64_t Sequence = 2;
    for (const int Deadline : Each.m_Waiting)
      Harness.dispatch(1, Sequence++, 1, ms(Deadline));
    REQUIRE(Harness.sent<Refusal>().empty());
    Harness.dispatch(1, 50, 1, ms(Each.m_Arriving));
    CHECK(Harness.sent<Refusal>().empty() == Each.m_Admitted);
    if (!Each.m_Admitted)
      CHECK(singleRefusalReason(Harness) == Each.m_Reason);
  }
}

TEST_CASE("a refused request is admitted after the retry time of the refusal") {
  GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1, .m_QueueLimit = 20});
  Harness.hello(1, 1);
  Harness.warmUp(1, 100, 60, ms(10));
  for (std::uint64_t Sequence = 1; Sequence <= 10; ++Sequence)
    Harness.dispatch(1, Sequence, 1, ms(104));
  Harness.dispatch(1, 50, 1, ms(40));
  REQUIRE(singleRefusalReason(Harness) == RefusalReason::Overload);
  Duration Wait = Harness.sent<Refusal>()[0].second.m_RetryAfter;
  CHECK(Wait >= ms(70));
  CHECK(Wait <= ms(90));
  std::uint64_t Running = 1;
  for (; Wait > ms(10); Wait -= ms(10)) {
    Harness.advanceTime(ms(10));
    Harness.answer(Running++);
  }
  Harness.advanceTime(Wait + ms(1));
  Harness.takeAll();
  Harness.dispatch(1, 51, 1, ms(40));
  CHECK(Harness.sent<Refusal>().empty());
}

TEST_CASE("requests are admitted while no service time is known") {
  GateHarness Harness({.m_Slots = 4, .m_ColdLimit = 2, .m_QueueLimit = 4});
  Harness.hello(1, 1);
  for (std::uint64_t Sequence = 1; Sequence <= 6; ++Sequence)
    Harness.dispatch(1, Sequence, 1, ms(5));
  CHECK(Harness.sent<Refusal>().empty());
  CHECK(Harness.commands<StartTarget>().size() == 2);
  Harness.dispatch(1, 7, 1, ms(5));
  CHECK(singleRefusalReason(Harness) == RefusalReason::QueueFull);
}

TEST_CASE("after a spike of the service time requests are admitted again") {
  GateHarness Harness({.m_Slots = 2, .m_ColdLimit = 2});
  Harness.hello(1, 1);
  Harness.warmUp(1, 100, 20, ms(900));
  Harness.dispatch(1, 1, 1, ms(50));
  CHECK(singleRefusalReason(Harness) == RefusalReason::Overload);
  bool Admitted = false;
  for (std::uint64_t Sequence = 2; Sequence < 12 && !Admitted; ++Sequence) {
    Harness.advanceTime(ms(1000));
    Harness.dispatch(1, Sequence, 1, ms(50));
    Admitted = Harness.starts(Sequence) == 1;
  }
  CHECK(Admitted);
}

TEST_CASE("a gate in an availability zone that is out admits no requests") {
  GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
  Harness.hello(1, 1);
  Harness.dispatch(1, 1, 1, ms(5000));
  Harness.dispatch(1, 2, 1, ms(5000));
  Harness.dispatch(1, 3, 1, ms(5000));
  Harness.configure({.m_Version = 2, .m_Zone = ZoneState::Out, .m_Slots = 1});
  CHECK(Harness.events(EventId::ZoneOut) == 1);
  Harness.dispatch(1, 4);
  CHECK(singleRefusalReason(Harness) == RefusalReason::ZoneOut);
  CHECK(Harness.sent<Refusal>()[0].second.m_Version == 2);
  Harness.advanceTime(ms(500));
  Harness.answer(1);
  CHECK(Harness.starts(2) == 1);
  Harness.takeAll();
  Harness.advanceTime(ms(600));
  CHECK(singleRefusalReason(Harness) == RefusalReason::ZoneOut);
  Harness.answer(2);
  CHECK(Harness.sent<Answer>().size() == 1);
  CHECK(Harness.starts(3) == 0);
  Harness.configure({.m_Version = 3, .m_Slots = 1});
  CHECK(Harness.events(EventId::ZoneIn) == 1);
  CHECK(Harness.events(EventId::RampRestarted) == 1);
  Harness.dispatch(1, 5);
  CHECK(Harness.starts(5) == 1);
}

TEST_CASE(
    "a gate on a leaving host refuses new requests and finishes the rest") {
  GateHarness Harness;
  Harness.hello(1, 1);
  Harness.dispatch(1, 1);
  Harness.setHostLeaving(true);
  Harness.dispatch(1, 2);
  CHECK(singleRefusalReason(Harness) == RefusalReason::Draining);
  CHECK(Harness.starts(2) == 0);
  Harness.answer(1);
  CHECK(Harness.sent<Answer>().size() == 1);
  Harness.setHostLeaving(false);
  Harness.dispatch(1, 3);
  CHECK(Harness.starts(3) == 1);
}

TEST_CASE("a newer version of an ingress is reported once") {
  GateHarness Harness;
  Harness.hello(1, 1);
  Dispatch Message = GateHarness::makeDispatch(1);
  Message.m_Version = 9;
  Harness.message(1, Message);
  Message.m_Id = GateHarness::id(2);
  Harness.message(1, Message);
  REQUIRE(Harness.commands<PeerVersionSeen>().size() == 1);
  CHECK(Harness.commands<PeerVersionSeen>()[0].m_Version == 9);
  CHECK(Harness.starts(1) == 1);
}

TEST_CASE(
    "a draining gate finishes admitted requests and reports its end once") {
  GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
  Harness.hello(1, 1);
  Harness.dispatch(1, 1);
  Harness.dispatch(1, 2);
  Harness.drain();
  CHECK(Harness.sent<TrafficGoAway>().size() == 1);
  Harness.dispatch(1, 3);
  CHECK(singleRefusalReason(Harness) == RefusalReason::Draining);
  Harness.answer(1);
  Harness.answer(2);
  CHECK(Harness.sent<Answer>().size() == 2);
  CHECK(Harness.commands<GateDrained>().empty());
  SUBCASE("when its answers are settled") {
    Harness.message(1, Settled{{GateHarness::id(1), GateHarness::id(2)}});
    CHECK(Harness.commands<GateDrained>().size() == 1);
  }
  SUBCASE("after the linger time if they are not") {
    Harness.advanceTime(ms(1900));
    CHECK(Harness.commands<GateDrained>().empty());
    Harness.advanceTime(ms(200));
  }
  Harness.advanceTime(ms(5000));
  Harness.drain();
  CHECK(Harness.commands<GateDrained>().size() == 1);
}

TEST_CASE("a draining gate without requests ends at once") {
  GateHarness Harness;
  Harness.drain();
  CHECK(Harness.commands<GateDrained>().size() == 1);
}

TEST_CASE("requests for a target that is not listed are refused") {
  GateHarness Harness({.m_Listed = false});
  Harness.hello(1, 1);
  Harness.dispatch(1, 1);
  CHECK(singleRefusalReason(Harness) == RefusalReason::UnknownTarget);
}

TEST_CASE("an unknown admission strategy is rejected with the valid names") {
  CHECK_THROWS_WITH_AS(GateHarness({}, "lottery"),
                       "no admission strategy 'lottery'; use deadline, fcfs or "
                       "bounded",
                       std::invalid_argument);
}

TEST_CASE("a request that ran until its deadline frees its slot") {
  GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
  Harness.hello(1, 1);
  Harness.warmUp(1, 100, 200, ms(100));
  Harness.dispatch(1, 1, 1, ms(150));
  Harness.advanceTime(ms(150));
  REQUIRE(Harness.commands<CancelTarget>().size() == 1);
  Harness.failure(1, TargetFailure::Abandoned);
  Harness.dispatch(1, 2, 1, ms(500));
  Harness.advanceTime(gate::MinAbandonedHold);
  CHECK(Harness.starts(2) == 1);
}

TEST_CASE("a waiting request is refused once it can't meet its deadline") {
  GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
  Harness.hello(1, 1);
  Harness.warmUp(1, 100, 200, ms(100));
  Harness.dispatch(1, 1, 1, ms(900));
  Harness.dispatch(1, 2, 1, ms(250));
  REQUIRE(Harness.sent<Refusal>().empty());
  Harness.advanceTime(ms(149));
  CHECK(Harness.sent<Refusal>().empty());
  Harness.advanceTime(ms(3));
  CHECK(singleRefusalReason(Harness) == RefusalReason::Overload);
}

TEST_CASE("without step events starts and ends of requests are not reported") {
  GateHarness Harness;
  Harness.gate().setStepEvents(false);
  Harness.hello(1, 1);
  Harness.dispatch(1, 1);
  Harness.answer(1);
  for (const Event &Each : Harness.commands<Event>()) {
    CHECK(Each.m_Id != EventId::RequestStarted);
    CHECK(Each.m_Id != EventId::RequestFinished);
  }
}

TEST_CASE(
    "the estimate of one kind decays while the target is busy with others") {
  // While the estimate is too high, requests of the kind can be refused, and so
  // give no samples that lower it. The decay lets them be admitted again.
  using gate::ServiceTimeEstimator;
  gate::ServiceTimes Times;
  const TimePoint Start{ms(1000)};
  Times.addSample("chart", ms(900), Start);
  Times.addSample("view", ms(100), Start);
  const Duration HalfLife = ServiceTimeEstimator::BusyHalfLife;
  for (TimePoint Now = Start; Now < Start + 2 * HalfLife; Now += ms(100))
    Times.addSample("view", ms(100), Now);
  const TimePoint Later = Start + 2 * HalfLife;
  CHECK(Times.estimate("chart", Start, std::nullopt).m_Mean == ms(900));
  CHECK(Times.estimate("chart", Later, std::nullopt).m_Mean == ms(225));
  CHECK(Times.estimate("view", Later, std::nullopt).m_Mean == ms(100));
}

TEST_CASE(
    "a draining target gets no new requests and finishes the running ones") {
  GateHarness Harness;
  Harness.hello(1, 1);
  Harness.dispatch(1, 1);
  GateSettings Draining;
  Draining.m_Version = 2;
  Draining.m_Draining = true;
  Harness.configure(Draining);
  Harness.dispatch(1, 2);
  CHECK(singleRefusalReason(Harness) == RefusalReason::TargetLeaving);
  CHECK(Harness.starts(2) == 0);
  Harness.answer(1);
  CHECK(Harness.sent<Answer>().size() == 1);
}
