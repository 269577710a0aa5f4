// Room for the bodies of responses: many that grow at the same time never take
// more than the memory, and never keep each other from ever ending.
#include "net/response_room.h"

#include "dandelionfall/core/machine_limits.h"

#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <list>
#include <memory>
#include <string>

using namespace dandelionfall;
using net::ResponseRoom;
using State = ResponseRoom::State;

namespace {

constexpr std::uint64_t MaxBody = 1U << 20U;
constexpr std::size_t MaxSmall = 128U << 10U;

std::shared_ptr<const core::ResponseMemory> makeMemory(std::size_t Large,
                                                       std::size_t Whole) {
  return std::make_shared<const core::ResponseMemory>(core::ResponseMemory{
      core::ByteBudget::create({Large, 4 * MaxSmall, MaxSmall}),
      core::ByteBudget::create({Whole, 0, 0})});
}

core::HttpResponsePtr makeResponse(std::size_t BodyBytes) {
  return std::make_shared<const core::HttpResponse>(
      core::HttpResponse{200, {}, std::string(BodyBytes, 'x')});
}

/// A body of unknown size that is read as fast as there is room.
struct GrowingBody {
  GrowingBody(const std::shared_ptr<const core::ResponseMemory> &Memory,
              boost::asio::io_context &Context)
      : m_Room(Memory, MaxBody, Context.get_executor()) {
    proceed(m_Room.start(std::nullopt, [this] { proceed(State::Reserved); }));
  }

  void proceed(State Room) {
    while (Room == State::Reserved && m_Room.bodyBytes() < MaxBody)
      Room = m_Room.grow([this] { proceed(State::Reserved); });
    m_Fits = Room != State::NeverFits;
  }

  bool isWhole() const { return m_Room.bodyBytes() >= MaxBody; }

  ResponseRoom m_Room;
  bool m_Fits = true;
};

} // namespace

TEST_CASE("bodies that grow side by side all end, one after the other") {
  boost::asio::io_context Context;
  const auto Memory = makeMemory(std::size_t{1} << 20U, 2 * MaxBody);
  std::list<GrowingBody> Bodies;
  constexpr std::size_t Count = 20;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Bodies.emplace_back(Memory, Context);
  std::size_t Ended = 0;
  // The beginnings of bodies that wait count beyond the limit.
  constexpr std::size_t Beginnings = Count * (16U << 10U);
  while (!Bodies.empty()) {
    CHECK(Memory->held() <= Memory->limit() + Beginnings);
    const auto Whole =
        std::find_if(Bodies.begin(), Bodies.end(),
                     [](const auto &Each) { return Each.isWhole(); });
    REQUIRE(Whole != Bodies.end());
    Bodies.erase(Whole);
    ++Ended;
    Context.restart();
    Context.poll();
  }
  CHECK(Ended == Count);
  CHECK(Memory->held() == 0);
  CHECK(Memory->waiting() == 0);
}

TEST_CASE("small bodies don't wait for large ones") {
  boost::asio::io_context Context;
  const auto Memory = makeMemory(std::size_t{1} << 20U, 2 * MaxBody);
  std::list<GrowingBody> Bodies;
  for (int Index = 0; Index < 100; ++Index)
    Bodies.emplace_back(Memory, Context);
  REQUIRE(Memory->waiting() > 0);
  for (int Index = 0; Index < 10; ++Index) {
    ResponseRoom Small(Memory, MaxBody, Context.get_executor());
    CHECK(Small.start(5000, [] {}) == State::Reserved);
    CHECK(Small.bodyBytes() >= 5000);
  }
}

