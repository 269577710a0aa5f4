// Requests that crash targets, at the ingress.
#include "unit/ingress_fixture.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace dandelionfall::core;

namespace {

/// An ingress whose calls of number 1 are requests that crash targets.
class WarnedIngress : public IngressFixture {
public:
  explicit WarnedIngress(std::uint64_t Seed = 1)
      : IngressFixture({"h0",
                        "a",
                        {7, 7},
                        Seed,
                        "least-loaded-of-two",
                        std::make_shared<Quarantine>(Incarnation{7, 7})}) {
    ConfigurationBuilder Builder;
    Builder.m_TargetZones = {"a", "a", "a"};
    Builder.m_Profile.m_RetryPercent = 100;
    Builder.m_Profile.m_RetryFloor = 10;
    configure(Builder);
  }

  void warn(const std::string &Method, std::uint64_t Ends) {
    CrashNotice Notice;
    for (std::uint64_t End = 1; End <= Ends; ++End)
      Notice.m_Evidence.push_back({fingerprintOf(*makeRequest(Method, "1")),
                                   false,
                                   {{5, 5}, End},
                                   Duration{0},
                                   End > 1});
    m_Ingress.onMessage(m_Links.begin()->first, Notice, m_Now);
    performCommands();
  }
};

} // namespace

TEST_CASE("a quarantined request is rejected at once, as not run") {
  WarnedIngress Test;
  Test.call(2, "GET");
  Test.warn("GET", 3);
  Test.call(1, "GET");
  CHECK(Test.outcome(1) == CallOutcome::NotRun);
  CHECK(Test.m_Answers.at(1).m_RetryAfter == 4 * Quarantine::Probation);
  CHECK(Test.m_Dispatches.size() == 1);
  Test.call(3, "GET");
  CHECK(Test.m_Dispatches.size() == 2);
}

TEST_CASE("a request that is quarantined while it runs is not sent again") {
  WarnedIngress Test;
  Test.call(1, "GET");
  REQUIRE(Test.m_Dispatches.size() == 1);
  Test.warn("GET", 3);
  Test.fail(Test.m_Dispatches.back());
  CHECK(Test.m_Dispatches.size() == 1);
  CHECK(Test.outcome(1) == CallOutcome::Unknown);
}

TEST_CASE("a request that a gate refuses as quarantined is tried at no other") {
  WarnedIngress Test;
  Test.call(1, "POST");
  Test.refuse(Test.m_Dispatches.back(), Quarantine::Lifetime,
              RefusalReason::Quarantined);
  CHECK(Test.m_Dispatches.size() == 1);
  CHECK(Test.outcome(1) == CallOutcome::NotRun);
  CHECK(Test.m_Answers.at(1).m_RetryAfter == Quarantine::Lifetime);
}

TEST_CASE("a gate learns the evidence before it gets a request") {
  WarnedIngress Test;
  Test.call(2, "GET");
  Test.answer(Test.m_Dispatches.back());
  Test.warn("GET", 2);
  Test.m_Sends.clear();
  const std::string Gate = Test.m_Dispatches.back().m_Gate;
  Test.m_Incarnations[Gate] = {9, 9};
  Test.breakLinks(Gate);
  Test.advance(1s);
  std::vector<std::size_t> Order;
  for (const SendTraffic &Send : Test.m_Sends) {
    if (Test.m_Links.contains(Send.m_Link) &&
        Test.m_Links.at(Send.m_Link) == Gate &&
        (std::holds_alternative<CrashNotice>(Send.m_Message) ||
         std::holds_alternative<Dispatch>(Send.m_Message)))
      Order.push_back(Send.m_Message.index());
  }
  REQUIRE(!Order.empty());
  CHECK(Order.front() == TrafficMessage(CrashNotice{}).index());
}

