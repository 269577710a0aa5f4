// What an ingress remembers of the statements of targets.
#include "unit/ingress_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace dandelionfall::core;

namespace {

ConfigurationBuilder oneTarget() {
  ConfigurationBuilder Builder;
  Builder.m_TargetZones = {"a"};
  return Builder;
}

/// Makes 20 calls per second. `gate1` refuses them if `IsFull`; all others are
/// answered.
/// \returns the number of calls that reached `gate1`.
std::size_t callsAtRateLimited(IngressFixture &Test, Duration Time,
                               bool IsFull) {
  const std::size_t Before = Test.m_Dispatches.size();
  constexpr Duration Interval = 50ms;
  for (Duration Passed{0}; Passed < Time; Passed += Interval) {
    Test.call(Test.m_Dispatches.size() + 1, "GET");
    if (IsFull && Test.m_Dispatches.back().m_Gate == "gate1")
      Test.refuse(Test.m_Dispatches.back(), 500ms);
    Test.answer(Test.m_Dispatches.back());
    Test.advance(Interval);
  }
  return static_cast<std::size_t>(std::count_if(
      Test.m_Dispatches.begin() + static_cast<std::ptrdiff_t>(Before),
      Test.m_Dispatches.end(),
      [](const auto &Each) { return Each.m_Gate == "gate1"; }));
}

ConfigurationBuilder twoTargets() {
  ConfigurationBuilder Builder;
  Builder.m_TargetZones = {"a", "a"};
  return Builder;
}

} // namespace

TEST_CASE("a restarted gate is told the rate that its target stated") {
  IngressFixture Test;
  Test.configure(oneTarget());
  Test.call(1, "GET");
  CHECK(!Test.m_Dispatches.back().m_Message.m_StatedRate);
  Test.answer(Test.m_Dispatches.back(), {8.2});
  Test.m_Incarnations["gate1"] = {9, 9};
  Test.breakLinks("gate1");
  Test.advance(1s);
  Test.call(2, "GET");
  REQUIRE(Test.m_Dispatches.size() == 2);
  CHECK(Test.m_Dispatches.back().m_Message.m_StatedRate == 8.2);
  Test.answer(Test.m_Dispatches.back(), TargetStatement{});
  Test.call(3, "GET");
  CHECK(!Test.m_Dispatches.back().m_Message.m_StatedRate);
}

TEST_CASE("a target that states that it is leaving is not selected again, even "
          "after a restart of its gate") {
  for (const bool Refused : {false, true}) {
    IngressFixture Test;
    ConfigurationBuilder Builder = oneTarget();
    Test.configure(Builder);
    Test.call(1, "GET");
    if (Refused)
      Test.reply(Test.m_Dispatches.back(),
                 Refusal{Test.m_Dispatches.back().m_Message.m_Id,
                         RefusalReason::TargetLeaving, 0ms, 1, Capacity{},
                         TargetStatement{std::nullopt, true}});
    else
      Test.answer(Test.m_Dispatches.back(), {std::nullopt, true});
    Test.m_Incarnations["gate1"] = {9, 9};
    Test.breakLinks("gate1");
    Test.advance(10s);
    Test.call(2, "GET");
    CHECK(Test.m_Dispatches.size() == 1);
    CHECK(Test.outcome(2) == CallOutcome::NotRun);
    // The next target at the same gate is not affected.
    Builder.m_Version = 2;
    Builder.m_StartedAtMs = 1000;
    Test.configure(Builder);
    Test.call(3, "GET");
    CHECK(Test.m_Dispatches.size() == 2);
  }
}

TEST_CASE("a reordered response doesn't withdraw that a target is leaving") {
  IngressFixture Test;
  Test.configure(oneTarget());
  Test.call(1, "GET");
  Test.call(2, "GET");
  Test.answer(Test.m_Dispatches[0], {std::nullopt, true});
  Test.answer(Test.m_Dispatches[1], TargetStatement{});
  Test.call(3, "GET");
  CHECK(Test.m_Dispatches.size() == 2);
}

TEST_CASE("a leaving target is not selected after its entry lapsed and came "
          "back") {
  IngressFixture Test;
  ConfigurationBuilder Builder = oneTarget();
  Test.configure(Builder);
  Test.call(1, "GET");
  Test.answer(Test.m_Dispatches.back(), {std::nullopt, true});
  Test.m_Refusing = {"gate1"};
  Test.breakLinks("gate1");
  Builder.m_TargetZones.clear();
  Builder.m_Version = 2;
  Test.configure(Builder);
  Test.advance(10s);
  Builder.m_Version = 3;
  Test.configure(Builder);
  Test.m_Refusing.clear();
  Builder.m_TargetZones = {"a"};
  Builder.m_Version = 4;
  Test.configure(Builder);
  Test.advance(10s);
  Test.call(2, "GET");
  CHECK(Test.m_Dispatches.size() == 1);
  CHECK(Test.outcome(2) == CallOutcome::NotRun);
}

