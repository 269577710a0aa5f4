#include "unit/ingress_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace dandelionfall::core;

namespace {

std::size_t opensOf(const IngressFixture &Test, const std::string &Gate) {
  return static_cast<std::size_t>(
      std::count_if(Test.m_Opens.begin(), Test.m_Opens.end(),
                    [&Gate](const auto &Open) { return Open.second == Gate; }));
}

ConfigurationBuilder oneTarget() {
  ConfigurationBuilder Builder;
  Builder.m_TargetZones = {"a"};
  return Builder;
}

} // namespace

TEST_CASE("each new link sends a hello with a higher epoch") {
  IngressFixture Test;
  Test.configure(oneTarget());
  Test.call(1, "POST");
  for (int Round = 0; Round < 3; ++Round) {
    Test.m_Silent.insert(Test.m_Opens.back().first);
    Test.m_Ledger = LedgerState::Running;
    Test.advance(600ms);
  }
  const std::vector<TrafficHello> Hellos = Test.sent<TrafficHello>();
  REQUIRE(Hellos.size() == 4);
  for (std::size_t Next = 1; Next < Hellos.size(); ++Next)
    CHECK(Hellos[Next].m_Epoch > Hellos[Next - 1].m_Epoch);
}

TEST_CASE("a silent link is replaced within half a second, and its requests "
          "are inquired about before they are sent elsewhere") {
  IngressFixture Test;
  Test.configure(oneTarget());
  Test.call(1, "POST");
  const LinkId Old = Test.m_Opens.back().first;
  Test.m_Silent.insert(Old);
  Test.m_Ledger = LedgerState::Running;
  Test.advance(510ms);
  REQUIRE(Test.m_Opens.size() == 2);
  const LinkId New = Test.m_Opens.back().first;
  REQUIRE(Test.sent<Inquiry>(New).size() == 1);
  CHECK(Test.sent<Inquiry>(New)[0].m_Ids ==
        std::vector{Test.m_Dispatches[0].m_Message.m_Id});
  CHECK(Test.m_Closes == std::vector{Old});
}

TEST_CASE("a late answer on a silent link counts until the new link is ready") {
  IngressFixture Test;
  Test.configure(oneTarget());
  Test.call(1, "POST");
  Test.m_Silent.insert(Test.m_Opens.back().first);
  Test.m_Unreachable.insert("gate1");
  Test.advance(510ms);
  REQUIRE(Test.m_Opens.size() == 2);
  Test.answer(ReceivedDispatch(Test.m_Dispatches[0]));
  CHECK(Test.outcome(1) == CallOutcome::Answered);
}

TEST_CASE(
    "a process that was suspended pings again before it replaces a link") {
  IngressFixture Test;
  Test.configure(oneTarget());
  Test.call(1, "POST", 30s);
  Test.advance(300ms);
  const LinkId Link = Test.m_Opens.back().first;
  Test.m_Silent.insert(Link);
  Test.advance(150ms);
  Test.suspend(5s);
  Test.m_Silent.clear();
  Test.m_Ingress.onTick(Test.m_Now);
  Test.performCommands();
  CHECK(Test.m_Opens.size() == 1);
}

TEST_CASE("links of services in use are opened in advance and kept open") {
  IngressFixture Test;
  Test.configure({});
  Test.call(1, "POST");
  CHECK(Test.m_Opens.size() == 3);
  Test.answer(ReceivedDispatch(Test.m_Dispatches[0]));
  Test.breakLinks("gate2");
  Test.advance(100ms);
  CHECK(opensOf(Test, "gate2") == 2);
}

TEST_CASE("links with requests are pinged more often than idle links") {
  IngressFixture Test;
  Test.configure(oneTarget());
  Test.call(1, "POST", 20s);
  Test.advance(1s);
  CHECK(Test.sent<TrafficPing>().size() >= 4);
  Test.answer(ReceivedDispatch(Test.m_Dispatches[0]));
  const std::size_t Before = Test.sent<TrafficPing>().size();
  Test.advance(10s);
  CHECK(Test.sent<TrafficPing>().size() - Before <= 2);
}

TEST_CASE(
    "a gate that refuses connections is retried with increasing backoff") {
  IngressFixture Test;
  Test.m_Refusing = {"gate1"};
  Test.configure(oneTarget());
  Test.call(1, "POST");
  CHECK(Test.outcome(1) == CallOutcome::NotRun);
  Test.advance(1s);
  const std::size_t InFirst = opensOf(Test, "gate1");
  Test.advance(9s);
  const std::size_t InTen = opensOf(Test, "gate1");
  CHECK(InFirst <= 6);
  CHECK(InTen - InFirst <= 5);
  Test.m_Refusing.clear();
  Test.advance(6s);
  Test.call(2, "POST");
  CHECK(Test.m_Dispatches.size() == 1);
}

TEST_CASE("a request that could not be sent goes to another gate immediately") {
  IngressFixture Test;
  Test.m_Refusing = {"gate1"};
  Test.configure({});
  Test.call(1, "POST");
  REQUIRE(Test.m_Dispatches.size() == 1);
  CHECK(Test.m_Dispatches[0].m_Gate != "gate1");
}

TEST_CASE("a draining gate gets no requests until it restarts") {
  IngressFixture Test;
  Test.configure(oneTarget());
  Test.call(1, "POST");
  Test.reply(Test.m_Dispatches[0], TrafficGoAway{});
  Test.call(2, "POST");
  CHECK(Test.outcome(2) == CallOutcome::NotRun);
  Test.answer(ReceivedDispatch(Test.m_Dispatches[0]));
  CHECK(Test.outcome(1) == CallOutcome::Answered);
  Test.m_Incarnations["gate1"] = {5, 5};
  Test.breakLinks("gate1");
  Test.advance(100ms);
  Test.call(3, "POST");
  CHECK(Test.m_Dispatches.size() == 2);
}

TEST_CASE("a newer version at a gate is reported at a limited rate") {
  IngressFixture Test;
  Test.m_GateVersion = 2;
  Test.configure({});
  Test.call(1, "POST", 20s);
  Test.advance(900ms);
  REQUIRE(Test.m_NewerVersions.size() == 1);
  CHECK(Test.m_NewerVersions[0].m_Version == 2);
  Test.advance(1s);
  CHECK(Test.m_NewerVersions.size() == 2);
  ConfigurationBuilder Newer;
  Newer.m_Version = 2;
  Test.configure(Newer);
  Test.advance(3s);
  CHECK(Test.m_NewerVersions.size() == 2);
}
