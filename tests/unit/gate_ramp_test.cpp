// Cold start, refused connections and abandoned requests at the target.

#include "core/gate/hold_off.h"
#include "core/gate/ramp.h"
#include "core/gate/service_time.h"
#include "gate_harness.h"

#include <doctest/doctest.h>

#include <functional>

using namespace dandelionfall::core;
using namespace dandelionfall::core::gate;
using namespace dandelionfall::core::testing;

namespace {

constexpr std::uint32_t Slots = 12;
constexpr std::uint32_t ColdLimit = 2;

const GateSettings ColdTarget = {
    .m_Slots = Slots, .m_ColdLimit = ColdLimit, .m_QueueLimit = 64};

/// Keeps the target at its concurrency limit and answers each request after its
/// service time.
class BusyTarget {
public:
  explicit BusyTarget(GateHarness &Harness) : m_Harness(Harness) {}

  void run(int Rounds, Duration ServiceTime) {
    for (int Round = 0; Round < Rounds; ++Round) {
      const std::size_t Before = m_Started.size();
      while (m_Started.size() < Before + m_Harness.gate().capacity().m_Limit) {
        m_Harness.dispatch(1, ++m_Sequence, 1, ms(5000));
        collectStarts();
        if (m_Started.empty())
          break;
      }
      m_Harness.advanceTime(ServiceTime);
      for (const RequestId &Id : std::exchange(m_Started, {})) {
        m_Harness.answer(Id.m_Sequence);
        m_Harness.message(1, Settled{{Id}});
      }
    }
  }

  std::uint64_t nextSequence() { return ++m_Sequence; }

private:
  void collectStarts() {
    for (const StartTarget &Each : m_Harness.commands<StartTarget>())
      m_Started.push_back(Each.m_Id);
    m_Harness.takeAll();
  }

  GateHarness &m_Harness;
  std::uint64_t m_Sequence = 0;
  std::vector<RequestId> m_Started;
};

} // namespace

TEST_CASE("a cold target keeps its initial limit while no request completes") {
  GateHarness Harness(ColdTarget);
  Harness.hello(1, 1);
  for (std::uint64_t Sequence = 1; Sequence <= 10; ++Sequence)
    Harness.dispatch(1, Sequence);
  CHECK(Harness.commands<StartTarget>().size() == ColdLimit);
  Harness.advanceTime(ms(900));
  CHECK(Harness.commands<StartTarget>().size() == ColdLimit);
}

TEST_CASE("the limit rises to the slots under load but not while idle") {
  GateHarness Harness(ColdTarget);
  Harness.hello(1, 1);
  Harness.advanceTime(std::chrono::seconds(10));
  CHECK(Harness.gate().capacity().m_Limit == ColdLimit);
  BusyTarget Target(Harness);
  Target.run(3, ms(20));
  CHECK(Harness.gate().capacity().m_Limit < Slots);
  Target.run(100, ms(20));
  CHECK(Harness.gate().capacity().m_Limit == Slots);
}

TEST_CASE("faults and idleness reset a warm target to its initial limit") {
  struct Case {
    const char *m_Name;
    std::function<void(GateHarness &, BusyTarget &)> m_Steps;
  };
  const std::vector<Case> Cases = {
      {"reset",
       [](GateHarness &H, BusyTarget &T) {
         const std::uint64_t Sequence = T.nextSequence();
         H.dispatch(1, Sequence);
         H.failure(Sequence, TargetFailure::Reset);
       }},
      {"refused connection",
       [](GateHarness &H, BusyTarget &T) {
         const std::uint64_t Sequence = T.nextSequence();
         H.dispatch(1, Sequence);
         H.failure(Sequence, TargetFailure::NotSent);
       }},
      {"jump of the service time",
       [](GateHarness &, BusyTarget &T) { T.run(1, ms(200)); }},
      {"requests time out",
       [](GateHarness &H, BusyTarget &T) {
         for (int Index = 0; Index < Ramp::JumpStreak; ++Index)
           H.dispatch(1, T.nextSequence(), 1, ms(400));
         H.advanceTime(ms(400));
       }},
      {"availability zone comes back",
       [](GateHarness &H, BusyTarget &) {
         GateSettings Settings = ColdTarget;
         Settings.m_Version = 2;
         Settings.m_Zone = ZoneState::Out;
         H.configure(Settings);
         Settings.m_Version = 3;
         Settings.m_Zone = ZoneState::In;
         H.configure(Settings);
       }},
      {"target closes an idle connection",
       [](GateHarness &H, BusyTarget &) {
         H.gate().onTargetConnectionClosed(H.now());
         H.tick();
       }},
      {"target was idle for long",
       [](GateHarness &H, BusyTarget &T) {
         H.advanceTime(std::chrono::seconds(11));
         H.dispatch(1, T.nextSequence());
       }},
      {"target is listed again",
       [](GateHarness &H, BusyTarget &) {
         GateSettings Settings = ColdTarget;
         Settings.m_Listed = false;
         H.configure(Settings);
         H.configure(ColdTarget);
       }},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    GateHarness Harness(ColdTarget);
    Harness.hello(1, 1);
    BusyTarget Target(Harness);
    Target.run(100, ms(20));
    REQUIRE(Harness.gate().capacity().m_Limit == Slots);
    Harness.takeAll();
    Each.m_Steps(Harness, Target);
    CHECK(Harness.gate().capacity().m_Limit == ColdLimit);
    CHECK(Harness.events(EventId::RampRestarted) == 1);
  }
}

