// Delays between repeated listings of the store.
#include "core/registry/limits.h"
#include "store_reader_fixture.h"

#include <doctest/doctest.h>

using namespace dandelionfall;
using namespace dandelionfall::test;
using core::registry::FedCatchUpDelay;
using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

/// A node that others send all changes.
struct FedReader : ReaderFixture {
  FedReader() {
    follow();
    m_Reader.setMode(core::WatchMode::Fed, m_Now);
    m_Reader.takeCommands();
  }

  /// Asks the store for a revision that others announce and do not send.
  void catchUp(core::Revision Seen) {
    m_Reader.onNewerRevision(Seen, m_Now);
    m_Now += FedCatchUpDelay;
    m_Reader.onTick(m_Now);
    REQUIRE(takeWatches().size() == 1);
  }

  std::size_t listings() {
    return select<core::ListRecords>(m_Reader.takeCommands()).size();
  }
};

} // namespace

TEST_CASE("a node without a watch lists at once if the store lacks the history "
          "now and then") {
  FedReader World;
  for (core::StoreCounter AsOf = 8; AsOf < 13; ++AsOf) {
    CAPTURE(AsOf);
    World.catchUp(AsOf);
    World.reply(AsOf, core::StoreOutcome::HistoryCompacted);
    CHECK(World.listings() == 1);
    World.reply(AsOf);
    World.m_Reader.takeCommands();
    World.m_Now += minutes(1);
  }
}

TEST_CASE("a node without a watch lists at once if the store goes back now and "
          "then") {
  FedReader World;
  for (core::HistoryNumber History = 0; History < 5; ++History) {
    CAPTURE(History);
    World.catchUp(core::makeRevision(History, 8));
    World.reply(6);
    CHECK(World.listings() == 1);
    World.reply(6);
    // The records of the others reach the counter from which this began.
    World.m_Reader.onPeerRecords(core::makeRevision(History + 1, 7),
                                 World.m_Now);
    World.m_Reader.takeCommands();
    World.m_Now += minutes(1);
  }
}

TEST_CASE("repeated listings in a row are delayed") {
  ReaderFixture World;
  World.takeWatches();
  std::size_t Listings = 0;
  const TimePoint End = World.m_Now + milliseconds(3000);
  while (World.m_Now < End) {
    for (const auto &Each : World.m_Reader.takeCommands()) {
      if (std::holds_alternative<core::WatchRecords>(Each)) {
        World.reply(7, core::StoreOutcome::HistoryCompacted);
      } else if (std::holds_alternative<core::ListRecords>(Each)) {
        ++Listings;
        World.reply(7);
      }
    }
    World.m_Now += milliseconds(1);
    World.m_Reader.onTick(World.m_Now);
    if (World.m_Reader.calls() == 2)
      World.reply(7, core::StoreOutcome::HistoryCompacted);
  }
  CHECK(Listings > 3);
  CHECK(Listings < 14);
}
