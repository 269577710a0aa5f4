#include "core/gate/ramp.h"

#include <doctest/doctest.h>

using namespace dandelionfall::core;
using namespace dandelionfall::core::gate;

namespace {

constexpr Duration ServiceTime = std::chrono::milliseconds(5);
constexpr std::uint32_t ColdLimit = 2;
constexpr std::uint32_t Slots = 12;
constexpr std::uint32_t ColdRequests = 40;

} // namespace

TEST_CASE(
    "the limit of a cold target rises only after enough complete responses") {
  Ramp Limit;
  Limit.configure(ColdLimit, Slots, ColdRequests);
  TimePoint Now{};
  for (std::uint32_t Answers = 1; Answers <= ColdRequests; ++Answers) {
    Now += Ramp::MinRaiseInterval;
    CHECK(Limit.onCompletion(ServiceTime, true, true, Now) == RampChange::None);
  }
  CHECK(Limit.limit() == ColdLimit);
  Now += Ramp::MinRaiseInterval;
  CHECK(Limit.onCompletion(ServiceTime, true, true, Now) == RampChange::Raised);
  CHECK(Limit.limit() == ColdLimit + 1);
}

TEST_CASE("after a restart the limit waits for complete responses again") {
  Ramp Limit;
  Limit.configure(ColdLimit, Slots, ColdRequests);
  TimePoint Now{};
  while (Limit.limit() < Slots) {
    Now += Ramp::MinRaiseInterval;
    Limit.onCompletion(ServiceTime, true, true, Now);
  }
  CHECK(Limit.restart(Now));
  for (std::uint32_t Answers = 1; Answers < ColdRequests; ++Answers) {
    Now += Ramp::MinRaiseInterval;
    Limit.onCompletion(ServiceTime, true, true, Now);
  }
  CHECK(Limit.limit() == ColdLimit);
}

TEST_CASE("incomplete responses do not count") {
  Ramp Limit;
  Limit.configure(ColdLimit, Slots, ColdRequests);
  TimePoint Now{};
  for (std::uint32_t Answers = 0; Answers < 2 * ColdRequests; ++Answers) {
    Now += Ramp::MinRaiseInterval;
    Limit.onCompletion(ServiceTime, false, true, Now);
  }
  CHECK(Limit.limit() == ColdLimit);
}
