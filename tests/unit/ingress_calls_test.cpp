#include "unit/ingress_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include <functional>

using namespace dandelionfall::core;

namespace {

/// A call, the event after its first dispatch, and the expected result.
struct CallCase {
  const char *m_Name;
  const char *m_Method;
  std::function<void(IngressFixture &)> m_Action;
  CallOutcome m_Outcome;
  /// Expected total number of dispatches.
  std::size_t m_Dispatches;
  /// Longest time until the final response.
  Duration m_Within;
};

const ReceivedDispatch &first(const IngressFixture &Test) {
  return Test.m_Dispatches.front();
}

/// Answers every dispatch except the first.
void answerOthers(IngressFixture &Test) {
  for (std::size_t Next = 1; Next < Test.m_Dispatches.size(); ++Next)
    Test.answer(ReceivedDispatch(Test.m_Dispatches[Next]));
}

void killGate(IngressFixture &Test) {
  Test.m_Refusing.insert(first(Test).m_Gate);
  Test.breakLinks(first(Test).m_Gate);
}

void restartGate(IngressFixture &Test) {
  Test.m_Incarnations[first(Test).m_Gate] = {9, 9};
  Test.breakLinks(first(Test).m_Gate);
}

void loseLink(IngressFixture &Test) {
  Test.m_Silent.insert(first(Test).m_Link);
}

void isolateGate(IngressFixture &Test) {
  loseLink(Test);
  Test.m_Unreachable.insert(first(Test).m_Gate);
}

void loseLinkWhileRunning(IngressFixture &Test) {
  Test.m_Ledger = LedgerState::Running;
  loseLink(Test);
  Test.advance(700ms);
  const ReceivedDispatch Old = first(Test);
  const LinkId Newest = Test.m_Opens.back().first;
  Test.answer({Old.m_Gate, Newest, Old.m_Message});
}

const CallCase CallCases[] = {
    {"answered", "POST", [](auto &Test) { Test.answer(first(Test)); },
     CallOutcome::Answered, 1, 0ms},
    {"refused once", "POST", [](auto &Test) { Test.refuse(first(Test)); },
     CallOutcome::Answered, 2, 0ms},
    {"failed", "POST", [](auto &Test) { Test.fail(first(Test)); },
     CallOutcome::Unknown, 1, 0ms},
    {"failed", "GET", [](auto &Test) { Test.fail(first(Test)); },
     CallOutcome::Answered, 2, 0ms},
    {"gate killed", "POST", killGate, CallOutcome::Unknown, 1, 100ms},
    {"gate killed", "GET", killGate, CallOutcome::Answered, 2, 100ms},
    {"gate restarted", "POST", restartGate, CallOutcome::Unknown, 1, 0ms},
    {"gate restarted", "GET", restartGate, CallOutcome::Answered, 2, 0ms},
    {"request lost on a silent link", "POST", loseLink, CallOutcome::Answered,
     2, 600ms},
    {"link silent while the request runs", "POST", loseLinkWhileRunning,
     CallOutcome::Answered, 1, 700ms},
    {"gate isolated", "POST", isolateGate, CallOutcome::Unknown, 1, 2s},
    {"gate isolated", "GET", isolateGate, CallOutcome::Answered, 2, 1s},
    {"no answer", "POST", [](auto &) {}, CallOutcome::Unknown, 1, 2s},
    {"slow target", "GET", [](auto &) {}, CallOutcome::Answered, 2, 1s},
};

} // namespace

TEST_CASE("the outcome of a call follows from what happened to its request") {
  for (const CallCase &Case : CallCases) {
    CAPTURE(Case.m_Name);
    CAPTURE(Case.m_Method);
    IngressFixture Test;
    Test.configure({});
    Test.call(1, Case.m_Method);
    REQUIRE(Test.m_Dispatches.size() == 1);
    const TimePoint Start = Test.m_Now;
    Case.m_Action(Test);
    answerOthers(Test);
    while (!Test.outcome(1) && Test.m_Now < Start + 3s) {
      Test.advance(1ms);
      answerOthers(Test);
    }
    REQUIRE(Test.outcome(1));
    CHECK(*Test.outcome(1) == Case.m_Outcome);
    CHECK(Test.m_Dispatches.size() == Case.m_Dispatches);
    CHECK(Test.m_Now - Start <= Case.m_Within);
    Test.advance(10s);
    CHECK(Test.m_AnswerCount == 1);
    CHECK(Test.m_Ingress.openCalls() == 0);
  }
}

