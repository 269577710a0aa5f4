#include "core/gate/crowding.h"

#include <doctest/doctest.h>

using namespace dandelionfall::core;
using namespace dandelionfall::core::gate;

namespace {

constexpr std::uint32_t Slots = 12;
constexpr Duration Work = std::chrono::milliseconds(100);
constexpr TimePoint Start{std::chrono::seconds(1000)};

/// Gives samples at each number of requests in flight.
/// \param SlowAbove number above which the target works slower.
/// \param Factor how much slower.
void measure(Crowding &Of, std::uint32_t SlowAbove, int Factor, TimePoint Now) {
  for (std::uint32_t InFlight = 1; InFlight <= Slots; ++InFlight) {
    const Duration Sample = InFlight > SlowAbove ? Factor * Work : Work;
    for (std::uint32_t Count = 0; Count < Crowding::LeastSamples; ++Count)
      Of.addSample("view", Sample, InFlight, Now);
  }
}

Crowding make() {
  Crowding Made;
  Made.configure(Slots);
  return Made;
}

} // namespace

TEST_CASE("a target that keeps its speed is used in full") {
  Crowding Of = make();
  measure(Of, Slots, 1, Start);
  CHECK(Of.limit() == Slots);
}

TEST_CASE("a target that slows down when nearly full keeps slots free") {
  Crowding Of = make();
  measure(Of, 9, 2, Start);
  CHECK(Of.limit() == 9);
  CHECK(Of.fullSlowdown() == doctest::Approx(2));
}

TEST_CASE("a slowdown that costs less than the slots are worth is borne") {
  Crowding Of = make();
  for (int Round = 0; Round < 3; ++Round)
    measure(Of, Slots, 1, Start);
  for (std::uint32_t Count = 0; Count < Crowding::Memory; ++Count)
    Of.addSample("view", Work * 13 / 10, Slots, Start);
  CHECK(Of.limit() == Slots);
}

TEST_CASE("the limit is lifted to measure again, and later each time") {
  Crowding Of = make();
  measure(Of, 9, 2, Start);
  REQUIRE(Of.limit() == 9);
  const TimePoint Early =
      Start + Crowding::FirstRetrial - std::chrono::milliseconds(1);
  CHECK_FALSE(Of.addSample("view", Work, 5, Early));
  const TimePoint First = Start + Crowding::FirstRetrial;
  CHECK(Of.addSample("view", Work, 5, First));
  CHECK(Of.limit() == Slots);
  measure(Of, 9, 2, First);
  REQUIRE(Of.limit() == 9);
  Of.addSample("view", Work, 5, First + Crowding::FirstRetrial);
  CHECK(Of.limit() == 9);
  Of.addSample("view", Work, 5, First + 2 * Crowding::FirstRetrial);
  CHECK(Of.limit() == Slots);
}

TEST_CASE("a target that no longer slows down is used in full again") {
  Crowding Of = make();
  measure(Of, 9, 2, Start);
  const TimePoint Later = Start + Crowding::FirstRetrial;
  Of.addSample("view", Work, 5, Later);
  measure(Of, Slots, 1, Later);
  CHECK(Of.limit() == Slots);
}

TEST_CASE("kinds of different length are not mixed up") {
  Crowding Of = make();
  measure(Of, Slots, 1, Start);
  // Long requests that only come when the target is full say nothing.
  for (std::uint32_t Count = 0; Count < 2 * Crowding::Memory; ++Count)
    Of.addSample("chart", 5 * Work, Slots, Start);
  CHECK(Of.limit() == Slots);
}

TEST_CASE("another target is measured anew") {
  Crowding Of = make();
  measure(Of, 9, 2, Start);
  Of.forget();
  CHECK(Of.limit() == Slots);
  Of.configure(2 * Slots);
  CHECK(Of.limit() == 2 * Slots);
}
