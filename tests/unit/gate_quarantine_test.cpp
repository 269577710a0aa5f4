// Requests that crash targets, at the gate.
#include "gate_harness.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace dandelionfall::core;
using namespace dandelionfall::core::testing;

namespace {

HttpRequestPtr request(const std::string &Path) {
  return std::make_shared<const HttpRequest>(
      HttpRequest{"GET", Path, "host", {}, ""});
}

/// A gate to which other nodes have sent evidence, and an ingress that knows it
/// too.
class WarnedGate {
public:
  WarnedGate() { m_Harness.hello(1, 1); }

  void warn(const std::string &Path, std::uint64_t Ends) {
    CrashNotice Notice;
    for (std::uint64_t End = 1; End <= Ends; ++End)
      Notice.m_Evidence.push_back({fingerprintOf(*request(Path)),
                                   false,
                                   {{5, 5}, ++m_Ends},
                                   Duration{0},
                                   End > 1 || m_Warned.contains(Path)});
    m_Warned.insert(Path);
    m_Harness.message(1, Notice);
    m_Harness.advanceTime(Quarantine::SuspectDelay);
  }

  void dispatch(std::uint64_t Sequence, const std::string &Path) {
    m_Harness.takeAll();
    Dispatch Message = GateHarness::makeDispatch(Sequence);
    Message.m_Request = request(Path);
    Message.m_AsSuspect = m_Warned.contains(Path);
    m_Harness.message(1, Message);
  }

  std::optional<RefusalReason> refusal() const {
    const auto Refused = m_Harness.sent<Refusal>();
    if (Refused.empty())
      return std::nullopt;
    return Refused.back().second.m_Reason;
  }

  GateHarness m_Harness;

private:
  std::uint64_t m_Ends = 0;
  std::set<std::string> m_Warned;
};

} // namespace

TEST_CASE("a gate runs no request under which two targets ended") {
  WarnedGate Gate;
  Gate.warn("/guilty", 2);
  Gate.dispatch(1, "/guilty");
  CHECK(Gate.m_Harness.starts(1) == 0);
  CHECK(Gate.refusal() == RefusalReason::Quarantined);
  Gate.dispatch(2, "/innocent");
  CHECK(Gate.m_Harness.starts(2) == 1);
}

TEST_CASE("a waiting request is refused once it is quarantined") {
  WarnedGate Gate;
  for (const std::uint64_t Sequence : {1, 2, 3, 4})
    Gate.dispatch(Sequence, "/other");
  Gate.dispatch(5, "/guilty");
  CHECK(!Gate.refusal());
  Gate.warn("/guilty", 2);
  Gate.m_Harness.answer(1);
  CHECK(Gate.m_Harness.starts(5) == 0);
  CHECK(Gate.refusal() == RefusalReason::Quarantined);
}

TEST_CASE("two suspects run one after the other, others beside them") {
  WarnedGate Gate;
  Gate.warn("/guilty", 1);
  Gate.warn("/beside", 1);
  Gate.dispatch(1, "/guilty");
  CHECK(Gate.m_Harness.starts(1) == 1);
  Gate.dispatch(2, "/beside");
  CHECK(!Gate.refusal());
  CHECK(Gate.m_Harness.starts(2) == 0);
  Gate.dispatch(3, "/guilty");
  CHECK(Gate.m_Harness.starts(3) == 1);
  Gate.dispatch(4, "/innocent");
  CHECK(Gate.m_Harness.starts(4) == 1);
  Gate.m_Harness.answer(1);
  CHECK(Gate.m_Harness.starts(2) == 1);
}

TEST_CASE("a gate counts the ends of its own target and tells new ingresses") {
  WarnedGate Gate;
  Gate.warn("/guilty", 1);
  Gate.dispatch(1, "/guilty");
  Gate.m_Harness.failure(1, TargetFailure::Reset);
  Gate.m_Harness.check(true);
  Gate.dispatch(2, "/guilty");
  CHECK(Gate.refusal() == RefusalReason::Quarantined);
  Gate.m_Harness.takeAll();
  Gate.m_Harness.hello(2, 1, 2);
  const auto Notices = Gate.m_Harness.sent<CrashNotice>();
  REQUIRE(Notices.size() == 1);
  CHECK(Notices[0].first == 2);
  CHECK(Notices[0].second.m_Evidence.size() == 2);
}

