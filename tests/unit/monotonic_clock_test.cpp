// The clock of the decision logic.
#include "app/node/wake_up_timer.h"

#include <doctest/doctest.h>

#include <ctime>

using namespace dandelionfall;

namespace {

core::TimePoint readSuspendedToo() {
  timespec Now{};
  REQUIRE(clock_gettime(CLOCK_BOOTTIME, &Now) == 0);
  return core::TimePoint(std::chrono::seconds(Now.tv_sec) +
                         std::chrono::microseconds(Now.tv_nsec / 1000));
}

} // namespace

TEST_CASE("the clock counts the time for which the host was suspended") {
  const core::TimePoint Before = readSuspendedToo();
  const core::TimePoint Read = app::monotonicNow();
  const core::TimePoint After = readSuspendedToo();
  CHECK(Before <= Read);
  CHECK(Read <= After);
}
