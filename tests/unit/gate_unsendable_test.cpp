#include "gate_harness.h"

#include <doctest/doctest.h>

using namespace dandelionfall::core;
using namespace dandelionfall::core::testing;

TEST_CASE("a request that can't be sent is answered and says nothing about the "
          "target") {
  GateHarness Harness(GateSettings{.m_Slots = 1, .m_ColdLimit = 1});
  Harness.hello(1, 1);
  Harness.dispatch(1, 1);
  Harness.dispatch(1, 2);
  const std::size_t Restarts = Harness.events(EventId::RampRestarted);
  CHECK(Harness.starts(1) == 1);
  CHECK(Harness.starts(2) == 0);
  Harness.unsendable(1);
  const auto Answers = Harness.sent<Answer>();
  REQUIRE(Answers.size() == 1);
  CHECK(toString(Answers[0].second.m_Id) == toString(GateHarness::id(1)));
  CHECK(Answers[0].second.m_Response->m_Status == 400);
  CHECK(Harness.starts(2) == 1);
  CHECK(Harness.events(EventId::TargetHeldOff) == 0);
  CHECK(Harness.events(EventId::RampRestarted) == Restarts);
  CHECK(Harness.commands<CheckTarget>().empty());
  Harness.answer(2);
  CHECK(Harness.sent<Answer>().size() == 2);
}
