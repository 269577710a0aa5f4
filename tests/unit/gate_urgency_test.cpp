// Who is served at a gate with too little room, by rank.

#include "core/gate/admission.h"
#include "core/gate/urgency.h"
#include "gate_load_play.h"

#include <doctest/doctest.h>

#include <array>

using namespace dandelionfall::core;
using namespace dandelionfall::core::testing;

namespace {

/// Load of two ranks on a target that serves a third of it.
struct Contest {
  const char *m_Name;
  std::uint32_t m_Slots;
  double m_Urgent;
  double m_LessUrgent;
  double m_UrgentInTime;
  /// Work of the urgent requests, as a multiple of that of the others.
  int m_UrgentWork = 1;
  std::uint32_t m_LowRank = 2;
};

constexpr std::array Contests = {
    Contest{"urgent fits, three targets as one", 12, 60, 300, 0.97},
    Contest{"urgent fits", 4, 20, 100, 0.97},
    Contest{"urgent takes longer", 12, 30, 300, 0.97, 2, 1},
    Contest{"urgent floods, three targets as one", 12, 300, 60, 0.3},
    Contest{"urgent floods", 4, 100, 20, 0.3},
};

} // namespace

TEST_CASE("urgent requests go first and the less urgent keep a quarter") {
  for (const Contest &Each : Contests) {
    for (const Duration Objective : {ms(500), ms(1000)}) {
      CAPTURE(Each.m_Name);
      CAPTURE(Objective.count());
      LoadPlay Play({.m_Slots = Each.m_Slots,
                     .m_ColdLimit = Each.m_Slots,
                     .m_QueueLimit = 64},
                    [&](const Flow &Of, TimePoint) {
                      return ms(100) *
                             (Of.m_Priority == 0 ? Each.m_UrgentWork : 1);
                    });
      const std::vector<Flow> Flows = {{.m_Kind = "urgent",
                                        .m_PerSecond = Each.m_Urgent,
                                        .m_SoftDeadline = Objective,
                                        .m_Deadline = 2 * Objective},
                                       {.m_Kind = "other",
                                        .m_PerSecond = Each.m_LessUrgent,
                                        .m_Priority = Each.m_LowRank,
                                        .m_SoftDeadline = Objective,
                                        .m_Deadline = 2 * Objective}};
      Play.run(Flows, ms(3000));
      const std::vector<FlowResult> Results = Play.measure(Flows, ms(20'000));
      const FlowResult &Urgent = Results[0];
      const FlowResult &Other = Results[1];
      const double All = static_cast<double>(Urgent.m_InTime + Other.m_InTime) /
                         (Urgent.m_Asked + Other.m_Asked);
      CHECK(Urgent.inTimeShare() > Each.m_UrgentInTime);
      CHECK(Other.inTimeShare() > 0.24 * All);
      const int Work = Urgent.m_InTime * Each.m_UrgentWork + Other.m_InTime;
      CHECK(Work > 0.85 * Each.m_Slots * 10 * 20);
      CHECK(Urgent.m_LongestRefusal < ms(100));
    }
  }
}

TEST_CASE("an urgent request takes the places of less urgent waiting ones") {
  struct Row {
    const char *m_Name;
    /// Rank and soft deadline, in the order of the queue.
    std::vector<std::pair<gate::Rank, int>> m_Waiting;
    int m_Arriving;
    bool m_Admitted;
    std::vector<std::size_t> m_Displaced;
    std::uint32_t m_QueueLimit = 8;
  };
  // One slot that becomes free after 10 ms; each request takes 10 ms. The
  // arriving request has rank 1.
  const std::vector<Row> Rows = {
      {"room for both", {{2, 50}}, 50, true, {}},
      {"who becomes late", {{2, 25}}, 50, true, {0}},
      {"only who becomes late", {{2, 25}, {3, 900}}, 50, true, {0}},
      {"the last one behind those that fit",
       {{2, 35}, {2, 45}, {3, 45}},
       50,
       true,
       {2}},
      {"a less urgent one behind it moves up",
       {{2, 35}, {2, 36}, {3, 40}},
       50,
       true,
       {1}},
      {"none of the same rank", {{1, 25}}, 24, false, {}},
      {"none of a more urgent rank", {{0, 25}}, 24, false, {}},
      {"only if it makes room", {{1, 20}, {2, 90}}, 15, false, {}},
      {"a full queue", {{1, 800}, {2, 900}}, 950, true, {1}, 2},
      {"a queue above its limit", {{1, 800}, {2, 900}}, 950, false, {}, 1},
      {"a full queue of its rank", {{0, 800}, {1, 900}}, 950, false, {}, 2},
  };
  const TimePoint Now(ms(1000));
  for (const Row &Each : Rows) {
    CAPTURE(Each.m_Name);
    gate::AdmissionView View;
    View.m_Now = Now;
    View.m_SlotsFreeAt = {Now + ms(10)};
    View.m_ServiceTime = {ms(10), Duration{0}};
    View.m_QueueLimit = Each.m_QueueLimit;
    for (const auto &[Rank, SoftDeadline] : Each.m_Waiting)
      View.m_Waiting.push_back(
          {Now + ms(2000), ms(10), Now + ms(SoftDeadline), false, Rank});
    const gate::AdmissionDecision Decision =
        gate::findAdmission("deadline")
            ->decide(View,
                     {Now + ms(Each.m_Arriving), Now + ms(Each.m_Arriving), 1});
    CHECK(Decision.m_Admitted == Each.m_Admitted);
    std::vector<std::size_t> Displaced;
    for (const gate::Displaced &Lost : Decision.m_Displaced) {
      Displaced.push_back(Lost.m_Index);
      CHECK(Lost.m_RetryAfter > Duration{0});
    }
    CHECK(Displaced == Each.m_Displaced);
  }
}

TEST_CASE("a request that loses its place is told at once and never runs") {
  GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
  Harness.hello(1, 1);
  Harness.warmUp(1, 100, 200, ms(100));
  for (std::uint64_t Sequence = 1; Sequence <= 3; ++Sequence) {
    Dispatch Message = GateHarness::makeDispatch(Sequence, 1, ms(250));
    Message.m_Priority = Sequence == 3 ? 0 : 2;
    Harness.message(1, Message);
  }
  // The first one runs.
  const auto Refusals = Harness.sent<Refusal>();
  REQUIRE(Refusals.size() == 1);
  CHECK(Refusals[0].second.m_Id.m_Sequence == 2);
  CHECK(Refusals[0].second.m_Reason == RefusalReason::Overload);
  CHECK(Refusals[0].second.m_RetryAfter > Duration{0});
  Harness.message(1, Inquiry{{GateHarness::id(2)}});
  CHECK(Harness.sent<InquiryReply>()[0].second.m_State ==
        LedgerState::NeverRuns);
  Harness.advanceTime(ms(100));
  Harness.answer(1);
  CHECK(Harness.starts(2) == 0);
  CHECK(Harness.starts(3) == 1);
}

TEST_CASE("a rank is short below a quarter of the share of all") {
  struct Row {
    int m_UrgentAsked;
    int m_UrgentServed;
    int m_OtherAsked;
    int m_OtherServed;
    gate::Rank m_Competing;
  };
  // All are served by half.
  const std::vector<Row> Rows = {{100, 90, 100, 10, 0},
                                 {100, 70, 100, 30, 5},
                                 {100, 50, 100, 50, 5},
                                 {0, 0, 100, 10, 5},
                                 {100, 0, 0, 0, 5}};
  const TimePoint Now(ms(1000));
  for (const Row &Each : Rows) {
    CAPTURE(Each.m_OtherServed);
    gate::ServedShares Shares;
    const auto Count = [&](gate::Rank Of, int Asked, int Served) {
      for (int Index = 0; Index < Asked; ++Index)
        Shares.recordAsked(Of, Now);
      for (int Index = 0; Index < Served; ++Index)
        Shares.recordServed(Of, Now);
    };
    Count(0, Each.m_UrgentAsked, Each.m_UrgentServed);
    Count(5, Each.m_OtherAsked, Each.m_OtherServed);
    CHECK(Shares.competingRank(5) == Each.m_Competing);
    CHECK(Shares.competingRank(0) == 0);
    // What was counted is forgotten.
    Shares.recordAsked(5, Now + std::chrono::minutes(2));
    CHECK(Shares.competingRank(5) == 5);
    CHECK(Shares.moreUrgentRate(5) == doctest::Approx(0));
  }
}

TEST_CASE("a less urgent request is refused if more urgent ones will pass it") {
  const TimePoint Now(ms(1000));
  gate::AdmissionView View;
  View.m_Now = Now;
  View.m_SlotsFreeAt = {Now + ms(100)};
  View.m_ServiceTime = {ms(10), Duration{0}};
  View.m_QueueLimit = 8;
  // It would wait for 100 ms, or 200 ms and 500 ms with those that pass it.
  for (const auto &[Taken, IsAdmitted] :
       {std::pair(0.0, true), std::pair(0.5, true), std::pair(0.8, false)}) {
    const double Part = Taken;
    CAPTURE(Part);
    const gate::ArrivingRequest Arriving{Now + ms(300), Now + ms(300), 2, Part};
    CHECK(gate::findAdmission("deadline")->decide(View, Arriving).m_Admitted ==
          IsAdmitted);
  }
}

TEST_CASE("a request that would be late displaces none in a full queue") {
  const TimePoint Now(ms(1000));
  gate::AdmissionView View;
  View.m_Now = Now;
  View.m_SlotsFreeAt = {Now + ms(10)};
  View.m_ServiceTime = {ms(10), Duration{0}};
  View.m_QueueLimit = 2;
  View.m_Waiting = {{Now + ms(2000), ms(10), Now + ms(800), false, 1},
                    {Now + ms(2000), ms(10), Now + ms(900), false, 2}};
  const auto Decide = [&View, Now] {
    return gate::findAdmission("deadline")
        ->decide(View, {Now + ms(2000), Now + ms(5), 1});
  };
  const gate::AdmissionDecision Full = Decide();
  CHECK(!Full.m_Admitted);
  CHECK(Full.m_Reason == RefusalReason::QueueFull);
  CHECK(Full.m_Displaced.empty());
  View.m_QueueLimit = 3;
  CHECK(Decide().m_Late);
}

TEST_CASE("the retry time of an urgent request ignores the less urgent ones") {
  const TimePoint Now(ms(1000));
  gate::AdmissionView View;
  View.m_Now = Now;
  View.m_SlotsFreeAt = {Now + ms(10)};
  View.m_ServiceTime = {ms(10), Duration{0}};
  View.m_QueueLimit = 100;
  View.m_Waiting.push_back({Now + ms(20), ms(10), Now + ms(20), false, 0});
  for (int Number = 1; Number <= 50; ++Number)
    View.m_Waiting.push_back({Now + ms(20 + 10 * Number), ms(10),
                              Now + ms(20 + 10 * Number), false, 5});
  const gate::AdmissionDecision Decision =
      gate::findAdmission("deadline")
          ->decide(View, {Now + ms(15), Now + ms(15), 0});
  CHECK(!Decision.m_Admitted);
  CHECK(Decision.m_RetryAfter > Duration{0});
  CHECK(Decision.m_RetryAfter <= ms(20));
}
