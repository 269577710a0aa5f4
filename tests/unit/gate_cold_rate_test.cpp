// Requests that a cold target gets in any second.
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
    while (Rate.nextStart(Now) <= Now && Starts.size() < 1000) {
      Rate.noteStart(Now);
      Starts.push_back(Now);
    }
  }
  return Starts;
}

std::size_t mostInAnySecond(const std::vector<TimePoint> &Starts) {
  std::size_t Most = 0;
  for (std::size_t First = 0; First < Starts.size(); ++First) {
    std::size_t Last = First;
    while (Last < Starts.size() && Starts[Last] < Starts[First] + 1s)
      ++Last;
    Most = std::max(Most, Last - First);
  }
  return Most;
}

} // namespace

TEST_CASE("a cold target gets its rate in any second, and no less") {
  const TimePoint Begin{100s};
  ColdRate Rate;
  Rate.configure(PerSecond);
  Rate.stayColdUntil(Begin + 5s);
  const auto Starts = startsUntil(Rate, Begin, Begin + 5s);
  CHECK(mostInAnySecond(Starts) <= 14);
  CHECK(Starts.size() >= 56);
}

TEST_CASE("starts from before a cold start count too") {
  const TimePoint Begin{100s};
  ColdRate Rate;
  Rate.configure(PerSecond);
  for (int Count = 0; Count < 20; ++Count)
    Rate.noteStart(Begin + Count * 10ms);
  Rate.stayColdUntil(Begin + 5s);
  CHECK(Rate.nextStart(Begin + 200ms) >= Begin + 1s);
}

TEST_CASE(
    "a process that has just started knows nothing of the second before") {
  const TimePoint Begin{100s};
  ColdRate Rate;
  Rate.configure(PerSecond);
  Rate.assumeSpent(Begin);
  CHECK(Rate.nextStart(Begin) == Begin);
  Rate.stayColdUntil(Begin + 5s);
  CHECK(Rate.nextStart(Begin) >= Begin + 1s);
}

TEST_CASE("a warm target, or one without a rate, is not held back") {
  const TimePoint Begin{100s};
  ColdRate Rate;
  Rate.configure(PerSecond);
  Rate.stayColdUntil(Begin);
  CHECK(startsUntil(Rate, Begin, Begin + 10ms).size() == 1000);
  ColdRate Unbounded;
  Unbounded.configure(0);
  Unbounded.stayColdUntil(Begin + 5s);
  CHECK_FALSE(Unbounded.isCold(Begin));
}