TEST_CASE("a call without an eligible gate is not run and gets a retry delay") {
  IngressFixture Test;
  Test.call(1, "POST");
  CHECK(Test.outcome(1) == CallOutcome::NotRun);
  ConfigurationBuilder AllOut;
  AllOut.m_ZonesOut = {"a", "b", "c"};
  Test.configure(AllOut);
  Test.call(2, "POST");
  CHECK(Test.outcome(2) == CallOutcome::NotRun);
  CHECK(Test.m_Answers[2].m_RetryAfter > 0ms);
  Test.m_Ingress.onCall(
      3,
      std::make_shared<HttpRequest>(HttpRequest{"GET", "/other", "", {}, ""}),
      std::nullopt, Test.m_Now);
  Test.performCommands();
  CHECK(Test.outcome(3) == CallOutcome::NoRoute);
}

TEST_CASE("refusals by all gates give the shortest retry delay") {
  IngressFixture Test;
  Test.configure({});
  Test.call(1, "POST");
  for (const Duration RetryAfter : {300ms, 100ms, 200ms})
    Test.refuse(ReceivedDispatch(Test.m_Dispatches.back()), RetryAfter);
  CHECK(Test.m_Dispatches.size() == 3);
  CHECK(Test.outcome(1) == CallOutcome::NotRun);
  CHECK(Test.m_Answers[1].m_RetryAfter >= 100ms);
  CHECK(Test.m_Answers[1].m_RetryAfter <= 150ms);
}

TEST_CASE(
    "callers that are rejected until the same instant return at different "
    "times") {
  constexpr CallId Callers = 60;
  IngressFixture Test;
  Test.configure({});
  for (CallId Id = 1; Id <= Callers; ++Id) {
    Test.call(Id, "POST");
    while (!Test.outcome(Id))
      Test.refuse(ReceivedDispatch(Test.m_Dispatches.back()), 2s,
                  RefusalReason::TargetDown);
  }
  std::vector<Duration> Returns;
  for (const auto &[Id, Answer] : Test.m_Answers)
    Returns.push_back(Answer.m_RetryAfter);
  std::sort(Returns.begin(), Returns.end());
  REQUIRE(Returns.size() == Callers);
  CHECK(Returns.front() >= 2s);
  CHECK(Returns.back() <= 3s);
  for (std::size_t First = 0; First + Callers / 4 < Callers; ++First)
    CHECK(Returns[First + Callers / 4] - Returns[First] >= 100ms);
}

TEST_CASE("the deadline is set by the caller or the profile, up to a maximum") {
  struct {
    std::optional<Duration> m_Asked;
    Duration m_Expected;
  } const Cases[] = {{std::nullopt, 2s}, {500ms, 500ms}, {3600s, 60s}};
  for (const auto &Case : Cases) {
    IngressFixture Test;
    Test.configure({});
    Test.call(1, "POST", Case.m_Asked);
    CHECK(first(Test).m_Message.m_Remaining == Case.m_Expected);
    Test.advance(Case.m_Expected - 1ms);
    CHECK_FALSE(Test.outcome(1));
    Test.advance(1ms);
    CHECK(Test.outcome(1) == CallOutcome::Unknown);
    CHECK(Test.sent<Cancel>().size() == 1);
  }
}

