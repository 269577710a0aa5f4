// The watch of urgent records below one key prefix.
#include "core/registry/prefix_watch.h"

#include "core/registry/limits.h"

#include <doctest/doctest.h>

using namespace dandelionfall::core;
using namespace dandelionfall::core::registry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t FirstCall = 100;

struct Fixture {
  StoreReply reply(Revision AsOf, std::vector<StoreRecord> Records,
                   StoreOutcome Outcome = StoreOutcome::Answered) {
    StoreReply Result;
    Result.m_Call = m_Watch.calls() + FirstCall - 1;
    Result.m_Outcome = Outcome;
    Result.m_AsOf = AsOf;
    Result.m_Records = std::move(Records);
    return Result;
  }

  /// \returns the call issued since the last one, if any.
  std::optional<WatchRecords> takeCall() {
    std::optional<WatchRecords> Result;
    for (const PrefixWatchCommand &Each : m_Watch.takeCommands()) {
      if (const auto *Call = std::get_if<WatchRecords>(&Each))
        Result = *Call;
    }
    return Result;
  }

  TimePoint m_Now{seconds(100)};
  PrefixWatch m_Watch{"servers/", FirstCall, 1};
};

} // namespace

TEST_CASE("a prefix watch reports what changed and continues from there") {
  Fixture World;
  World.m_Watch.setActive(true, 7, World.m_Now);
  const auto First = World.takeCall();
  REQUIRE(First.has_value());
  CHECK(First->m_After == 7);
  CHECK(First->m_Prefix == "servers/");
  CHECK(First->m_Consistency == ReadConsistency::Linearizable);
  const std::vector<StoreRecord> Changed{{"servers/i-1", 9, nullptr}};
  World.m_Watch.onReply(World.reply(9, Changed), 7, World.m_Now);
  const auto Commands = World.m_Watch.takeCommands();
  REQUIRE(Commands.size() == 1);
  CHECK(std::get<std::vector<StoreRecord>>(Commands[0]) == Changed);
  REQUIRE(World.m_Watch.nextWakeUp().has_value());
  World.m_Now = *World.m_Watch.nextWakeUp();
  World.m_Watch.onTick(World.m_Now);
  const auto Second = World.takeCall();
  REQUIRE(Second.has_value());
  CHECK(Second->m_After == 9);
}

TEST_CASE("a prefix watch continues after a compaction from what is held") {
  Fixture World;
  World.m_Watch.setActive(true, 7, World.m_Now);
  World.takeCall();
  World.m_Watch.onReply(World.reply(0, {}, StoreOutcome::HistoryCompacted), 20,
                        World.m_Now);
  World.m_Watch.onTick(World.m_Now + PrefixWatchInterval);
  const auto Next = World.takeCall();
  REQUIRE(Next.has_value());
  CHECK(Next->m_After == 20);
}

TEST_CASE("a prefix watch backs off while its calls fail") {
  Fixture World;
  World.m_Watch.setActive(true, 7, World.m_Now);
  World.takeCall();
  Duration Last{0};
  for (int Count = 0; Count < 12; ++Count) {
    World.m_Watch.onReply(World.reply(0, {}, StoreOutcome::Failed), 7,
                          World.m_Now);
    REQUIRE(World.m_Watch.nextWakeUp().has_value());
    Last = *World.m_Watch.nextWakeUp() - World.m_Now;
    CHECK(Last <= MaxRetryDelay);
    World.m_Now += Last;
    World.m_Watch.onTick(World.m_Now);
    CHECK(World.takeCall().has_value());
  }
  CHECK(Last >= MaxRetryDelay / 2);
}

TEST_CASE("an ended prefix watch abandons its call and ignores late replies") {
  Fixture World;
  World.m_Watch.setActive(true, 7, World.m_Now);
  World.takeCall();
  World.m_Watch.setActive(false, 7, World.m_Now);
  const auto Commands = World.m_Watch.takeCommands();
  REQUIRE(Commands.size() == 1);
  CHECK(std::holds_alternative<AbandonCall>(Commands[0]));
  World.m_Watch.onReply(World.reply(9, {{"servers/i-1", 9, nullptr}}), 7,
                        World.m_Now);
  CHECK(World.m_Watch.takeCommands().empty());
  CHECK_FALSE(World.m_Watch.nextWakeUp().has_value());
}
