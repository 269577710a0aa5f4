#include "contract/requests_faults.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <tuple>
#include <utility>
#include <vector>

using namespace dandelionfall::core;

TEST_CASE("every guarantee holds under random interleavings of faults") {
  const bool Held = rc::check("every guarantee holds", [] {
    // Generator ranges grow with the size; `Full` uses the nominal size, and so
    // the full ranges, from the first case on.
    const auto Full = [](auto Generator) {
      return rc::gen::resize(rc::kNominalSize, std::move(Generator));
    };
    const std::size_t FaultCount = requestsFaults().size();
    const auto Seed = *Full(rc::gen::inRange<std::uint64_t>(0, 1000));
    const auto TimersFirst = *rc::gen::arbitrary<bool>();
    const auto InjectionCount = *Full(rc::gen::inRange<std::size_t>(1, 6));
    const auto Injections = *rc::gen::container<
        std::vector<std::tuple<std::size_t, int, std::size_t>>>(
        InjectionCount,
        Full(rc::gen::tuple(rc::gen::inRange<std::size_t>(0, FaultCount),
                            rc::gen::oneOf(rc::gen::inRange(99000, 145000),
                                           rc::gen::inRange(0, 1000000)),
                            rc::gen::inRange<std::size_t>(0, 2))));
    RequestsWorld World(3, Seed);
    World.setTimersFirst(TimersFirst);
    scheduleCalls(World);
    for (const auto &[Fault, Time, Gate] : Injections) {
      World.at(Duration(Time), [&World, Fault = Fault, Gate = Gate] {
        requestsFaults()[Fault].m_Inject(World, Gate);
      });
    }
    const std::string Violations = World.findViolations();
    RC_LOG(Violations);
    RC_ASSERT(Violations.empty());
  });
  CHECK(Held);
}