TEST_CASE("after a suspension past the deadline only an answer or a refusal "
          "that has arrived takes precedence") {
  struct {
    std::function<void(IngressFixture &, const ReceivedDispatch &)> m_Wake;
    CallOutcome m_Outcome;
  } const Cases[] = {
      {[](auto &Test, auto &To) { Test.answer(To); }, CallOutcome::Answered},
      {[](auto &Test, auto &To) { Test.refuse(To); }, CallOutcome::NotRun},
      {[](auto &Test, auto &To) { Test.fail(To); }, CallOutcome::Unknown},
      {[](auto &Test, auto &To) {
         Test.reply(To,
                    InquiryReply{To.m_Message.m_Id, LedgerState::NeverRuns});
       },
       CallOutcome::Unknown},
      {[](auto &Test, auto &) { Test.advance(0ms); }, CallOutcome::Unknown},
      {[](auto &Test, auto &) { Test.call(2, "GET"); }, CallOutcome::Unknown},
  };
  for (const auto &Case : Cases) {
    IngressFixture Test;
    Test.configure({});
    Test.call(1, "POST");
    Test.suspend(5s);
    Case.m_Wake(Test, ReceivedDispatch(first(Test)));
    CHECK(Test.outcome(1) == Case.m_Outcome);
  }
}

TEST_CASE("a request that waited past its deadline is not dispatched") {
  IngressFixture Test;
  Test.m_Unreachable = {"gate1", "gate2", "gate3"};
  Test.configure({});
  Test.call(1, "POST", 200ms);
  Test.suspend(250ms);
  const LinkId Link = Test.m_Opens.front().first;
  Test.m_Links[Link] = "gate1";
  Test.m_Ingress.onLinkOpened(Link, Test.m_Now);
  Test.performCommands();
  CHECK(Test.m_Dispatches.empty());
  CHECK(Test.outcome(1) == CallOutcome::NotRun);
}

TEST_CASE("a request whose answer cannot return in time is not dispatched") {
  IngressFixture Test;
  ConfigurationBuilder OneTarget;
  OneTarget.m_TargetZones = {"a"};
  Test.configure(OneTarget);
  Test.call(1, "POST");
  const LinkId Link = Test.m_Opens.front().first;
  Test.m_Silent = {Link};
  Test.advance(200ms);
  REQUIRE(Test.sent<TrafficPing>().size() == 1);
  Test.advance(100ms);
  Test.m_Silent.clear();
  Test.reply({"gate1", Link, {}},
             TrafficPong{Test.sent<TrafficPing>()[0].m_Sequence, 0, {}});
  Test.call(2, "POST", 90ms);
  CHECK(Test.m_Dispatches.size() == 1);
  CHECK(Test.outcome(2) == CallOutcome::NotRun);
  Test.call(3, "POST", 110ms);
  REQUIRE(Test.m_Dispatches.size() == 2);
  CHECK(Test.m_Dispatches[1].m_Message.m_Remaining == 10ms);
}

TEST_CASE(
    "only a link newer than the attempt's own reports that it never runs") {
  IngressFixture Test;
  Test.configure({});
  Test.call(1, "POST");
  Test.reply(first(Test),
             InquiryReply{first(Test).m_Message.m_Id, LedgerState::NeverRuns});
  CHECK(Test.m_Dispatches.size() == 1);
  CHECK_FALSE(Test.outcome(1));
}

TEST_CASE("an answer counts only if it comes from the attempt's gate and is "
          "for this ingress") {
  IngressFixture Test;
  Test.configure({});
  Test.call(1, "POST");
  const RequestId Id = first(Test).m_Message.m_Id;
  for (const auto &[Link, Gate] : std::map(Test.m_Links)) {
    if (Gate != first(Test).m_Gate)
      Test.reply({Gate, Link, {}}, Answer{Id, makeResponse("x"), {}});
  }
  Test.reply(first(Test),
             Answer{{{1, 1}, Id.m_Sequence}, makeResponse("x"), {}});
  CHECK_FALSE(Test.outcome(1));
  Test.answer(ReceivedDispatch(first(Test)));
  CHECK(Test.m_Answers[1].m_Response->m_Body == "done");
}

TEST_CASE(
    "a caller's disconnection cancels its request, and no answer follows") {
  IngressFixture Test;
  Test.configure({});
  Test.call(1, "POST");
  Test.m_Ingress.onCallerDisconnected(1, Test.m_Now);
  Test.performCommands();
  CHECK(Test.sent<Cancel>().size() == 1);
  CHECK(Test.m_Ingress.openCalls() == 0);
  Test.answer(ReceivedDispatch(first(Test)));
  CHECK(Test.m_AnswerCount == 0);
}