TEST_CASE("an answer clears a suspect, a server error doesn't") {
  for (const std::uint32_t Status : {200U, 404U, 500U, 504U}) {
    CAPTURE(Status);
    WarnedGate Gate;
    Gate.warn("/suspect", 1);
    Gate.dispatch(1, "/suspect");
    Gate.m_Harness.gate().onTargetAnswer(
        GateHarness::id(1),
        std::make_shared<const HttpResponse>(HttpResponse{Status, {}, ""}),
        Gate.m_Harness.now());
    Gate.m_Harness.advanceTime(ms(10));
    Gate.warn("/suspect", 1);
    Gate.dispatch(2, "/suspect");
    CHECK((Gate.refusal() == RefusalReason::Quarantined) == (Status >= 500));
  }
}

TEST_CASE("a notice that is too large closes the link") {
  GateHarness Harness;
  Harness.hello(1, 1);
  CrashNotice Notice;
  Notice.m_Evidence.resize(Quarantine::MaxExchanged + 1);
  Harness.message(1, Notice);
  CHECK(Harness.commands<CloseTrafficLink>().size() == 1);
}

TEST_CASE("a running request is cancelled once it is quarantined") {
  WarnedGate Gate;
  Gate.dispatch(1, "/guilty");
  Gate.dispatch(2, "/innocent");
  Gate.warn("/guilty", 2);
  Gate.m_Harness.takeAll();
  Gate.m_Harness.gate().spread(CrashNotice{}, Gate.m_Harness.now());
  Gate.m_Harness.tick();
  const auto Cancelled = Gate.m_Harness.commands<CancelTarget>();
  REQUIRE(Cancelled.size() == 1);
  CHECK((Cancelled[0].m_Id == GateHarness::id(1)));
  CHECK(Gate.m_Harness.sent<Failure>().size() == 1);
}

namespace {

/// A gate whose target refuses connections while it runs a request.
struct RefusingTarget : WarnedGate {
  explicit RefusingTarget(std::uint64_t Ends) {
    warn("/guilty", Ends);
    dispatch(1, "/guilty");
    dispatch(2, "/guilty");
    m_Harness.failure(2, TargetFailure::NotSent);
  }

  std::vector<RefusalReason> refusals() const {
    std::vector<RefusalReason> Reasons;
    for (const auto &[Link, Refused] : m_Harness.sent<Refusal>())
      Reasons.push_back(Refused.m_Reason);
    return Reasons;
  }

  void endTarget() {
    m_Harness.takeAll();
    m_Harness.failure(1, TargetFailure::Reset);
    m_Harness.check(true);
  }
};

} // namespace

TEST_CASE("a copy that an ending target didn't accept is refused as "
          "quarantined, not sent elsewhere") {
  RefusingTarget Test(1);
  CHECK(Test.refusals().empty());
  Test.endTarget();
  CHECK(Test.refusals() == std::vector{RefusalReason::Quarantined});
}

TEST_CASE("an ingress learns the evidence before a copy that an ending target "
          "didn't accept") {
  RefusingTarget Test(0);
  CHECK(Test.refusals().empty());
  Test.endTarget();
  CHECK(Test.refusals() == std::vector{RefusalReason::TargetDown});
  bool Known = false;
  for (const SendTraffic &Each : Test.m_Harness.commands<SendTraffic>()) {
    if (const auto *Notice = std::get_if<CrashNotice>(&Each.m_Message))
      Known |= !Notice->m_Evidence.empty();
    if (std::holds_alternative<Refusal>(Each.m_Message))
      CHECK(Known);
  }
}

