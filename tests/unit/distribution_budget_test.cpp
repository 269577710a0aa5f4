// Calls of all nodes together stay below the source's budget in every second.
#include "core/distribution/source_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace dandelionfall::core;
using namespace std::chrono_literals;

namespace {

constexpr double Budget = 2000;
constexpr TimePoint Begin{std::chrono::hours(1)};

std::size_t maxCallsInASecond(std::vector<TimePoint> Calls) {
  std::sort(Calls.begin(), Calls.end());
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Calls.size(); ++Last) {
    while (Calls[First] + 1s <= Calls[Last])
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

struct FleetRow {
  std::string m_Name;
  std::size_t m_Nodes;
  std::size_t m_Listed;
  std::size_t m_Readers;
  /// Time without calls before all nodes call at once.
  Duration m_IdleTime;
};

std::vector<TimePoint> callTimes(const FleetRow &Row, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::uniform_real_distribution<double> Phase(0, 1);
  std::vector<TimePoint> Calls;
  const TimePoint End = Begin + Row.m_IdleTime + 20s;
  for (std::size_t Node = 0; Node < Row.m_Nodes; ++Node) {
    SourceBudget Bucket(Budget, Row.m_Listed, Phase(Random), Begin);
    if (Node < Row.m_Readers)
      Bucket.setReaders(Row.m_Readers);
    for (TimePoint Now = Begin; Now < Begin + Row.m_IdleTime; Now += 500ms)
      (void)Bucket.available(Now);
    for (TimePoint Now = Begin + Row.m_IdleTime; Now < End;
         Now = Bucket.nextToken()) {
      while (Bucket.tryConsume(Now))
        Calls.push_back(Now);
    }
  }
  return Calls;
}

} // namespace

TEST_CASE("all nodes together stay within the budget in every second") {
  const FleetRow Rows[] = {
      {"all start at once", 14000, 14000, 0, 0s},
      {"all start, list a tenth short", 14000, 12600, 0, 0s},
      {"all call after an idle time", 14000, 14000, 27, 60s},
      {"the same, list a tenth short", 14000, 12600, 27, 60s},
      {"small fleet", 12, 12, 9, 5s},
      {"small fleet, list a tenth short", 240, 216, 27, 5s},
  };
  for (const FleetRow &Row : Rows) {
    for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
      CAPTURE(Row.m_Name);
      CAPTURE(Seed);
      const auto Calls = callTimes(Row, Seed);
      CHECK(maxCallsInASecond(Calls) <= Budget);
      // The budget is also used, not merely left unspent.
      CHECK(Calls.size() > 10 * Budget);
    }
  }
}

TEST_CASE("a bucket starts empty and its first token comes within a period") {
  CHECK(rc::check([] {
    const auto Hosts = *rc::gen::inRange<std::size_t>(1, 20000);
    const double Phase = *rc::gen::inRange(0, 1000) / 1000.0;
    SourceBudget Bucket(Budget, Hosts, Phase, Begin);
    const double Seconds =
        static_cast<double>(Hosts) / (SourceBudget::AllocatedShare * Budget);
    RC_ASSERT(Bucket.available(Begin) <= 1U);
    RC_ASSERT(Bucket.nextToken() - Begin <=
              std::chrono::duration<double>(2 * Seconds) + 2us);
  }));
}

TEST_CASE(
    "a bucket never provides more tokens than its rate and reserve allow") {
  CHECK(rc::check([] {
    const auto Hosts = *rc::gen::inRange<std::size_t>(1, 20000);
    const auto Readers = *rc::gen::inRange<std::size_t>(0, 100);
    SourceBudget Bucket(Budget, Hosts, 0.5, Begin);
    Bucket.setReaders(Readers);
    const auto Pauses =
        *rc::gen::container<std::vector<int>>(50, rc::gen::inRange(0, 2000000));
    TimePoint Now = Begin;
    std::size_t Calls = 0;
    for (const int Pause : Pauses) {
      Now += Duration(Pause);
      while (Bucket.tryConsume(Now))
        ++Calls;
    }
    const double Seconds = std::chrono::duration<double>(Now - Begin).count();
    RC_ASSERT(static_cast<double>(Calls) <=
              Seconds * Bucket.rate() + 1 +
                  static_cast<double>(Bucket.reserveLimit()));
  }));
}

TEST_CASE("a waiting watch uses one token per second") {
  SourceBudget Bucket(Budget, 280, 0, Begin);
  CHECK(Bucket.rate() == doctest::Approx(5));
  CHECK(Bucket.supportsWatch());
  Bucket.setWatching(true, Begin);
  std::size_t Calls = 0;
  for (TimePoint Now = Begin; Now < Begin + 10s; Now += 10ms)
    Calls += Bucket.tryConsume(Now) ? 1U : 0U;
  CHECK(Calls <= 41);
  CHECK(Calls >= 39);
  CHECK_FALSE(SourceBudget(Budget, 14000, 0, Begin).supportsWatch());
}
