#include "contract/requests_faults.h"

#include <doctest/doctest.h>

using namespace dandelionfall::core;

namespace {

/// Before the calls; dispatch in transit; running at the target; answer in
/// transit; while the first fault is being handled.
constexpr Duration Phases[] = {50ms, 100500us, 110ms, 121500us, 500ms};

} // namespace

TEST_CASE("all calls are answered without a fault") {
  RequestsWorld World;
  scheduleCalls(World);
  CHECK(World.findViolations() == "");
}

TEST_CASE("every guarantee holds under each fault in each phase") {
  for (const RequestsFault &Fault : requestsFaults()) {
    for (const Duration Phase : Phases) {
      for (const bool TimersFirst : {false, true}) {
        RequestsWorld World;
        World.setTimersFirst(TimersFirst);
        scheduleCalls(World);
        World.at(Phase, [&] { Fault.m_Inject(World, 0); });
        CAPTURE(Fault.m_Name);
        CAPTURE(Phase.count());
        CAPTURE(TimersFirst);
        CHECK(World.findViolations() == "");
        CHECK(World.count("POST", CallOutcome::NotRun) == 0);
        if (Fault.m_ReadsAnswered)
          CHECK(World.count("GET", CallOutcome::Answered) == 4);
      }
    }
  }
}

TEST_CASE("every guarantee holds under each pair of faults in each phase") {
  unsigned Worlds = 0;
  for (const RequestsFault &First : requestsFaults()) {
    for (const RequestsFault &Second : requestsFaults()) {
      for (const Duration FirstPhase : Phases) {
        for (const Duration SecondPhase : Phases) {
          const std::size_t SecondGate = Worlds % 2;
          RequestsWorld World;
          World.setTimersFirst(Worlds % 3 == 0);
          scheduleCalls(World);
          World.at(FirstPhase, [&] { First.m_Inject(World, 0); });
          World.at(SecondPhase, [&] { Second.m_Inject(World, SecondGate); });
          ++Worlds;
          CAPTURE(First.m_Name);
          CAPTURE(FirstPhase.count());
          CAPTURE(Second.m_Name);
          CAPTURE(SecondPhase.count());
          CAPTURE(SecondGate);
          CHECK(World.findViolations() == "");
        }
      }
    }
  }
  MESSAGE("worlds=" << Worlds);
}