TEST_CASE("finished requests are settled in batches, after a short delay or "
          "with the next dispatch") {
  IngressFixture Test;
  Test.configure({});
  for (CallId Id = 1; Id <= 3; ++Id)
    Test.call(Id, "POST");
  for (const ReceivedDispatch &Next : std::vector(Test.m_Dispatches))
    Test.answer(Next);
  CHECK(Test.sent<Settled>().empty());
  Test.advance(50ms);
  std::size_t Count = 0;
  for (const Settled &Message : Test.sent<Settled>())
    Count += Message.m_Ids.size();
  CHECK(Count == 3);
}

TEST_CASE("the number of open calls is limited") {
  constexpr std::size_t Bound = 16384;
  IngressFixture Test;
  Test.configure({});
  for (CallId Id = 1; Id <= Bound + 1; ++Id)
    Test.call(Id, "POST");
  CHECK(Test.m_Ingress.openCalls() == Bound);
  CHECK(Test.outcome(Bound + 1) == CallOutcome::NotRun);
}

TEST_CASE("each outcome of a call has its own event") {
  struct Case {
    const char *m_Name;
    void (*m_End)(IngressFixture &Test, const ReceivedDispatch &To);
    EventId m_Event;
  };
  const Case Cases[] = {
      {"answered",
       [](IngressFixture &Test, const ReceivedDispatch &To) {
         Test.answer(To);
       },
       EventId::RequestSettled},
      {"refused",
       [](IngressFixture &Test, const ReceivedDispatch &To) {
         Test.refuse(To);
       },
       EventId::RequestNotServed},
      {"unknown",
       [](IngressFixture &Test, const ReceivedDispatch &To) { Test.fail(To); },
       EventId::OutcomeUnknown},
  };
  for (const Case &Each : Cases) {
    CAPTURE(std::string(Each.m_Name));
    ConfigurationBuilder Builder;
    Builder.m_TargetZones = {"a"};
    IngressFixture Test;
    Test.configure(Builder);
    Test.call(1, "POST");
    REQUIRE_FALSE(Test.m_Dispatches.empty());
    Each.m_End(Test, ReceivedDispatch(Test.m_Dispatches.back()));
    REQUIRE_FALSE(Test.m_Events.empty());
    CHECK(Test.m_Events.back().m_Id == Each.m_Event);
  }
}

TEST_CASE("a target's answer right after the deadline reaches the caller") {
  ConfigurationBuilder Builder;
  Builder.m_TargetZones = {"a"};
  Builder.m_Profile.m_AnswerGrace = 100ms;
  IngressFixture Test;
  Test.configure(Builder);
  Test.call(1, "POST", 1s);
  REQUIRE_FALSE(Test.m_Dispatches.empty());
  SUBCASE("within the answer grace") {
    Test.advance(1s + 50ms);
    Test.answer(ReceivedDispatch(Test.m_Dispatches.back()));
    CHECK(Test.outcome(1) == CallOutcome::Answered);
  }
  SUBCASE("the call ends when the grace is over") {
    Test.advance(1s + 100ms);
    CHECK(Test.outcome(1) == CallOutcome::Unknown);
  }
}

TEST_CASE("a planned stop rejects a call that might outlast the process") {
  IngressFixture Test;
  Test.configure({});
  Test.m_Ingress.startDrain(Test.m_Now + 3s, Test.m_Now);
  const Duration Grace = Profile{}.m_AnswerGrace;
  Test.call(1, "POST", 3s - Grace);
  CHECK(Test.m_Dispatches.size() == 1);
  for (const char *Method : {"POST", "GET"}) {
    Test.call(2, Method, 3s - Grace + 1ms);
    CHECK(Test.m_Dispatches.size() == 1);
    REQUIRE(Test.m_Answers.contains(2));
    CHECK(Test.m_Answers.at(2).m_Outcome == CallOutcome::NotRun);
    Test.m_Answers.erase(2);
  }
  Test.advance(1s);
  Test.call(3, "POST", 2s - Grace + 1ms);
  CHECK(Test.m_Dispatches.size() == 1);
  CHECK(Test.m_Answers.at(3).m_Outcome == CallOutcome::NotRun);
}