TEST_CASE("a stated length is reserved at once, and waits for its turn") {
  boost::asio::io_context Context;
  const auto Memory = makeMemory(2 * MaxBody, 2 * MaxBody);
  ResponseRoom First(Memory, MaxBody, Context.get_executor());
  ResponseRoom Second(Memory, MaxBody, Context.get_executor());
  CHECK(First.start(MaxBody, [] {}) == State::Reserved);
  CHECK(First.bodyBytes() == MaxBody);
  bool HasRoom = false;
  CHECK(Second.start(MaxBody, [&] { HasRoom = true; }) == State::Waiting);
  CHECK(Second.isWaiting());
  First.cancel();
  Context.poll();
  CHECK(HasRoom);
  CHECK_FALSE(Second.isWaiting());
  CHECK(Second.bodyBytes() == MaxBody);
}

TEST_CASE("a body that is larger than the memory never fits") {
  boost::asio::io_context Context;
  const auto Memory = makeMemory(MaxBody, MaxBody);
  ResponseRoom Stated(Memory, MaxBody, Context.get_executor());
  CHECK(Stated.start(MaxBody, [] {}) == State::NeverFits);
  const GrowingBody Growing(Memory, Context);
  CHECK_FALSE(Growing.m_Fits);
}

TEST_CASE("a complete response holds what its body takes until it is gone") {
  boost::asio::io_context Context;
  const auto Memory = makeMemory(std::size_t{1} << 20U, 2 * MaxBody);
  // No growing body gets further in the shared memory.
  const auto Rest = Memory->m_Shared->tryReserve(std::size_t{1} << 20U);
  GrowingBody Body(Memory, Context);
  REQUIRE(Body.isWhole());
  CHECK(Memory->m_Whole->held() == 2 * MaxBody);
  core::HttpResponsePtr Response = Body.m_Room.handOver(makeResponse(40'000));
  // The next one of the largest size does not wait for it.
  CHECK(Memory->m_Whole->held() == 0);
  CHECK(Memory->m_Shared->held() == (1U << 20U) + 80'000);
  core::HttpResponsePtr Copy = Response;
  Response.reset();
  CHECK(Memory->m_Shared->held() == (1U << 20U) + 80'000);
  Copy.reset();
  CHECK(Memory->m_Shared->held() == 1U << 20U);
  CHECK(Body.m_Room.handOver(makeResponse(0)) != nullptr);
}

TEST_CASE("a room that is given up while it waits is not granted") {
  boost::asio::io_context Context;
  const auto Memory = makeMemory(2 * MaxBody, 2 * MaxBody);
  ResponseRoom First(Memory, MaxBody, Context.get_executor());
  REQUIRE(First.start(MaxBody, [] {}) == State::Reserved);
  int Calls = 0;
  {
    ResponseRoom Second(Memory, MaxBody, Context.get_executor());
    REQUIRE(Second.start(MaxBody, [&] { ++Calls; }) == State::Waiting);
  }
  CHECK(Memory->waiting() == 0);
  First.cancel();
  Context.poll();
  CHECK(Calls == 0);
  CHECK(Memory->held() == 0);
}

TEST_CASE("the budgets of a machine leave a part of its memory free") {
  constexpr std::uint64_t LargestBody = 8U << 20U;
  for (const std::uint32_t MemoryMb : {160U, 260U, 512U, 1024U, 4096U}) {
    CAPTURE(MemoryMb);
    const core::MachineLimits Machine{.m_MemoryMb = MemoryMb};
    const core::ResponseMemory Target =
        core::targetResponseMemory(Machine, LargestBody);
    const core::ResponseMemory Callers =
        core::callerResponseMemory(Machine, LargestBody);
    const auto SumOf = [](const core::ByteBudgetLimits &Limits) {
      return Limits.m_LargeTotal + Limits.m_SmallTotal;
    };
    const std::uint64_t Sum = Target.limit() + Callers.limit() +
                              SumOf(core::callerBodyLimits(Machine)) +
                              SumOf(core::gateBodyLimits(Machine));
    CHECK(static_cast<double>(Sum) <= 0.8 * 1e6 * MemoryMb);
    CHECK(Target.m_Whole->fits(core::bodyCost(LargestBody)));
    CHECK(Callers.m_Whole->fits(core::bodyCost(LargestBody)));
  }
}
