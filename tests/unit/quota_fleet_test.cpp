#include "quota_fleet.h"

#include <doctest/doctest.h>

#include <cstdlib>

namespace dandelionfall::core::quota {

namespace {

constexpr std::size_t Size = 10;
constexpr QuotaTolerance Tolerance{5s, 0.05, 2};

Demand even(double Total) { return Demand(Size, Total / Size); }

Demand atOne(double Total, std::size_t Node) {
  Demand Result(Size, 0.0);
  Result[Node % Size] = Total;
  return Result;
}

Demand moving(double Total, Duration Since) {
  return atOne(Total, static_cast<std::size_t>(Since / Duration(1s)));
}

TeamLoad load(const std::string &Name, double Rate,
              std::function<Demand(Duration)> Of) {
  return {{Name, 0, {Rate, Rate}}, std::move(Of)};
}

// What the buckets of a quota hold at most.
double roomOf(const TeamQuota &Quota) {
  const QuotaShare Share = shareOf(Quota, Tolerance, Size);
  return Share.m_Burst * static_cast<double>(Share.m_Accountants);
}

} // namespace

TEST_CASE("a team's demand below its quota is let through wherever it comes") {
  const struct {
    const char *m_Name;
    double m_Rate;
    std::function<Demand(Duration)> m_Demand;
  } Rows[] = {
      {"even", 100, [](Duration) { return even(62); }},
      {"one", 100, [](Duration) { return atOne(62, 3); }},
      {"moves", 100, [](Duration Since) { return moving(62, Since); }},
      {"small-even", 5, [](Duration) { return even(3.1); }},
      {"small-one", 5, [](Duration) { return atOne(3.1, 3); }},
      {"small-moves", 5, [](Duration Since) { return moving(3.1, Since); }},
  };
  Fleet All(Size, 1, Tolerance);
  for (const auto &Row : Rows)
    All.addTeam(load(Row.m_Name, Row.m_Rate, Row.m_Demand));
  All.start();
  All.run(120s);
  for (std::size_t Index = 0; Index < std::size(Rows); ++Index) {
    const TeamResult &Result = All.result(Index);
    CAPTURE(Rows[Index].m_Name);
    MESSAGE(std::string(Rows[Index].m_Name), ": let through ", Result.share());
    CHECK(Result.m_Unreached == 0);
    CHECK(Result.share() >= 0.95);
  }
  MESSAGE("messages a second ", static_cast<double>(All.messages()) / 120);
}

TEST_CASE("a hot team gets about its rate, and no more") {
  Fleet All(Size, 2, Tolerance);
  All.addTeam(load("hot", 60, [](Duration) { return even(420); }));
  All.addTeam(load("hot-one", 60, [](Duration) { return atOne(420, 1); }));
  All.start();
  All.run(60s);
  for (const std::size_t Index : {0U, 1U}) {
    const double PerSecond =
        static_cast<double>(All.result(Index).m_Runs.size()) / 60;
    MESSAGE("hot team ", Index, ": ", PerSecond, " of 60 a second");
    CHECK(PerSecond > 0.93 * 60);
    CHECK(worstBurst(All.result(Index).m_Runs, 60) <= roomOf({60, 60}) + 0.001);
  }
  MESSAGE("messages a second ", static_cast<double>(All.messages()) / 60);
}

TEST_CASE("faults never let more run than the quota") {
  const char *Wanted = std::getenv("QUOTA_SEEDS");
  const int Seeds = Wanted != nullptr ? std::atoi(Wanted) : 30;
  double Worst = 0;
  std::size_t Asked = 0;
  std::size_t Run = 0;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    Fleet All(Size, static_cast<std::uint64_t>(Seed), Tolerance);
    All.addTeam(load("hot", 60, [](Duration) { return even(420); }));
    All.addTeam(load("normal", 60, [](Duration) { return even(37); }));
    All.addTeam(load("small", 5, [](Duration) { return even(35); }));
    All.addTeam(
        load("moves", 60, [](Duration Since) { return moving(200, Since); }));
    std::mt19937 Random(static_cast<unsigned>(Seed));
    const auto Draw = [&] {
      return std::uniform_real_distribution<>()(Random);
    };
    All.setFaults({0.5 * Draw(), 0.4 * Draw(), 0.2 * Draw(), 0.1 * Draw()});
    All.start();
    All.run(3s);
    All.enableFaults(true);
    All.run(40s);
    const double Rates[] = {60, 60, 5, 60};
    for (std::size_t Index = 0; Index < 4; ++Index) {
      CAPTURE(Index);
      const TeamQuota Quota{Rates[Index], Rates[Index]};
      const double Burst = worstBurst(All.result(Index).m_Runs, Rates[Index]);
      CHECK(Burst <= roomOf(Quota) + 0.001);
      Worst = std::max(Worst, Burst / roomOf(Quota));
    }
    Asked += All.result(1).m_Asked;
    Run += All.result(1).m_Runs.size();
  }
  MESSAGE("fullest window ", Worst, " of the room; below its quota ",
          static_cast<double>(Run) / static_cast<double>(Asked),
          " let through");
}

TEST_CASE("accountants that join don't add to those that are cut off") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    Fleet All(Size, Seed, Tolerance);
    All.addTeam(load("hot", 60, [](Duration) { return even(420); }));
    All.start(Size / 2);
    All.run(5s);
    All.joinDuringCut(10s);
    All.run(20s);
    CHECK(worstBurst(All.result(0).m_Runs, 60) <= roomOf({60, 60}) + 0.001);
  }
}

TEST_CASE("a limit that falls binds soon") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    CAPTURE(Seed);
    Fleet All(Size, Seed, Tolerance);
    All.addTeam(load("hot", 60, [](Duration) { return even(420); }));
    All.setFaults({0.2, 0.2, 0.1, 0.05});
    All.start();
    All.enableFaults(true);
    All.run(10s);
    All.setQuota(0, {20, 20});
    const TimePoint Bound = All.now() + Fleet::MaxProofAge + LeaseTime;
    All.run(20s);
    std::vector<TimePoint> Runs = All.result(0).m_Runs;
    std::erase_if(Runs, [&](const TimePoint &Each) { return Each < Bound; });
    CHECK(worstBurst(Runs, 20) <= roomOf({20, 20}) + 0.001);
  }
}

} // namespace dandelionfall::core::quota