TEST_CASE("a copy that a target didn't accept waits for no more than 20 ms") {
  RefusingTarget Test(0);
  Test.m_Harness.advanceTime(ms(20));
  CHECK(Test.refusals() == std::vector{RefusalReason::TargetDown});
}

TEST_CASE("a cancelled copy that a target didn't accept is refused once") {
  RefusingTarget Test(0);
  Test.m_Harness.message(1, Cancel{GateHarness::id(2)});
  Test.m_Harness.advanceTime(ms(20));
  CHECK(Test.refusals().size() + Test.m_Harness.sent<Failure>().size() == 1);
}

TEST_CASE("a waiting copy is held back too, another request is refused at "
          "once") {
  WarnedGate Gate;
  Gate.dispatch(1, "/guilty");
  Gate.dispatch(2, "/innocent");
  for (const std::uint64_t Sequence : {3, 4})
    Gate.dispatch(Sequence, "/other");
  Gate.dispatch(5, "/guilty");
  Gate.m_Harness.failure(2, TargetFailure::NotSent);
  CHECK(Gate.m_Harness.sent<Refusal>().size() == 1);
  Gate.m_Harness.failure(1, TargetFailure::Reset);
  Gate.m_Harness.check(true);
  CHECK(Gate.m_Harness.sent<Refusal>().size() == 2);
}

namespace {

/// A gate that has a request under which another target then ends.
struct SuspectAfterDispatch : WarnedGate {
  void dispatchCopy(std::uint64_t Sequence, bool AsSuspect, bool Repeatable) {
    m_Harness.takeAll();
    Dispatch Message = GateHarness::makeDispatch(Sequence);
    Message.m_Request = request("/guilty");
    Message.m_AsSuspect = AsSuspect;
    Message.m_Repeatable = Repeatable;
    m_Harness.message(1, Message);
  }

  void warnAndSpread() {
    m_Harness.takeAll();
    warn("/guilty", 1);
    m_Harness.gate().spread(CrashNotice{}, m_Harness.now());
    m_Harness.tick();
  }
};

} // namespace

TEST_CASE("a waiting request that becomes suspect returns to its ingress") {
  SuspectAfterDispatch Test;
  for (const std::uint64_t Sequence : {1, 2, 3, 4})
    Test.dispatch(Sequence, "/other");
  Test.dispatchCopy(5, false, true);
  REQUIRE(Test.m_Harness.starts(5) == 0);
  Test.warnAndSpread();
  CHECK(Test.refusal() == RefusalReason::Suspect);
  CHECK(Test.m_Harness.sent<CrashNotice>().size() == 2);
  Test.m_Harness.answer(1);
  CHECK(Test.m_Harness.starts(5) == 0);
}

TEST_CASE("a running request that becomes suspect returns to its ingress if it "
          "may be repeated") {
  for (const bool Repeatable : {false, true}) {
    CAPTURE(Repeatable);
    SuspectAfterDispatch Test;
    Test.dispatchCopy(1, false, Repeatable);
    REQUIRE(Test.m_Harness.starts(1) == 1);
    Test.warnAndSpread();
    CHECK(Test.m_Harness.commands<CancelTarget>().size() ==
          (Repeatable ? 1 : 0));
    CHECK(Test.m_Harness.sent<Failure>().size() == (Repeatable ? 1 : 0));
  }
}

TEST_CASE("a copy that runs goes on if the target answered the request before, "
          "and its answer clears the request") {
  SuspectAfterDispatch Test;
  Test.dispatchCopy(1, false, true);
  Test.m_Harness.answer(1);
  Test.dispatchCopy(2, false, true);
  Test.warnAndSpread();
  CHECK(Test.m_Harness.commands<CancelTarget>().empty());
  Test.m_Harness.answer(2);
  Test.dispatchCopy(3, false, true);
  CHECK(Test.m_Harness.starts(3) == 1);
}

