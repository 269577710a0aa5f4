// What an ingress remembers of the statements of targets.
#include "unit/ingress_fixture.h"

#include <doctest/doctest.h>

using namespace dandelionfall::core;

namespace {

ConfigurationBuilder oneTarget() {
  ConfigurationBuilder Builder;
  Builder.m_TargetZones = {"a"};
  return Builder;
}

} // namespace

TEST_CASE("a restarted gate is told the rate that its target stated") {
  IngressFixture Test;
  Test.configure(oneTarget());
  Test.call(1, "GET");
  CHECK(!Test.m_Dispatches.back().m_Message.m_StatedRate);
  Test.answer(Test.m_Dispatches.back(), {8.2});
  Test.m_Incarnations["gate1"] = {9, 9};
  Test.breakLinks("gate1");
  Test.advance(1s);
  Test.call(2, "GET");
  REQUIRE(Test.m_Dispatches.size() == 2);
  CHECK(Test.m_Dispatches.back().m_Message.m_StatedRate == 8.2);
  Test.answer(Test.m_Dispatches.back(), TargetStatement{});
  Test.call(3, "GET");
  CHECK(!Test.m_Dispatches.back().m_Message.m_StatedRate);
}
