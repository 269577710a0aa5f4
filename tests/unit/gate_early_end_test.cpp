// Waiting requests whose ingress or gate is stopped before they can be done.
#include "gate_harness.h"

#include <doctest/doctest.h>

using namespace dandelionfall::core;
using namespace dandelionfall::core::testing;

namespace {

const Duration Grace = Profile{}.m_AnswerGrace;

void announceEnd(GateHarness &Harness, LinkId Link, Duration EndsIn) {
  Harness.message(Link, TrafficPing{1, 1, EndsIn});
}

void dispatchMany(GateHarness &Harness, std::uint64_t First,
                  std::uint64_t Last) {
  for (std::uint64_t Sequence = First; Sequence <= Last; ++Sequence)
    Harness.dispatch(1, Sequence, 1, ms(5000));
}

std::size_t refusals(const GateHarness &Harness, RefusalReason Reason) {
  std::size_t Count = 0;
  for (const auto &[Link, Message] : Harness.sent<Refusal>())
    Count += Message.m_Reason == Reason ? 1 : 0;
  return Count;
}

void checkRefused(const GateHarness &Harness, std::uint64_t Sequence) {
  std::size_t Count = 0;
  for (const auto &[Link, Message] : Harness.sent<Refusal>())
    Count += Message.m_Id == GateHarness::id(Sequence) ? 1 : 0;
  CHECK(Count == 1);
  CHECK(Harness.starts(Sequence) == 0);
}

} // namespace

// Guards against requests that are cut off, though they have not begun, when
// the node that took them stops.
TEST_CASE("requests that can't be done before their ingress ends are refused "
          "at once") {
  GateHarness Harness({.m_Slots = 2, .m_ColdLimit = 2});
  Harness.hello(1, 1);
  Harness.warmUp(1, 100, 50, ms(100));
  dispatchMany(Harness, 1, 6);
  Harness.takeAll();
  announceEnd(Harness, 1, ms(250) + Grace);
  CHECK(Harness.sent<Refusal>().size() == 2);
  checkRefused(Harness, 5);
  checkRefused(Harness, 6);
  SUBCASE("the others are served") {
    Harness.advanceTime(ms(100));
    Harness.answer(1);
    Harness.answer(2);
    CHECK(Harness.starts(3) == 1);
    CHECK(Harness.starts(4) == 1);
    CHECK(Harness.sent<Refusal>().size() == 2);
  }
  SUBCASE("the others are refused once their slots become free too late") {
    Harness.advanceTime(ms(200));
    CHECK(Harness.sent<Refusal>().size() == 4);
    Harness.answer(1);
    CHECK(Harness.commands<StartTarget>().empty());
  }
  SUBCASE("a refused request never runs") {
    Harness.takeAll();
    Harness.message(1, Inquiry{{GateHarness::id(5)}});
    REQUIRE(Harness.sent<InquiryReply>().size() == 1);
    CHECK(Harness.sent<InquiryReply>()[0].second.m_State ==
          LedgerState::NeverRuns);
  }
}

TEST_CASE("without known service times, requests are refused when the first "
          "answers show that the time is too short") {
  GateHarness Harness({.m_Slots = 2, .m_ColdLimit = 2});
  Harness.hello(1, 1);
  for (std::uint64_t Sequence = 1; Sequence <= 6; ++Sequence)
    Harness.dispatch(1, Sequence, 1, ms(8000));
  Harness.takeAll();
  announceEnd(Harness, 1, ms(5700));
  CHECK(Harness.sent<Refusal>().empty());
  Harness.advanceTime(ms(3200));
  Harness.answer(1);
  Harness.answer(2);
  CHECK(Harness.sent<Refusal>().size() == 4);
  CHECK(Harness.commands<StartTarget>().empty());
}

TEST_CASE("the end of an ingress concerns only its own waiting requests") {
  GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
  Harness.hello(1, 1);
  Harness.hello(2, 1, 2);
  Harness.warmUp(1, 100, 50, ms(100));
  Harness.dispatch(1, 1, 1, ms(5000));
  Harness.dispatch(1, 2, 1, ms(5000));
  Harness.dispatch(2, 1, 1, ms(5000), 2);
  Harness.takeAll();
  announceEnd(Harness, 1, ms(150) + Grace);
  CHECK(Harness.sent<Refusal>().size() == 1);
  checkRefused(Harness, 2);
  Harness.advanceTime(ms(100));
  Harness.answer(1);
  CHECK(Harness.starts(1, 2) == 1);
}

TEST_CASE("the end of an ingress does not break off what runs") {
  GateHarness Harness;
  Harness.hello(1, 1);
  Harness.dispatch(1, 1, 1, ms(5000));
  announceEnd(Harness, 1, ms(200));
  Harness.advanceTime(ms(1000));
  CHECK(Harness.commands<CancelTarget>().empty());
  Harness.answer(1);
  CHECK(Harness.sent<Answer>().size() == 1);
}

TEST_CASE("the end of an ingress never lengthens a deadline") {
  GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
  Harness.hello(1, 1);
  Harness.dispatch(1, 1, 1, ms(400));
  Harness.dispatch(1, 2, 1, ms(400));
  Harness.takeAll();
  announceEnd(Harness, 1, ms(60'000));
  Harness.advanceTime(ms(399));
  CHECK(Harness.sent<Refusal>().empty());
  Harness.advanceTime(ms(2));
  CHECK(refusals(Harness, RefusalReason::DeadlinePassed) == 1);
}

TEST_CASE("an end that has passed refuses what waits") {
  for (const Duration EndsIn : {ms(0), ms(-5000), Duration::min() / 2}) {
    GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
    Harness.hello(1, 1);
    Harness.dispatch(1, 1, 1, ms(5000));
    Harness.dispatch(1, 2, 1, ms(5000));
    announceEnd(Harness, 1, EndsIn);
    checkRefused(Harness, 2);
    CHECK(Harness.commands<CancelTarget>().empty());
  }
}

// Guards against requests that are said to have run perhaps, though they have
// not begun, when the node beside their target stops.
TEST_CASE("a gate that stops refuses the waiting requests that can't be done "
          "by its end") {
  GateHarness Harness({.m_Slots = 2, .m_ColdLimit = 2});
  Harness.hello(1, 1);
  Harness.warmUp(1, 100, 50, ms(100));
  dispatchMany(Harness, 1, 6);
  Harness.takeAll();
  Harness.drain(ms(250));
  CHECK(Harness.sent<Refusal>().size() == 2);
  checkRefused(Harness, 5);
  checkRefused(Harness, 6);
  Harness.advanceTime(ms(100));
  Harness.answer(1);
  Harness.answer(2);
  CHECK(Harness.starts(3) == 1);
  CHECK(Harness.starts(4) == 1);
}

TEST_CASE("a gate that stops at an unknown time keeps its waiting requests") {
  GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
  Harness.hello(1, 1);
  Harness.warmUp(1, 100, 50, ms(100));
  dispatchMany(Harness, 1, 3);
  Harness.takeAll();
  Harness.drain();
  CHECK(Harness.sent<Refusal>().empty());
}