TEST_CASE("a gate says whether a copy began as suspect at a target that "
          "ended") {
  for (const bool AsSuspect : {false, true}) {
    CAPTURE(AsSuspect);
    SuspectAfterDispatch Test;
    if (AsSuspect)
      Test.warn("/guilty", 1);
    Test.dispatchCopy(1, AsSuspect, false);
    Test.m_Harness.failure(1, TargetFailure::Reset);
    Test.m_Harness.check(true);
    Test.m_Harness.takeAll();
    Test.m_Harness.hello(2, 1, 2);
    const auto Notices = Test.m_Harness.sent<CrashNotice>();
    REQUIRE(Notices.size() == 1);
    CHECK(Notices[0].second.m_Evidence.back().m_AsSuspect == AsSuspect);
  }
}

TEST_CASE("a suspect begins only after the time in which targets may end for "
          "the same cause, one that was answered before begins at once") {
  for (const bool WasAnswered : {false, true}) {
    CAPTURE(WasAnswered);
    SuspectAfterDispatch Test;
    if (WasAnswered) {
      Test.dispatchCopy(1, false, true);
      Test.m_Harness.answer(1);
    }
    const CrashNotice Notice{
        {{fingerprintOf(*request("/guilty")), false, {{5, 5}, 1}}}};
    Test.m_Harness.message(1, Notice);
    Test.dispatchCopy(2, true, true);
    CHECK(Test.m_Harness.starts(2) == (WasAnswered ? 1 : 0));
    if (WasAnswered)
      continue;
    Test.m_Harness.tick();
    const auto WakeUp = Test.m_Harness.gate().nextWakeUp();
    REQUIRE(WakeUp);
    CHECK(*WakeUp > Test.m_Harness.now());
    CHECK(*WakeUp <= Test.m_Harness.now() + Quarantine::SuspectDelay);
    Test.m_Harness.advanceTime(Quarantine::SuspectDelay);
    Test.m_Harness.tick();
    CHECK(Test.m_Harness.starts(2) == 1);
    CHECK(!Test.refusal());
  }
}

TEST_CASE("a gate takes a suspect only from an ingress that knows it as such") {
  SuspectAfterDispatch Test;
  Test.warn("/guilty", 1);
  Test.dispatchCopy(1, false, true);
  CHECK(Test.m_Harness.starts(1) == 0);
  CHECK(Test.refusal() == RefusalReason::Suspect);
  CHECK(Test.m_Harness.sent<CrashNotice>().size() == 1);
  Test.dispatchCopy(2, true, true);
  CHECK(Test.m_Harness.starts(2) == 1);
  Test.warnAndSpread();
  CHECK(Test.m_Harness.commands<CancelTarget>().size() == 1);
  CHECK(Test.m_Harness.sent<Refusal>().empty());
}

TEST_CASE(
    "a suspect for which a gate has no room is not sent elsewhere while a "
    "copy is there") {
  for (const bool Waits : {false, true}) {
    CAPTURE(Waits);
    SuspectAfterDispatch Test;
    Test.warn("/guilty", 1);
    if (!Waits)
      Test.dispatchCopy(1, true, true);
    for (std::uint64_t Sequence = 2; Sequence <= 8; ++Sequence)
      Test.dispatch(Sequence, "/other");
    if (Waits)
      Test.dispatchCopy(9, true, true);
    for (std::uint64_t Sequence = 10; Sequence <= 20; ++Sequence)
      Test.dispatch(Sequence, "/other");
    REQUIRE(Test.refusal() == RefusalReason::QueueFull);
    Test.dispatchCopy(21, true, true);
    CHECK(Test.refusal() == RefusalReason::Suspect);
  }
}

TEST_CASE("a quarantined request is refused as such though a copy still runs") {
  SuspectAfterDispatch Test;
  Test.warn("/guilty", 1);
  Test.dispatchCopy(1, true, true);
  REQUIRE(Test.m_Harness.starts(1) == 1);
  Test.warn("/guilty", 1);
  Test.dispatchCopy(2, true, true);
  CHECK(Test.refusal() == RefusalReason::Quarantined);
}
