// Rate limit of requests to a cold target.
#include "core/gate/cold_rate.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace dandelionfall::core;
using namespace std::chrono_literals;
using gate::ColdRate;

namespace {

constexpr double PerSecond = 14;

std::vector<TimePoint> startsUntil(ColdRate &Rate, TimePoint From,
                                   TimePoint End) {
  std::vector<TimePoint> Starts;
  for (TimePoint Now = From; Now < End; Now += 5ms) {
    while (Rate.earliestStart(Now) <= Now && Starts.size() < 1000) {
      Rate.recordStart(Now);
      Starts.push_back(Now);
    }
  }
  return Starts;
}

std::size_t maxStartsInAnySecond(const std::vector<TimePoint> &Starts) {
  std::size_t Max = 0;
  for (std::size_t First = 0; First < Starts.size(); ++First) {
    std::size_t Last = First;
    while (Last < Starts.size() && Starts[Last] < Starts[First] + 1s)
      ++Last;
    Max = std::max(Max, Last - First);
  }
  return Max;
}

} // namespace

TEST_CASE("a cold target gets its full rate in any second, and no more") {
  const TimePoint Begin{100s};
  ColdRate Rate;
  Rate.configure(PerSecond);
  Rate.extendColdUntil(Begin + 5s);
  const auto Starts = startsUntil(Rate, Begin, Begin + 5s);
  CHECK(maxStartsInAnySecond(Starts) <= 14);
  CHECK(Starts.size() >= 56);
}

TEST_CASE("starts before the cold start count towards its limit") {
  const TimePoint Begin{100s};
  ColdRate Rate;
  Rate.configure(PerSecond);
  for (int Count = 0; Count < 20; ++Count)
    Rate.recordStart(Begin + Count * 10ms);
  Rate.extendColdUntil(Begin + 5s);
  CHECK(Rate.earliestStart(Begin + 200ms) >= Begin + 1s);
}

TEST_CASE(
    "after a process start the limit of the last second counts as used up") {
  const TimePoint Begin{100s};
  ColdRate Rate;
  Rate.configure(PerSecond);
  Rate.assumeLimitReached(Begin);
  CHECK(Rate.earliestStart(Begin) == Begin);
  Rate.extendColdUntil(Begin + 5s);
  CHECK(Rate.earliestStart(Begin) >= Begin + 1s);
}

TEST_CASE("a warm target, or one without a rate limit, is not limited") {
  const TimePoint Begin{100s};
  ColdRate Rate;
  Rate.configure(PerSecond);
  Rate.extendColdUntil(Begin);
  CHECK(startsUntil(Rate, Begin, Begin + 10ms).size() == 1000);
  ColdRate Unbounded;
  Unbounded.configure(0);
  Unbounded.extendColdUntil(Begin + 5s);
  CHECK_FALSE(Unbounded.isCold(Begin));
}
