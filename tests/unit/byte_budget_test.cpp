#include "dandelionfall/core/byte_budget.h"
#include "dandelionfall/core/machine_limits.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>
#include <utility>
#include <vector>

using namespace dandelionfall;
using core::ByteBudget;

namespace {

constexpr core::ByteBudgetLimits Limits{
    .m_LargeTotal = 100, .m_SmallTotal = 20, .m_MaxSmall = 5};

/// Keeps the reservations that had to wait, with the number of each.
struct GrantList {
  ByteBudget::Granted add(int Number) {
    return [this, Number](ByteBudget::Reservation Each) {
      m_Numbers.push_back(Number);
      m_Held.push_back(std::move(Each));
    };
  }

  std::vector<int> m_Numbers;
  std::vector<ByteBudget::Reservation> m_Held;
};

} // namespace

TEST_CASE("a reservation is granted within the total and returned at its end") {
  const auto Budget = ByteBudget::create(Limits);
  CHECK(Budget->limit() == 120);
  {
    const auto First = Budget->tryReserve(60);
    CHECK(First.bytes() == 60);
    CHECK(Budget->tryReserve(41).bytes() == 0);
    CHECK(Budget->held() == 60);
    CHECK(Budget->tryReserve(40).bytes() == 40);
  }
  CHECK(Budget->held() == 0);
  CHECK(Budget->fits(100));
  CHECK_FALSE(Budget->fits(101));
}

TEST_CASE("a small reservation that has become large makes room for others") {
  const auto Budget = ByteBudget::create(Limits);
  const auto Large = Budget->tryReserve(98);
  std::vector<ByteBudget::Reservation> Small;
  Small.reserve(4);
  for (int Count = 0; Count < 4; ++Count)
    Small.push_back(Budget->tryReserve(5));
  GrantList Grants;
  Budget->wait(5, Grants.add(1));
  CHECK(Grants.m_Numbers.empty());
  Small.front().countAsLarge();
  CHECK(Grants.m_Numbers == std::vector<int>{1});
  // Large ones are beyond their total now, so none is granted.
  CHECK(Budget->held() == 123);
  CHECK(Budget->tryReserve(6).bytes() == 0);
  Small.front().countAsLarge();
  CHECK(Budget->held() == 123);
  Small.clear();
  Grants.m_Held.clear();
  CHECK(Budget->held() == 98);
  ByteBudget::Reservation().countAsLarge();
}

TEST_CASE("small reservations don't wait for large ones") {
  const auto Budget = ByteBudget::create(Limits);
  const auto Large = Budget->tryReserve(100);
  GrantList Grants;
  Budget->wait(50, Grants.add(1));
  std::vector<ByteBudget::Reservation> Small;
  for (int Count = 0; Count < 4; ++Count) {
    Small.push_back(Budget->tryReserve(5));
    CHECK(Small.back().bytes() == 5);
  }
  CHECK(Budget->tryReserve(1).bytes() == 0);
  CHECK(Budget->waiting() == 1);
}

TEST_CASE("waiters are granted in the order of their arrival") {
  const auto Budget = ByteBudget::create(Limits);
  auto First = Budget->tryReserve(90);
  GrantList Grants;
  Budget->wait(80, Grants.add(1));
  Budget->wait(10, Grants.add(2));
  CHECK(Budget->tryReserve(10).bytes() == 0);
  CHECK(Grants.m_Numbers.empty());
  First.shrink(20);
  CHECK(Grants.m_Numbers == std::vector<int>{1});
  First.release();
  CHECK(Grants.m_Numbers == std::vector<int>{1, 2});
  CHECK(Budget->held() == 90);
  Grants.m_Held.clear();
  CHECK(Budget->held() == 0);
}

TEST_CASE("a cancelled wait makes room for the next one") {
  const auto Budget = ByteBudget::create(Limits);
  const auto First = Budget->tryReserve(50);
  GrantList Grants;
  const auto Large = Budget->wait(80, Grants.add(1));
  Budget->wait(50, Grants.add(2));
  Budget->cancel(Large);
  Budget->cancel(Large);
  CHECK(Grants.m_Numbers == std::vector<int>{2});
  CHECK(Budget->waiting() == 0);
}

TEST_CASE("a reservation can be moved and outlives its budget's owner") {
  auto Budget = ByteBudget::create(Limits);
  auto First = Budget->tryReserve(50);
  auto Second = Budget->tryReserve(20);
  First = std::move(Second);
  CHECK(Budget->held() == 20);
  Budget.reset();
  First.release();
  CHECK(First.bytes() == 0);
}

TEST_CASE("held bytes never exceed the limit and every waiter is granted") {
  for (std::uint32_t Seed = 1; Seed <= 50; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Random(Seed);
    const auto Budget = ByteBudget::create(Limits);
    std::deque<ByteBudget::Reservation> Held;
    int Waited = 0;
    int Granted = 0;
    for (int Step = 0; Step < 500; ++Step) {
      const std::size_t Bytes = 1 + Random() % 60;
      if (Random() % 2 == 0 && !Held.empty()) {
        const ByteBudget::Reservation Ended = std::move(Held.front());
        Held.pop_front();
        continue;
      }
      auto Reserved = Budget->tryReserve(Bytes);
      if (Reserved.bytes() > 0) {
        Held.push_back(std::move(Reserved));
      } else {
        ++Waited;
        Budget->wait(Bytes, [&](ByteBudget::Reservation Each) {
          ++Granted;
          Held.push_back(std::move(Each));
        });
      }
      CHECK(Budget->held() <= Budget->limit());
    }
    while (!Held.empty()) {
      const ByteBudget::Reservation Ended = std::move(Held.front());
      Held.pop_front();
    }
    CHECK(Waited == Granted);
    CHECK(Budget->held() == 0);
    CHECK(Budget->waiting() == 0);
  }
}

TEST_CASE("bodies may take a share of the machine's memory") {
  constexpr double MaxShare = 0.5;
  for (const std::uint32_t MemoryMb : {64U, 260U, 4096U}) {
    CAPTURE(MemoryMb);
    const auto Callers = core::callerBodyLimits({.m_MemoryMb = MemoryMb});
    const auto Gate = core::gateBodyLimits({.m_MemoryMb = MemoryMb});
    const std::size_t Total = Callers.m_LargeTotal + Callers.m_SmallTotal +
                              Gate.m_LargeTotal + Gate.m_SmallTotal;
    CHECK(static_cast<double>(Total) <= MaxShare * 1e6 * MemoryMb);
    CHECK(Gate.m_SmallTotal > Gate.m_MaxSmall);
  }
  CHECK(core::callerBodyLimits({}) ==
        core::callerBodyLimits({.m_MemoryMb = 1024}));
}

TEST_CASE("bytes tied to an object are returned with its last pointer") {
  const auto Budget = ByteBudget::create(Limits);
  auto First =
      core::tie(std::make_shared<const int>(7), Budget->tryReserve(60));
  auto Second = First;
  First.reset();
  CHECK(Budget->held() == 60);
  CHECK(*Second == 7);
  Second.reset();
  CHECK(Budget->held() == 0);
}
