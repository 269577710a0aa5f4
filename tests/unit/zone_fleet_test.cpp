// Requests of a zone that is short of room, against the other strategies.
#include "unit/zone_fleet.h"

#include <doctest/doctest.h>

using namespace dandelionfall::core;
using namespace dandelionfall::core::ingress;

namespace {

FleetResult play(const std::string &Strategy, double HomeDemand,
                 std::vector<double> Speeds, Duration SoftDeadline) {
  FleetPlan Plan;
  Plan.m_Strategy = Strategy;
  Plan.m_SoftDeadline = SoftDeadline;
  Plan.m_HomeDemand = HomeDemand;
  Plan.m_Speeds = std::move(Speeds);
  FleetResult Result = ZoneFleet(Plan).run();
  MESSAGE(Strategy << " demand=" << HomeDemand
                   << " objective_ms=" << SoftDeadline.count() / 1000
                   << " uneven=" << (Plan.m_Speeds.front() != 1) << " in_time="
                   << Result.inTimeShare() << " sent=" << Result.sentShare()
                   << " largest_change=" << Result.largestChange());
  return Result;
}

} // namespace

TEST_CASE("a zone short of room sends its excess away, and no callers are "
          "served worse for it") {
  for (const std::vector<double> &Speeds :
       {std::vector<double>{1, 1, 1}, {0.7, 0.7, 1.7}}) {
    // Demand as a share of the room at home: enough room, a fifth and half of
    // the demand too much.
    for (const double Demand : {0.75, 1.25, 2.0}) {
      CAPTURE(Demand);
      CAPTURE(Speeds.front());
      const FleetResult Priced = play("priced-zones", Demand, Speeds, 500ms);
      for (const char *Baseline : {"least-loaded-of-two", "round-robin"})
        CHECK(Priced.inTimeShare() >=
              play(Baseline, Demand, Speeds, 500ms).inTimeShare());
      const double Excess = Demand > 1 ? 1 - 1 / Demand : 0;
      CHECK(Priced.sentShare() <= Excess + 0.1);
      CHECK(Priced.sentShare() >= Excess - 0.05);
      CHECK(Priced.largestChange() < 0.4);
      if (Demand < 1)
        CHECK(Priced.sentShare() < 0.01);
      // Little more time than a request takes.
      const FleetResult Hurried = play("priced-zones", Demand, Speeds, 250ms);
      const FleetResult Before =
          play("least-loaded-of-two", Demand, Speeds, 250ms);
      CHECK(Hurried.inTimeShare() >= Before.inTimeShare());
      CHECK(Hurried.sentShare() < Before.sentShare());
      play("round-robin", Demand, Speeds, 250ms);
    }
  }
}

TEST_CASE("a zone that is cut off gets nothing") {
  FleetPlan Plan;
  Plan.m_Strategy = "priced-zones";
  Plan.m_HomeDemand = 1.5;
  Plan.m_CutZone = "b";
  const FleetResult Result = ZoneFleet(Plan).run();
  CHECK(Result.m_SentToCut == 0);
  CHECK(Result.sentShare() > 0.25);
  CHECK(Result.inTimeShare() > 0.99);
}
