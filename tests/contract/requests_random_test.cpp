#include "contract/requests_faults.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <tuple>
#include <vector>

using namespace dandelionfall::core;

TEST_CASE("random interleavings of faults keep every promise") {
  const bool Held = rc::check("every promise is kept", [] {
    const std::size_t FaultCount = requestsFaults().size();
    const auto Seed = *rc::gen::inRange<std::uint64_t>(0, 1000);
    const auto TimersFirst = *rc::gen::arbitrary<bool>();
    const auto Strikes = *rc::gen::resize(
        6, rc::gen::container<
               std::vector<std::tuple<std::size_t, int, std::size_t>>>(
               rc::gen::tuple(rc::gen::inRange<std::size_t>(0, FaultCount),
                              rc::gen::inRange(0, 1000000),
                              rc::gen::inRange<std::size_t>(0, 3))));
    RequestsWorld World(3, Seed);
    World.m_TimersFirst = TimersFirst;
    makeCalls(World);
    for (const auto &[Fault, Time, Gate] : Strikes) {
      World.at(Duration(Time), [&World, Fault = Fault, Gate = Gate] {
        requestsFaults()[Fault].m_Strike(World, Gate);
      });
    }
    const std::string Verdict = World.verdict();
    RC_LOG(Verdict);
    RC_ASSERT(Verdict.empty());
  });
  CHECK(Held);
}