TEST_CASE("single slow responses don't restart the ramp") {
  Ramp Limit;
  Limit.configure(ColdLimit, ColdLimit);
  for (int Index = 0; Index < 100; ++Index) {
    const Duration Sample = Index % Ramp::JumpStreak == 0 ? ms(500) : ms(10);
    CHECK(Limit.onCompletion(Sample, true, true, TimePoint(ms(Index))) ==
          RampChange::None);
  }
}

TEST_CASE("an abandoned request occupies its slot for a while") {
  GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
  Harness.hello(1, 1);
  Harness.warmUp(1, 100, 200, ms(100));
  Harness.dispatch(1, 1);
  Harness.advanceTime(ms(20));
  Harness.message(1, Cancel{GateHarness::id(1)});
  Harness.dispatch(1, 2);
  CHECK(Harness.starts(2) == 0);
  SUBCASE("until the target reports its end") {
    Harness.answer(1);
    CHECK(Harness.starts(2) == 1);
  }
  SUBCASE("for its expected time if the target reports nothing") {
    Harness.failure(1, TargetFailure::Abandoned);
    Harness.advanceTime(ms(70));
    CHECK(Harness.starts(2) == 0);
    Harness.advanceTime(ms(60));
    CHECK(Harness.starts(2) == 1);
  }
}

TEST_CASE(
    "abandoned requests of unknown length occupy slots for a default time") {
  GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
  Harness.hello(1, 1);
  Harness.dispatch(1, 1, 1, ms(5000));
  Harness.message(1, Cancel{GateHarness::id(1)});
  Harness.failure(1, TargetFailure::Abandoned);
  Harness.dispatch(1, 2, 1, ms(5000));
  Harness.advanceTime(ms(900));
  CHECK(Harness.starts(2) == 0);
  Harness.advanceTime(ms(200));
  CHECK(Harness.starts(2) == 1);
}

TEST_CASE("refused connections cause growing pauses") {
  GateHarness Harness(ColdTarget);
  Harness.hello(1, 1);
  Duration Expected = HoldOff::FirstPause;
  std::uint64_t Sequence = 0;
  for (int Round = 0; Round < 8; ++Round) {
    Harness.takeAll();
    const std::uint64_t Probe = ++Sequence;
    Harness.dispatch(1, Probe);
    const std::uint64_t Waiting = ++Sequence;
    Harness.dispatch(1, Waiting);
    // While connections are refused, only one request at a time probes the
    // target.
    CHECK(Harness.starts(Waiting) == (Round == 0 ? 1 : 0));
    Harness.failure(Probe, TargetFailure::NotSent);
    if (Round == 0)
      Harness.failure(Waiting, TargetFailure::NotSent);
    const auto Refusals = Harness.sent<Refusal>();
    REQUIRE(Refusals.size() == 2);
    for (const auto &[Link, Refused] : Refusals) {
      CHECK(Refused.m_Reason == RefusalReason::TargetDown);
      CHECK(Refused.m_RetryAfter == Expected);
    }
    Harness.dispatch(1, ++Sequence);
    CHECK(Harness.starts(Sequence) == 0);
    Harness.advanceTime(Expected);
    Expected = std::min(2 * Expected, HoldOff::LongestPause);
  }
  Harness.dispatch(1, ++Sequence);
  Harness.answer(Sequence);
  Harness.dispatch(1, ++Sequence);
  Harness.dispatch(1, ++Sequence);
  CHECK(Harness.starts(Sequence) == 1);
}

TEST_CASE(
    "the service time estimate follows its samples and decays while idle") {
  ServiceTimeEstimator Estimate;
  const TimePoint Start{std::chrono::hours(1)};
  CHECK(Estimate.estimate(Start, Start) == ServiceTimeEstimate{});
  for (int Index = 0; Index < 60; ++Index)
    Estimate.addSample(ms(80), Start);
  CHECK(Estimate.estimate(Start, std::nullopt).m_Mean == ms(80));
  const TimePoint Later = Start + 3 * ServiceTimeEstimator::HalfLife;
  CHECK(Estimate.estimate(Later, std::nullopt).m_Mean == ms(80));
  CHECK(Estimate.estimate(Later, Start).m_Mean == ms(10));
  // A lower bound below the mean changes nothing. A higher one counts as a
  // sample; after many samples each has the weight 1/32.
  Estimate.addLowerBound(ms(40), Later);
  CHECK(Estimate.estimate(Later, std::nullopt).m_Mean == ms(80));
  Estimate.addLowerBound(ms(160), Later);
  CHECK(Estimate.estimate(Later, std::nullopt).m_Mean == Duration(82'500));
}
