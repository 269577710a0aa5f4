#include "core/quota/limits.h"
#include "dandelionfall/core/gate.h"

#include <doctest/doctest.h>

namespace dandelionfall::core {

using namespace std::chrono_literals;

namespace {

CreditGrant lastGrant(Gate &Of) {
  CreditGrant Result;
  for (const GateCommand &Each : Of.takeCommands()) {
    const auto *Send = std::get_if<SendTraffic>(&Each);
    if (Send == nullptr)
      continue;
    if (const auto *Grant = std::get_if<CreditGrant>(&Send->m_Message))
      Result = *Grant;
  }
  return Result;
}

} // namespace

TEST_CASE("a gate answers requests for credit as an accountant") {
  constexpr TimePoint Start{Duration(1h)};
  constexpr Duration ProofAge = 5s;
  GateOptions Options{"h1", "a", "", {1, 1}};
  Options.m_GateAddress = "gate1";
  Options.m_MaxAccountProofAge = ProofAge;
  Gate Tested(Options);
  auto Config = std::make_shared<Configuration>();
  Config->m_Stamp.m_Version = 1;
  auto Desk = std::make_shared<Service>();
  Desk->m_Targets.push_back({"t1", "h1", "a", "gate1", 4, 8});
  Config->m_Services["desk"] = Desk;
  Config->m_Teams = std::make_shared<TeamTable>(
      std::vector<TeamDefinition>{{{"red", 0, {10, 10}}, {"key"}}});
  Tested.onConfiguration(Config, Start);
  Tested.onMessage(7, TrafficHello{"h2", {2, 2}, 1, 1}, Start);
  const TimePoint Later = Start + ProofAge + quota::LeaseTime + 1s;
  Tested.onMessage(7, CreditRequest{1, "red", 4, 0}, Later);
  CHECK(lastGrant(Tested) == CreditGrant{1, "red", 0, 0ms, 0ms});
  Tested.onFreshness({1, Later});
  Tested.onMessage(7, CreditRequest{2, "red", 4, 0}, Later);
  CHECK(lastGrant(Tested) == CreditGrant{2, "red", 4, quota::LeaseTime, 0ms});
}

} // namespace dandelionfall::core
