// Calls whose target left, as its gate knew before the ingress did.
#include "ingress_fixture.h"

#include <doctest/doctest.h>

using namespace dandelionfall::core;

namespace {

/// An ingress that has sent one request to the only target.
struct RefusedCall {
  explicit RefusedCall(RefusalReason Reason, Duration Deadline = 5s) {
    m_Builder.m_TargetZones = {"a"};
    m_Test.configure(m_Builder);
    m_Test.call(1, "POST", Deadline);
    REQUIRE(m_Test.m_Dispatches.size() == 1);
    m_Test.refuse(ReceivedDispatch(m_Test.m_Dispatches[0]), 0ms, Reason);
  }

  void configure(std::vector<std::string> TargetZones) {
    ++m_Builder.m_Version;
    m_Builder.m_TargetZones = std::move(TargetZones);
    m_Test.configure(m_Builder);
  }

  ConfigurationBuilder m_Builder;
  IngressFixture m_Test;
};

} // namespace

// Guards against rejections during a release, where the gate of the leaving
// target learns of its replacement some milliseconds before the ingress.
TEST_CASE("a call whose target left is sent to the replacement") {
  for (const RefusalReason Reason :
       {RefusalReason::TargetLeaving, RefusalReason::UnknownTarget,
        RefusalReason::OtherTarget}) {
    RefusedCall Call(Reason);
    IngressFixture &Test = Call.m_Test;
    CHECK(!Test.outcome(1));
    Test.advance(150ms);
    Call.configure({"a", "b"});
    REQUIRE(Test.m_Dispatches.size() == 2);
    CHECK(Test.m_Dispatches[1].m_Gate == "gate2");
    CHECK(Test.m_Dispatches[1].m_Message.m_Remaining > 4800ms);
    Test.advance(1s);
    Test.answer(ReceivedDispatch(Test.m_Dispatches[1]));
    CHECK(Test.outcome(1) == CallOutcome::Answered);
  }
}

TEST_CASE("a call whose target left without a replacement is rejected soon") {
  RefusedCall Call(RefusalReason::TargetLeaving);
  IngressFixture &Test = Call.m_Test;
  Test.advance(100ms);
  SUBCASE("") {}
  SUBCASE("a configuration without another target does not prolong the wait") {
    Call.configure({"a"});
  }
  SUBCASE("a planned stop does not prolong the wait") {
    Test.m_Ingress.startDrain(Test.m_Now + 3s, Test.m_Now);
  }
  Test.advance(99ms);
  CHECK(!Test.outcome(1));
  Test.advance(1ms);
  CHECK(Test.outcome(1) == CallOutcome::NotRun);
  CHECK(Test.m_Ingress.openCalls() == 0);
  Call.configure({"a", "b"});
  CHECK(Test.m_Dispatches.size() == 1);
}

TEST_CASE("a call waits for no replacement longer than its deadline") {
  RefusedCall Call(RefusalReason::TargetLeaving, 50ms);
  Call.m_Test.advance(50ms);
  CHECK(Call.m_Test.outcome(1) == CallOutcome::NotRun);
}

TEST_CASE("a caller may leave while its call waits for a replacement") {
  RefusedCall Call(RefusalReason::TargetLeaving);
  Call.m_Test.m_Ingress.onCallerDisconnected(1, Call.m_Test.m_Now);
  CHECK(Call.m_Test.m_Ingress.openCalls() == 0);
  Call.configure({"a", "b"});
  CHECK(Call.m_Test.m_Dispatches.size() == 1);
}

TEST_CASE("other refusals by the only gate reject the call at once") {
  for (const RefusalReason Reason :
       {RefusalReason::Overload, RefusalReason::QueueFull,
        RefusalReason::TargetDown, RefusalReason::Draining,
        RefusalReason::ZoneOut}) {
    const RefusedCall Call(Reason);
    CHECK(Call.m_Test.outcome(1) == CallOutcome::NotRun);
  }
}
