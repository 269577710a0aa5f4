#include "core/ingress/attempt_field.h"
#include "core/ingress/idempotency.h"
#include "core/ingress/retry_budget.h"
#include "unit/ingress_fixture.h"

#include <doctest/doctest.h>

#include <memory>

using namespace dandelionfall::core;

TEST_CASE(
    "methods are idempotent as in RFC 9110, unless the route overrides it") {
  struct {
    const char *m_Method;
    bool m_Idempotent;
  } const Cases[] = {
      {"GET", true},      {"HEAD", true},   {"OPTIONS", true}, {"TRACE", true},
      {"PUT", true},      {"DELETE", true}, {"POST", false},   {"PATCH", false},
      {"CONNECT", false}, {"get", false},   {"BREW", false},
  };
  for (const auto &Case : Cases) {
    CAPTURE(Case.m_Method);
    CHECK(ingress::isIdempotent(Idempotency::ByMethod, Case.m_Method) ==
          Case.m_Idempotent);
    CHECK(ingress::isIdempotent(Idempotency::Always, Case.m_Method));
    CHECK_FALSE(ingress::isIdempotent(Idempotency::Never, Case.m_Method));
  }
}

TEST_CASE("requests that change something don't change places by method") {
  for (const char *Method :
       {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE", "POST"}) {
    CAPTURE(Method);
    const std::string Name = Method;
    const bool IsSafe = Name != "PUT" && Name != "DELETE" && Name != "POST";
    CHECK(ingress::mayRunBeside(Idempotency::ByMethod, Method) == IsSafe);
    CHECK(ingress::mayRunBeside(Idempotency::Always, Method));
    CHECK_FALSE(ingress::mayRunBeside(Idempotency::Never, Method));
  }
}

TEST_CASE("the idempotency rule of the route reaches the dispatch") {
  for (const Idempotency Rule : {Idempotency::Always, Idempotency::Never}) {
    IngressFixture Test;
    ConfigurationBuilder Builder;
    Builder.m_Idempotency = Rule;
    Test.configure(Builder);
    Test.call(1, Rule == Idempotency::Never ? "GET" : "POST");
    Test.fail(ReceivedDispatch(Test.m_Dispatches[0]));
    CHECK(Test.m_Dispatches[0].m_Message.m_Idempotent ==
          (Rule == Idempotency::Always));
    CHECK(Test.m_Dispatches.size() == (Rule == Idempotency::Always ? 2 : 1));
  }
}

TEST_CASE("the retry budget is a share of the successes plus a small floor") {
  ingress::RetryBudget Budget;
  const Profile Policy;
  TimePoint Now{1s};
  int Taken = 0;
  while (Budget.tryConsume(Policy, Now))
    ++Taken;
  CHECK(Taken == 3);
  for (int Success = 0; Success < 100; ++Success)
    Budget.recordSuccess(Policy);
  while (Budget.tryConsume(Policy, Now))
    ++Taken;
  CHECK(Taken >= 12);
  CHECK(Taken <= 13);
  Now += 2s;
  CHECK(Budget.tryConsume(Policy, Now));
  CHECK(Budget.tryConsume(Policy, Now));
  CHECK_FALSE(Budget.tryConsume(Policy, Now));
}

TEST_CASE("retries of slow requests leave a reserve for failed requests") {
  ingress::RetryBudget Budget;
  const Profile Policy;
  const TimePoint Now{1s};
  int Taken = 0;
  while (Budget.tryConsume(Policy, Now, 2.0))
    ++Taken;
  CHECK(Taken == 1);
  CHECK(Budget.tryConsume(Policy, Now));
}

TEST_CASE("a node's retries in a window stay within its share of the budget") {
  Profile Policy;
  Policy.m_RetryFloor = 1.25;
  Policy.m_RetryFloorPerSecond = 0.125;
  Policy.m_RetryCeiling = 2.5;
  ingress::RetryBudget Budget;
  TimePoint Now{1s};
  for (int Success = 0; Success < 1000; ++Success)
    Budget.recordSuccess(Policy);
  int Taken = 0;
  for (int Step = 0; Step < 100; ++Step, Now += 100ms)
    Taken += Budget.tryConsume(Policy, Now) ? 1 : 0;
  CHECK(Taken <= 4);
}

TEST_CASE("with all targets failing, retries stay within the budget") {
  IngressFixture Test;
  Test.configure({});
  for (CallId Id = 1; Id <= 100; ++Id) {
    Test.call(Id, "GET");
    while (!Test.outcome(Id))
      Test.fail(ReceivedDispatch(Test.m_Dispatches.back()));
    CHECK(Test.outcome(Id) == CallOutcome::Unknown);
  }
  CHECK(Test.m_Dispatches.size() == 103);
}

TEST_CASE(
    "a repeated request is marked, and a marked request is not repeated") {
  IngressFixture Test;
  Test.configure({});
  Test.call(1, "GET");
  CHECK_FALSE(ingress::isRepeat(*Test.m_Dispatches[0].m_Message.m_Request));
  Test.fail(ReceivedDispatch(Test.m_Dispatches[0]));
  const HttpRequestPtr Repeat = Test.m_Dispatches[1].m_Message.m_Request;
  REQUIRE(ingress::isRepeat(*Repeat));
  auto LowerCase = std::make_shared<HttpRequest>(*Repeat);
  LowerCase->m_Fields[0].m_Name = "dandelionfall-attempt";
  Test.m_Ingress.onCall(2, LowerCase, std::nullopt, Test.m_Now);
  Test.performCommands();
  Test.fail(ReceivedDispatch(Test.m_Dispatches[2]));
  CHECK(Test.outcome(2) == CallOutcome::Unknown);
  CHECK(Test.m_Dispatches.size() == 3);
}

namespace {

constexpr int Levels = 15;

/// A chain of services, each behind its own ingress; the last one always fails.
class FailingChain {
public:
  FailingChain() {
    for (int Level = 0; Level < Levels; ++Level) {
      m_Chain.push_back(std::make_unique<IngressFixture>());
      m_Chain.back()->configure({});
    }
  }

  /// Calls the service at a level.
  void call(int Level, const HttpRequestPtr &Request) {
    if (Level == Levels) {
      ++m_LeafRuns;
      return;
    }
    IngressFixture &Own = *m_Chain[static_cast<std::size_t>(Level)];
    const CallId Id = ++m_LastCall;
    Own.m_Ingress.onCall(Id, Request, 60s, Own.m_Now);
    Own.performCommands();
    while (!Own.outcome(Id)) {
      const ReceivedDispatch Run = Own.m_Dispatches.back();
      call(Level + 1, Run.m_Message.m_Request);
      Own.fail(Run);
    }
  }

  int m_LeafRuns = 0;

private:
  std::vector<std::unique_ptr<IngressFixture>> m_Chain;
  CallId m_LastCall = 0;
};

} // namespace

TEST_CASE("retries do not multiply through 15 levels") {
  FailingChain Chain;
  Chain.call(0, makeRequest("GET"));
  // Each level repeats only its own request, and repeats are not repeated.
  CHECK(Chain.m_LeafRuns <= 1 + 2 * Levels);
}

TEST_CASE("a slow attempt stays open when the next one is refused") {
  IngressFixture Test;
  Test.configure({});
  Test.call(1, "GET");
  Test.advance(1s);
  REQUIRE(Test.m_Dispatches.size() == 2);
  CHECK(Test.sent<Cancel>().empty());
  SUBCASE("the next one is refused") {
    Test.refuse(ReceivedDispatch(Test.m_Dispatches[1]), 100ms);
    CHECK_FALSE(Test.outcome(1));
    Test.answer(ReceivedDispatch(Test.m_Dispatches[0]));
    CHECK(Test.outcome(1) == CallOutcome::Answered);
  }
  SUBCASE("the next one answers") {
    Test.answer(ReceivedDispatch(Test.m_Dispatches[1]));
    CHECK(Test.outcome(1) == CallOutcome::Answered);
    CHECK(Test.sent<Cancel>().size() == 1);
  }
}