TEST_CASE("the statement of the next target at a gate doesn't replace that of "
          "a leaving one") {
  IngressFixture Test;
  ConfigurationBuilder Builder = oneTarget();
  Test.configure(Builder);
  Test.call(1, "GET");
  Test.answer(Test.m_Dispatches.back(), {std::nullopt, true});
  Builder.m_Version = 2;
  Builder.m_StartedAtMs = 1000;
  Test.configure(Builder);
  Test.call(2, "GET");
  Test.answer(Test.m_Dispatches.back(), TargetStatement{});
  // A record of the store that is read from behind.
  Builder.m_Version = 3;
  Builder.m_StartedAtMs = 0;
  Test.configure(Builder);
  Test.call(3, "GET");
  CHECK(Test.m_Dispatches.size() == 2);
}

TEST_CASE("a request that waits for a link is not sent to a target that is "
          "leaving by then") {
  IngressFixture Test;
  Test.configure(oneTarget());
  Test.call(1, "GET");
  const ReceivedDispatch First = Test.m_Dispatches.back();
  Test.m_Silent = {First.m_Link};
  Test.m_Unreachable = {"gate1"};
  Test.advance(600ms);
  Test.call(2, "GET");
  Test.answer(First, {std::nullopt, true});
  const LinkId Replacement = Test.m_Opens.back().first;
  REQUIRE(Replacement != First.m_Link);
  Test.m_Links[Replacement] = "gate1";
  Test.m_Ingress.onLinkOpened(Replacement, Test.m_Now);
  Test.performCommands();
  CHECK(Test.m_Dispatches.size() == 1);
  CHECK(Test.outcome(2) == CallOutcome::NotRun);
}

TEST_CASE("a target whose entry says draining is selected again once the entry "
          "says ready") {
  IngressFixture Test;
  ConfigurationBuilder Builder = oneTarget();
  Test.configure(Builder);
  Test.call(1, "GET");
  Test.refuse(Test.m_Dispatches.back(), 0ms, RefusalReason::TargetLeaving);
  Builder.m_Version = 2;
  Test.configure(Builder);
  Test.call(2, "GET");
  CHECK(Test.m_Dispatches.size() == 2);
}

TEST_CASE("an ingress that restarted learns from a gate which targets are "
          "leaving") {
  IngressFixture Test;
  Test.configure(twoTargets());
  Test.call(1, "GET");
  Test.reply(Test.m_Dispatches.back(), LeavingNotice{{{"t1", 0}}});
  for (CallId Id = 2; Id < 20; ++Id) {
    Test.call(Id, "GET");
    CHECK(Test.m_Dispatches.back().m_Gate == "gate2");
  }
}

TEST_CASE(
    "an ingress tells a gate that has restarted which targets are leaving "
    "before it sends requests") {
  IngressFixture Test;
  Test.configure(twoTargets());
  Test.call(1, "GET");
  Test.answer(Test.m_Dispatches.back(), {std::nullopt, true});
  const std::string Leaving = Test.m_Dispatches.back().m_Message.m_Target;
  for (const std::string Gate : {"gate1", "gate2"}) {
    Test.m_Incarnations[Gate] = {9, 9};
    Test.m_Sends.clear();
    Test.breakLinks(Gate);
    Test.advance(1s);
    Test.call(Gate == "gate1" ? 2 : 3, "GET");
    const auto First = std::find_if(
        Test.m_Sends.begin(), Test.m_Sends.end(), [](const SendTraffic &Sent) {
          return !std::holds_alternative<TrafficHello>(Sent.m_Message);
        });
    REQUIRE(First != Test.m_Sends.end());
    CHECK(First->m_Message == TrafficMessage(LeavingNotice{{{Leaving, 0}}}));
  }
}

TEST_CASE("a rate-limited target receives requests while others have room") {
  for (const char *Strategy : {"least-loaded-of-two", "priced-zones"}) {
    IngressFixture Test({"h0", "a", {7, 7}, 1, Strategy});
    Test.m_Load["gate1"] = {0, 0, 1, 1ms, 6.0};
    Test.configure(twoTargets());
    const std::size_t Count = callsAtRateLimited(Test, 10s, /*IsFull=*/false);
    CHECK(Count >= 9);
    CHECK(Count <= 11);
    // Once it states no rate any more, it gets its share.
    Test.m_Load["gate1"] = {0, 0, 4, 1ms};
    callsAtRateLimited(Test, 1s, false);
    CHECK(callsAtRateLimited(Test, 10s, false) > 60);
  }
}

TEST_CASE("a rate-limited target whose gate refuses is checked less often") {
  IngressFixture Test;
  Test.m_Load["gate1"] = {0, 0, 1, 1ms, 6.0};
  Test.configure(twoTargets());
  const std::size_t Count = callsAtRateLimited(Test, 20s, /*IsFull=*/true);
  CHECK(Count >= 5);
  CHECK(Count <= 7);
}
