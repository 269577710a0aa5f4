// Waiting requests when what allowed them to be admitted ends.
#include "gate_harness.h"

#include <doctest/doctest.h>

#include <functional>

using namespace dandelionfall::core;
using namespace dandelionfall::core::testing;

namespace {

using Change = std::function<void(GateHarness &)>;

GateSettings withOneSlot() {
  GateSettings Settings;
  Settings.m_Slots = 1;
  Settings.m_ColdLimit = 1;
  Settings.m_Address = "127.0.0.1:8001";
  return Settings;
}

Change configure(const std::function<void(GateSettings &)> &Edit) {
  return [Edit](GateHarness &Harness) {
    GateSettings Settings = withOneSlot();
    Settings.m_Version = 2;
    Edit(Settings);
    Harness.configure(Settings);
  };
}

/// A gate at which request 1 runs, and 2 and 3 wait.
struct WaitingRequests {
  WaitingRequests() : m_Harness(withOneSlot()) {
    m_Harness.hello(1, 1);
    for (std::uint64_t Sequence = 1; Sequence <= 3; ++Sequence)
      m_Harness.dispatch(1, Sequence, 1, ms(60'000));
    m_Harness.takeAll();
  }

  GateHarness m_Harness;
};

void checkAllRefused(const GateHarness &Harness, RefusalReason Reason) {
  const auto Refusals = Harness.sent<Refusal>();
  REQUIRE(Refusals.size() == 2);
  for (const auto &[Link, Message] : Refusals)
    CHECK(Message.m_Reason == Reason);
  CHECK(Harness.commands<StartTarget>().empty());
}

struct Departure {
  std::string m_Name;
  Change m_Happens;
  RefusalReason m_Reason;
};

const Departure Departures[] = {
    {"the target drains",
     configure([](GateSettings &Each) { Each.m_Draining = true; }),
     RefusalReason::TargetLeaving},
    {"the target is removed",
     configure([](GateSettings &Each) { Each.m_Listed = false; }),
     RefusalReason::UnknownTarget},
    {"another target is at the address",
     configure([](GateSettings &Each) { Each.m_Target = "escortdesk-2"; }),
     RefusalReason::UnknownTarget},
    {"the target belongs to another service",
     configure([](GateSettings &Each) { Each.m_Service = "bookingdesk"; }),
     RefusalReason::UnknownTarget},
    {"the target states that it is leaving",
     [](GateHarness &Harness) {
       Harness.gate().onTargetStatement(GateHarness::id(1),
                                        {std::nullopt, true}, Harness.now());
       Harness.tick();
     },
     RefusalReason::TargetLeaving},
    {"an ingress knows that the target is leaving",
     [](GateHarness &Harness) {
       Harness.message(1, LeavingNotice{{{"escortdesk-1", 0}}});
     },
     RefusalReason::TargetLeaving},
    {"the host is about to be removed",
     [](GateHarness &Harness) { Harness.setHostLeaving(true); },
     RefusalReason::Draining},
    {"the availability zone has been out for a second",
     [](GateHarness &Harness) {
       configure([](GateSettings &Each) { Each.m_Zone = ZoneState::Out; })(
           Harness);
       Harness.advanceTime(ms(1000));
     },
     RefusalReason::ZoneOut},
};

} // namespace

// Guards against requests that begin at a target long after it has left.
TEST_CASE("what waits is refused at once when nothing may begin any more") {
  for (const Departure &Each : Departures) {
    CAPTURE(Each.m_Name);
    WaitingRequests Test;
    GateHarness &Harness = Test.m_Harness;
    Each.m_Happens(Harness);
    checkAllRefused(Harness, Each.m_Reason);
    // What runs is answered, and its slot starts nothing.
    Harness.takeAll();
    Harness.answer(1);
    CHECK(Harness.sent<Answer>().size() == 1);
    CHECK(Harness.commands<StartTarget>().empty());
    Harness.takeAll();
    Harness.message(1, Inquiry{{GateHarness::id(2)}});
    REQUIRE(Harness.sent<InquiryReply>().size() == 1);
    CHECK(Harness.sent<InquiryReply>()[0].second.m_State ==
          LedgerState::NeverRuns);
  }
}

// Guards against a change that the gate is not told of.
TEST_CASE("a request does not begin at a target that the node knows to be "
          "leaving") {
  const auto Leaving = std::make_shared<LeavingTargets>();
  GateHarness Harness(withOneSlot(), "deadline", Leaving);
  Harness.hello(1, 1);
  Harness.dispatch(1, 1, 1, ms(5000));
  Harness.dispatch(1, 2, 1, ms(5000));
  Leaving->add({"escortdesk-1", 0});
  Harness.takeAll();
  Harness.answer(1);
  CHECK(Harness.commands<StartTarget>().empty());
  REQUIRE(Harness.sent<Refusal>().size() == 1);
  CHECK(Harness.sent<Refusal>()[0].second.m_Reason ==
        RefusalReason::TargetLeaving);
}

TEST_CASE("once another target answers at the address, nothing more is sent "
          "there") {
  WaitingRequests Test;
  GateHarness &Harness = Test.m_Harness;
  Harness.gate().onTargetRefused(GateHarness::id(1), true, Duration{0},
                                 Harness.now());
  Harness.tick();
  CHECK(Harness.commands<StartTarget>().empty());
  CHECK(Harness.sent<Refusal>().size() == 3);
}

TEST_CASE("what waits begins after changes that don't concern it") {
  const std::pair<std::string, Change> Changes[] = {
      {"a new version", configure([](GateSettings &) {})},
      {"the target was restarted under its name",
       configure([](GateSettings &Each) { Each.m_StartedAtMs = 1000; })},
      {"the availability zone went out just now",
       configure([](GateSettings &Each) { Each.m_Zone = ZoneState::Out; })},
      {"another target is leaving",
       [](GateHarness &Harness) {
         Harness.message(1, LeavingNotice{{{"other-1", 0}}});
       }},
      {"the node is stopped at an unknown time",
       [](GateHarness &Harness) { Harness.drain(); }},
      {"the host stays",
       [](GateHarness &Harness) { Harness.setHostLeaving(false); }},
  };
  for (const auto &Each : Changes) {
    CAPTURE(Each.first);
    WaitingRequests Test;
    GateHarness &Harness = Test.m_Harness;
    Each.second(Harness);
    CHECK(Harness.sent<Refusal>().empty());
    Harness.answer(1);
    CHECK(Harness.starts(2) == 1);
  }
}
