// Calls that are open when the end of the process is announced.
#include "ingress_fixture.h"

#include <doctest/doctest.h>

using namespace dandelionfall::core;

namespace {

std::vector<Duration> announcedEnds(const IngressFixture &Test) {
  std::vector<Duration> Found;
  for (const TrafficPing &Each : Test.sent<TrafficPing>()) {
    if (Each.m_EndsIn)
      Found.push_back(*Each.m_EndsIn);
  }
  return Found;
}

} // namespace

// Guards against calls whose connections are cut off by the end of the process.
TEST_CASE("a planned stop finishes open calls before the process ends") {
  IngressFixture Test;
  ConfigurationBuilder Builder;
  Builder.m_Profile.m_AnswerGrace = 100ms;
  Test.configure(Builder);
  Test.call(1, "POST", 9s);
  Test.call(2, "GET", 9s);
  Test.m_Ingress.startDrain(Test.m_Now + 3s, Test.m_Now);
  Test.performCommands();
  Test.advance(2999ms);
  CHECK(!Test.outcome(1));
  SUBCASE("what may have run is of unknown outcome") {
    Test.advance(1ms);
    CHECK(Test.outcome(1) == CallOutcome::Unknown);
    CHECK(Test.outcome(2) == CallOutcome::Unknown);
    CHECK(Test.m_Ingress.openCalls() == 0);
    // The targets finish what they have begun.
    CHECK(Test.sent<Cancel>().empty());
  }
  SUBCASE("an answer that comes before is passed on") {
    Test.answer(ReceivedDispatch(Test.m_Dispatches.front()));
    CHECK(Test.outcome(1) == CallOutcome::Answered);
  }
  SUBCASE("a refused call has not run, and its caller learns it at once") {
    const ReceivedDispatch First = Test.m_Dispatches.front();
    Test.refuse(First);
    for (std::size_t Index = 2; Index < Test.m_Dispatches.size(); ++Index)
      Test.refuse(ReceivedDispatch(Test.m_Dispatches[Index]));
    CHECK(Test.outcome(1) == CallOutcome::NotRun);
  }
}

TEST_CASE("a call that waits for a link when the process ends has not run") {
  IngressFixture Test;
  Test.m_Unreachable = {"gate1", "gate2", "gate3"};
  Test.configure({});
  Test.call(1, "POST", 9s);
  Test.m_Ingress.startDrain(Test.m_Now + 200ms, Test.m_Now);
  Test.performCommands();
  Test.advance(200ms);
  CHECK(Test.outcome(1) == CallOutcome::NotRun);
}

TEST_CASE("a planned stop changes no call whose deadline is earlier") {
  IngressFixture Test;
  Test.configure({});
  Test.call(1, "POST", 500ms);
  Test.m_Ingress.startDrain(Test.m_Now + 3s, Test.m_Now);
  Test.advance(499ms);
  CHECK(!Test.outcome(1));
  Test.advance(1ms + Profile{}.m_AnswerGrace);
  CHECK(Test.outcome(1) == CallOutcome::Unknown);
}

TEST_CASE("the gates of open calls learn when the process ends") {
  IngressFixture Test;
  Test.configure({});
  Test.call(1, "POST", 9s);
  CHECK(announcedEnds(Test).empty());
  Test.m_Ingress.startDrain(Test.m_Now + 3s, Test.m_Now);
  Test.performCommands();
  REQUIRE(announcedEnds(Test).size() == 1);
  CHECK(announcedEnds(Test)[0] <= 3s);
  CHECK(announcedEnds(Test)[0] > 2900ms);
  SUBCASE("and learn it again from later pings") {
    Test.advance(1s);
    REQUIRE(announcedEnds(Test).size() > 1);
    CHECK(announcedEnds(Test).back() <= 2s + 200ms);
  }
  SUBCASE("and from a new link, which the announcement may have missed") {
    Test.breakLinks(Test.m_Dispatches.front().m_Gate);
    Test.m_Ledger = LedgerState::Running;
    Test.advance(60ms);
    REQUIRE(announcedEnds(Test).size() == 2);
  }
}
