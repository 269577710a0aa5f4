/// \file
/// A reader of a shared store that has listed all records.
#ifndef DANDELIONFALL_TESTS_UNIT_STORE_READER_FIXTURE_H
#define DANDELIONFALL_TESTS_UNIT_STORE_READER_FIXTURE_H

#include "dandelionfall/core/store_reader.h"

#include <chrono>
#include <utility>
#include <variant>
#include <vector>

namespace dandelionfall::test {

using namespace core;

constexpr TimePoint Start{std::chrono::seconds(100)};

template <typename Command, typename Variant>
std::vector<Command> select(const std::vector<Variant> &Commands) {
  std::vector<Command> Result;
  for (const Variant &Each : Commands) {
    if (const auto *Found = std::get_if<Command>(&Each))
      Result.push_back(*Found);
  }
  return Result;
}

/// A reader that has listed all records as of revision 7 and watches.
struct ReaderFixture {
  ReaderFixture() {
    m_Reader.start(m_Now);
    reply(7);
  }

  void reply(Revision AsOf, StoreOutcome Outcome = StoreOutcome::Answered) {
    StoreReply Reply;
    Reply.m_Call = m_Reader.calls();
    Reply.m_Outcome = Outcome;
    Reply.m_AsOf = AsOf;
    m_Reader.onReply(std::move(Reply), m_Now);
  }

  void replyWith(std::vector<StoreRecord> Records, Revision AsOf) {
    StoreReply Reply;
    Reply.m_Call = m_Reader.calls();
    Reply.m_Outcome = StoreOutcome::Answered;
    Reply.m_Records = std::move(Records);
    Reply.m_AsOf = AsOf;
    m_Reader.onReply(std::move(Reply), m_Now);
  }

  std::vector<WatchRecords> takeWatches() {
    return select<WatchRecords>(m_Reader.takeCommands());
  }

  void follow() {
    m_Reader.setMode(WatchMode::Following, m_Now);
    reply(7);
  }

  TimePoint m_Now = Start;
  StoreReader m_Reader{1};
};

} // namespace dandelionfall::test

#endif // DANDELIONFALL_TESTS_UNIT_STORE_READER_FIXTURE_H