TEST_CASE("a retry after the end of a target is announced to the next gate as "
          "suspect") {
  WarnedIngress Test;
  Test.call(1, "GET");
  const ReceivedDispatch First = Test.m_Dispatches.back();
  Test.m_Sends.clear();
  const RequestId End{{5, 5}, 1};
  Test.reply(First, Failure{First.m_Message.m_Id, "end of stream", {}, End});
  REQUIRE(Test.m_Dispatches.size() == 2);
  const auto Notices = Test.sent<CrashNotice>(Test.m_Dispatches.back().m_Link);
  REQUIRE(Notices.size() == 1);
  REQUIRE(Notices[0].m_Evidence.size() == 1);
  CHECK((Notices[0].m_Evidence[0].m_End == End));
  // The second end is enough.
  Test.reply(Test.m_Dispatches.back(),
             Failure{Test.m_Dispatches.back().m_Message.m_Id,
                     "end of stream",
                     {},
                     RequestId{{6, 6}, 1}});
  CHECK(Test.m_Dispatches.size() == 2);
  CHECK(Test.outcome(1) == CallOutcome::Unknown);
}

TEST_CASE("all ingresses send a suspect to the same target, others elsewhere") {
  std::set<std::string> Gates;
  for (CallId Id = 10; Id < 20; ++Id) {
    std::set<std::string> GatesOfOne;
    for (const std::uint64_t Seed : {1U, 2U, 3U, 4U}) {
      WarnedIngress Test(Seed);
      Test.call(1, "GET");
      const CrashNotice Notice{
          {{fingerprintOf(*makeRequest("GET", std::to_string(Id))),
            false,
            {{5, 5}, 1}}}};
      Test.reply(Test.m_Dispatches.back(), Notice);
      Test.call(Id, "GET");
      GatesOfOne.insert(Test.m_Dispatches.back().m_Gate);
    }
    CHECK(GatesOfOne.size() == 1);
    Gates.merge(GatesOfOne);
  }
  CHECK(Gates.size() > 1);
}

TEST_CASE("an ingress that avoids a target for a while still sends suspects to "
          "the same target as the others") {
  for (CallId Suspect = 100; Suspect < 110; ++Suspect) {
    CAPTURE(Suspect);
    std::set<std::string> Gates;
    for (const std::string Avoided : {"", "gate1", "gate2", "gate3"}) {
      WarnedIngress Test;
      for (CallId Id = 10; Id < 30; ++Id) {
        Test.call(Id, "POST");
        const ReceivedDispatch First = Test.m_Dispatches.back();
        if (First.m_Gate == Avoided)
          Test.refuse(First, 0ms, RefusalReason::TargetDown);
        Test.answer(Test.m_Dispatches.back());
      }
      const CrashNotice Notice{
          {{fingerprintOf(*makeRequest("GET", std::to_string(Suspect))),
            false,
            {{5, 5}, 1}}}};
      Test.reply(Test.m_Dispatches.back(), Notice);
      Test.call(Suspect, "GET");
      Gates.insert(Test.m_Dispatches.back().m_Gate);
    }
    CHECK(Gates.size() == 1);
  }
}

TEST_CASE("a request that a gate returns as suspect goes to the target of all "
          "copies, be it the same") {
  std::set<std::string> Gates;
  for (const std::uint64_t Seed : {1U, 2U, 3U, 4U, 5U, 6U}) {
    WarnedIngress Test(Seed);
    Test.call(1, "GET");
    CHECK(!Test.m_Dispatches.back().m_Message.m_AsSuspect);
    CHECK(Test.m_Dispatches.back().m_Message.m_Repeatable);
    const ReceivedDispatch First = Test.m_Dispatches.back();
    Test.warn("GET", 1);
    Test.refuse(First, 0ms, RefusalReason::Suspect);
    REQUIRE(Test.m_Dispatches.size() == 2);
    CHECK(Test.m_Dispatches.back().m_Message.m_AsSuspect);
    Gates.insert(Test.m_Dispatches.back().m_Gate);
  }
  CHECK(Gates.size() == 1);
}

TEST_CASE(
    "a suspect that its target has no room for is rejected until there is "
    "room") {
  WarnedIngress Test;
  Test.call(2, "GET");
  Test.warn("GET", 1);
  Test.call(1, "GET");
  REQUIRE(Test.m_Dispatches.back().m_Message.m_AsSuspect);
  Test.refuse(Test.m_Dispatches.back(), 300ms, RefusalReason::Suspect);
  CHECK(Test.m_Dispatches.size() == 2);
  CHECK(Test.outcome(1) == CallOutcome::NotRun);
  CHECK(Test.m_Answers.at(1).m_RetryAfter == 300ms);
}
