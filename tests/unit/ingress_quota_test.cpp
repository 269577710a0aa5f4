#include "core/quota/accountants.h"
#include "core/quota/limits.h"
#include "ingress_fixture.h"

#include <doctest/doctest.h>

namespace dandelionfall::core {

namespace {

using namespace quota;

/// An ingress whose callers have a key of the team `red`.
class QuotaFixture : public IngressFixture {
public:
  explicit QuotaFixture(double Rate = 100) {
    auto Config =
        std::make_shared<Configuration>(*ConfigurationBuilder().build());
    Config->m_Teams = std::make_shared<TeamTable>(
        std::vector<TeamDefinition>{{{"red", 0, {Rate, Rate}}, {"key"}}});
    m_Ingress.onConfiguration(Config, m_Now);
    performCommands();
  }

  void callWithKey(CallId Id) {
    m_Ingress.onCall(Id, makeRequest("GET"), std::nullopt, m_Now, "", "key");
    performCommands();
  }

  std::vector<CreditRequest> asked() const { return sent<CreditRequest>(); }

  /// Replies to the latest request for credit.
  void grant(std::uint32_t Count, Duration Lease = LeaseTime,
             Duration RetryAfter = 0ms) {
    LinkId Link = 0;
    for (const SendTraffic &Each : m_Sends) {
      if (std::holds_alternative<CreditRequest>(Each.m_Message))
        Link = Each.m_Link;
    }
    m_Ingress.onMessage(
        Link,
        CreditGrant{asked().back().m_Sequence, "red", Count, Lease, RetryAfter},
        m_Now);
    performCommands();
  }
};

} // namespace

TEST_CASE("a request runs only with a credit, which lasts for its lease") {
  QuotaFixture Test;
  Test.callWithKey(1);
  REQUIRE(Test.asked().size() == 1);
  CHECK(Test.asked()[0].m_Team == "red");
  CHECK(Test.m_Dispatches.empty());
  Test.grant(1);
  REQUIRE(Test.m_Dispatches.size() == 1);
  CHECK(Test.m_Dispatches[0].m_Message.m_Team == "red");
  // The credit is used up, also if the request is repeated.
  Test.fail(Test.m_Dispatches[0]);
  CHECK(Test.m_Dispatches.size() == 2);
  Test.callWithKey(2);
  CHECK(Test.asked().size() == 2);
}

TEST_CASE("what did not run gives its credit to the next request") {
  QuotaFixture Test;
  Test.callWithKey(1);
  Test.grant(1);
  while (!Test.outcome(1))
    Test.refuse(Test.m_Dispatches.back());
  CHECK(Test.outcome(1) == CallOutcome::NotRun);
  const std::size_t Before = Test.m_Dispatches.size();
  SUBCASE("within the lease") {
    Test.callWithKey(2);
    CHECK(Test.m_Dispatches.size() == Before + 1);
    CHECK(Test.asked().size() == 1);
  }
  SUBCASE("not after it") {
    Test.advance(LeaseTime);
    Test.callWithKey(2);
    CHECK(Test.m_Dispatches.size() == Before);
    CHECK(Test.asked().size() == 2);
  }
}

TEST_CASE("a lease counts from when the credit was asked for") {
  constexpr Duration OnTheWay = 40ms;
  QuotaFixture Test;
  Test.callWithKey(1);
  Test.m_Ingress.onCallerDisconnected(1, Test.m_Now);
  Test.advance(OnTheWay);
  Test.grant(1);
  Test.advance(LeaseTime - OnTheWay);
  Test.callWithKey(2);
  CHECK(Test.m_Dispatches.empty());
  CHECK(Test.asked().size() == 2);
}

TEST_CASE("a request over the quota is rejected once all accountants deny it") {
  QuotaFixture Test;
  Test.callWithKey(1);
  Test.grant(0, LeaseTime, 700ms);
  CHECK_FALSE(Test.outcome(1));
  Test.grant(0, LeaseTime, 300ms);
  CHECK_FALSE(Test.outcome(1));
  Test.grant(0, LeaseTime, 900ms);
  REQUIRE(Test.outcome(1) == CallOutcome::OverQuota);
  CHECK(Test.m_Answers.at(1).m_RetryAfter == 300ms);
  CHECK(Test.m_Dispatches.empty());
  // At once, without asking, until credit is expected.
  Test.callWithKey(2);
  CHECK(Test.outcome(2) == CallOutcome::OverQuota);
  CHECK(Test.asked().size() == 3);
  Test.advance(300ms);
  Test.callWithKey(3);
  CHECK(Test.asked().size() == 4);
}

TEST_CASE("a request is not run if no accountant responds") {
  QuotaFixture Test;
  Test.callWithKey(1);
  SUBCASE("in time") { Test.advance(MaxCreditWait); }
  SUBCASE("as one") {
    for (int Reply = 0; Reply < 3; ++Reply)
      Test.grant(0, 0ms);
  }
  CHECK(Test.outcome(1) == CallOutcome::NotRun);
  CHECK(Test.m_Dispatches.empty());
}

TEST_CASE("a caller that leaves does not use a credit") {
  QuotaFixture Test;
  Test.callWithKey(1);
  Test.m_Ingress.onCallerDisconnected(1, Test.m_Now);
  Test.grant(1);
  CHECK(Test.m_Dispatches.empty());
  Test.callWithKey(2);
  CHECK(Test.m_Dispatches.size() == 1);
}

TEST_CASE("a team without a rate needs no credit") {
  QuotaFixture Test(0);
  Test.callWithKey(1);
  CHECK(Test.asked().empty());
  CHECK(Test.m_Dispatches.size() == 1);
}

} // namespace dandelionfall::core
