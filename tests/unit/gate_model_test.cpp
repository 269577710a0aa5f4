// Compares the gate with the transitions of the ledger in spec/dispatch.pml
// (gateReceives, the LEDGER_STEPS and restartGate), one row for each.

#include "gate_harness.h"

#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <string>

using namespace dandelionfall::core;
using namespace dandelionfall::core::testing;

namespace {

const RequestId One = GateHarness::id(1);
constexpr LinkId OldLink = 1;
constexpr LinkId CurrentLink = 2;
constexpr Epoch CurrentEpoch = 2;

/// States of the model, in the order of the model.
enum ModelState { Unknown, Queued, Running, Done, Never, Forgotten, States };

constexpr std::array<const char *, States> StateNames = {
    "UNKNOWN", "QUEUED", "RUNNING", "DONE", "NEVER", "FORGOTTEN"};

/// Puts request 1 of ingress 1 into a state. Link 2 is current; link 1 is an
/// older one on which messages still arrive.
void setUpState(GateHarness &H, ModelState State) {
  H.hello(9, 1, 9);
  H.hello(OldLink, 1);
  // A request of another ingress occupies the only slot, so that request 1 must
  // wait.
  if (State == Queued)
    H.dispatch(9, 1, 1, ms(1000), 9);
  if (State == Queued || State == Running || State == Done ||
      State == Forgotten)
    H.dispatch(OldLink, 1);
  if (State == Done || State == Forgotten)
    H.answer(1);
  if (State == Forgotten)
    H.advanceTime(std::chrono::seconds(30));
  H.hello(CurrentLink, CurrentEpoch);
  if (State == Never)
    H.message(CurrentLink, Inquiry{{One}});
  H.takeAll();
}

/// Replies about request 1 as letters: Answer, Refusal, Failure; and for an
/// inquiry Never, Wait (still running) or Done.
std::string replies(GateHarness &H) {
  std::string Letters;
  for (const SendTraffic &Each : H.commands<SendTraffic>()) {
    const TrafficMessage &Message = Each.m_Message;
    if (Each.m_Link != OldLink && Each.m_Link != CurrentLink)
      continue;
    if (std::holds_alternative<Answer>(Message))
      Letters += 'A';
    if (std::holds_alternative<Refusal>(Message))
      Letters += 'R';
    if (std::holds_alternative<Failure>(Message))
      Letters += 'F';
    if (const auto *Reply = std::get_if<InquiryReply>(&Message))
      Letters += Reply->m_State == LedgerState::NeverRuns ? 'N'
                 : Reply->m_State == LedgerState::Running ? 'W'
                                                          : 'D';
  }
  H.takeAll();
  return Letters;
}

/// A step of the model, with the expected replies and resulting state.
struct Transition {
  const char *m_Name;
  std::function<void(GateHarness &)> m_Step;
  /// Expected results by initial state: replies to the step, and replies to an
  /// inquiry after it.
  struct Outcome {
    const char *m_Replies;
    const char *m_Afterwards;
  };
  std::array<Outcome, States> m_Outcomes;
  /// Initial state from which the step starts the request at the target.
  ModelState m_Starts = States;
};

const std::vector<Transition> Transitions = {
    {"DISPATCH, e == HIGHEST_EPOCH, value == incarnation",
     [](GateHarness &H) { H.dispatch(CurrentLink, 1, CurrentEpoch); },
     {{{"", "W"}, {"", "W"}, {"", "W"}, {"A", "DA"}, {"R", "N"}, {"F", "DF"}}},
     Unknown},
    {"DISPATCH, e != HIGHEST_EPOCH",
     [](GateHarness &H) { H.dispatch(OldLink, 1); },
     {{{"R", "N"}, {"", "W"}, {"", "W"}, {"", "DA"}, {"R", "N"}, {"", "DF"}}}},
    {"DISPATCH, value != incarnation",
     [](GateHarness &H) {
       Dispatch Message = GateHarness::makeDispatch(1, CurrentEpoch);
       Message.m_Gate = {6, 6};
       H.message(CurrentLink, Message);
     },
     {{{"R", "N"},
       {"", "W"},
       {"", "W"},
       {"A", "DA"},
       {"R", "N"},
       {"F", "DF"}}}},
    {"DISPATCH, refused for load",
     [](GateHarness &H) {
       H.dispatch(CurrentLink, 1, CurrentEpoch, Duration{0});
     },
     {{{"R", "N"},
       {"", "W"},
       {"", "W"},
       {"A", "DA"},
       {"R", "N"},
       {"F", "DF"}}}},
    {"INQUIRY, e == HIGHEST_EPOCH",
     [](GateHarness &H) { H.message(CurrentLink, Inquiry{{One}}); },
     {{{"N", "N"},
       {"W", "W"},
       {"W", "W"},
       {"DA", "DA"},
       {"N", "N"},
       {"DF", "DF"}}}},
    {"INQUIRY, e != HIGHEST_EPOCH",
     [](GateHarness &H) { H.message(OldLink, Inquiry{{One}}); },
     {{{"", "N"}, {"", "W"}, {"", "W"}, {"", "DA"}, {"", "N"}, {"", "DF"}}}},
    {"SETTLED",
     [](GateHarness &H) { H.message(CurrentLink, Settled{{One}}); },
     {{{"", "N"}, {"", "W"}, {"", "W"}, {"", "DF"}, {"", "N"}, {"", "DF"}}}},
    {"start of a queued request",
     [](GateHarness &H) { H.answer(1, 9); },
     {{{"", "N"}, {"", "W"}, {"", "W"}, {"", "DA"}, {"", "N"}, {"", "DF"}}},
     Queued},
    {"deadline of a queued request, end of a running request",
     [](GateHarness &H) { H.advanceTime(ms(1001)); },
     {{{"", "N"}, {"R", "N"}, {"F", "DF"}, {"", "DA"}, {"", "N"}, {"", "DF"}}}},
    {"end of a running request with the answer",
     [](GateHarness &H) { H.answer(1); },
     {{{"", "N"}, {"", "W"}, {"A", "DA"}, {"", "DA"}, {"", "N"}, {"", "DF"}}}},
};

} // namespace

TEST_CASE("the gate follows the transitions of the model") {
  for (const Transition &Each : Transitions) {
    CAPTURE(Each.m_Name);
    for (int Index = 0; Index < States; ++Index) {
      CAPTURE(StateNames[static_cast<std::size_t>(Index)]);
      GateHarness Harness({.m_Slots = 1, .m_ColdLimit = 1});
      setUpState(Harness, static_cast<ModelState>(Index));
      Each.m_Step(Harness);
      CHECK(Harness.starts(1) == (Index == Each.m_Starts ? 1 : 0));
      const Transition::Outcome &Expected =
          Each.m_Outcomes[static_cast<std::size_t>(Index)];
      CHECK(replies(Harness) == Expected.m_Replies);
      Harness.message(CurrentLink, Inquiry{{One}});
      CHECK(replies(Harness) == Expected.m_Afterwards);
    }
  }
}

TEST_CASE("a restarted gate refuses requests for its earlier incarnation") {
  GateHarness Restarted;
  Restarted.hello(OldLink, 1);
  Dispatch Message = GateHarness::makeDispatch(1);
  Message.m_Gate = {6, 6};
  Restarted.message(OldLink, Message);
  CHECK(replies(Restarted) == "R");
  CHECK(Restarted.starts(1) == 0);
}