namespace {

/// Plays calls one after the other, each answered after a time.
void playCalls(IngressFixture &Test, std::size_t Count, Duration Elapsed) {
  for (CallId Id = 100; Id < 100 + Count; ++Id) {
    Test.call(Id, "POST", 9s);
    Test.advance(Elapsed);
    Test.answer(ReceivedDispatch(Test.m_Dispatches.back()));
  }
}

} // namespace

TEST_CASE("a planned stop takes a call that will be answered before the "
          "process ends") {
  IngressFixture Test;
  Test.configure({});
  playCalls(Test, 64, 200ms);
  Test.m_Ingress.startDrain(Test.m_Now + 3s, Test.m_Now);
  const std::size_t Before = Test.m_Dispatches.size();
  SUBCASE("although its deadline is later") {
    Test.call(1, "POST", 9s);
    REQUIRE(Test.m_Dispatches.size() == Before + 1);
    CHECK(Test.m_Dispatches.back().m_Message.m_Remaining <=
          3s - Profile{}.m_AnswerGrace);
    SUBCASE("and answers it") {
      Test.advance(200ms);
      Test.answer(ReceivedDispatch(Test.m_Dispatches.back()));
      CHECK(Test.outcome(1) == CallOutcome::Answered);
    }
    SUBCASE("and ends it in time otherwise") {
      Test.advance(3s);
      CHECK(Test.outcome(1) == CallOutcome::Unknown);
    }
  }
  SUBCASE("not if the time left is shorter than the latest calls took") {
    Test.advance(2850ms);
    Test.call(1, "POST", 9s);
    CHECK(Test.m_Dispatches.size() == Before);
    CHECK(Test.outcome(1) == CallOutcome::NotRun);
  }
  SUBCASE("not if one of its kind has been open for longer") {
    Test.call(1, "POST", 9s);
    Test.advance(1600ms);
    Test.call(2, "POST", 9s);
    CHECK(Test.outcome(2) == CallOutcome::NotRun);
  }
}

TEST_CASE("a planned stop relies on the longest of many calls") {
  IngressFixture Test;
  Test.configure({});
  SUBCASE("a few are not enough") { playCalls(Test, 31, 1ms); }
  SUBCASE("a caller left before its answer") {
    playCalls(Test, 64, 1ms);
    Test.call(2, "POST", 9s);
    Test.advance(2ms);
    Test.m_Ingress.onCallerDisconnected(2, Test.m_Now);
  }
  SUBCASE("one was not answered by its deadline") {
    playCalls(Test, 64, 1ms);
    Test.call(2, "POST", 500ms);
    Test.advance(1s);
    CHECK(Test.outcome(2) == CallOutcome::Unknown);
  }
  SUBCASE("failures are no answers") {
    for (CallId Id = 100; Id < 164; ++Id) {
      Test.call(Id, "POST", 9s);
      Test.fail(ReceivedDispatch(Test.m_Dispatches.back()));
    }
  }
  SUBCASE("one took longer") {
    playCalls(Test, 63, 1ms);
    playCalls(Test, 1, 3s);
    playCalls(Test, 60, 1ms);
  }
  Test.m_Ingress.startDrain(Test.m_Now + 2900ms, Test.m_Now);
  Test.call(1, "POST", 9s);
  CHECK(Test.outcome(1) == CallOutcome::NotRun);
}

// Guards against gates of earlier versions, which pass on such responses.
TEST_CASE("an answer with an invalid status is no answer") {
  for (const std::uint32_t Status : {0U, 99U, 100U, 199U, 600U, 65736U}) {
    CAPTURE(Status);
    IngressFixture Test;
    Test.configure({});
    Test.call(1, "POST");
    const ReceivedDispatch Sent = Test.m_Dispatches.front();
    const auto Response =
        std::make_shared<HttpResponse>(HttpResponse{Status, {}, "odd"});
    Test.reply(Sent, Answer{Sent.m_Message.m_Id, Response, {}});
    CHECK(Test.m_Dispatches.size() == 1);
    CHECK(Test.outcome(1) == CallOutcome::Unknown);
  }
}
