// Kinds of requests that compete for too little room at a gate.

#include "gate_load_play.h"

#include <doctest/doctest.h>

#include <array>

using namespace dandelionfall::core;
using namespace dandelionfall::core::testing;

namespace {

/// Load that a target bears a third of.
struct Overload {
  std::uint32_t m_Slots;
  double m_Few;
  double m_Many;
};

constexpr std::array Overloads = {Overload{4, 20, 100}, Overload{12, 60, 300},
                                  Overload{4, 60, 300}};

} // namespace

TEST_CASE("a kind that was slow for a moment gets its share again") {
  for (const Overload &Each : Overloads) {
    for (const bool Idempotent : {true, false}) {
      for (const Duration Objective : {ms(500), ms(1000)}) {
        CAPTURE(Each.m_Slots);
        CAPTURE(Each.m_Many);
        CAPTURE(Idempotent);
        CAPTURE(Objective.count());
        Duration SlowWork = ms(300);
        LoadPlay Play({.m_Slots = Each.m_Slots,
                       .m_ColdLimit = Each.m_Slots,
                       .m_QueueLimit = 64},
                      [&](const Flow &, TimePoint) { return SlowWork; });
        const Flow Few{.m_Kind = "few",
                       .m_PerSecond = Each.m_Few,
                       .m_SoftDeadline = Objective,
                       .m_Deadline = 2 * Objective,
                       .m_Idempotent = Idempotent};
        const Flow Many{.m_Kind = "many",
                        .m_PerSecond = Each.m_Many,
                        .m_SoftDeadline = Objective,
                        .m_Deadline = 2 * Objective,
                        .m_Idempotent = Idempotent};
        Play.run({{.m_Kind = "few", .m_PerSecond = 8}}, ms(3000));
        SlowWork = ms(100);
        Play.run({Few, Many}, ms(2000));
        const auto Results = Play.measure({Few, Many}, ms(10'000));
        const double Room = Each.m_Slots * 10 / (Each.m_Few + Each.m_Many);
        CHECK(Results[0].inTimeShare() > Room / 2);
        CHECK(Results[1].inTimeShare() > Room / 2);
        CHECK(Results[0].m_InTime + Results[1].m_InTime >
              0.85 * Each.m_Slots * 100);
      }
    }
  }
}

TEST_CASE("probes of a kind that stays slow keep little room from the others") {
  LoadPlay Play({.m_Slots = 4, .m_ColdLimit = 4, .m_QueueLimit = 64},
                [](const Flow &Of, TimePoint) {
                  return Of.m_Kind == "slow" ? ms(600) : ms(100);
                });
  const Flow Slow{.m_Kind = "slow", .m_PerSecond = 20};
  const Flow Many{.m_Kind = "many", .m_PerSecond = 100};
  Play.run({Slow, Many}, ms(3000));
  const auto Results = Play.measure({Slow, Many}, ms(20'000));
  CHECK(Results[0].m_InTime + Results[0].m_Late < 20);
  CHECK(Results[1].m_InTime > 0.9 * 40 * 20);
  CHECK(Results[1].m_Late < 0.02 * Results[1].m_InTime);
}
