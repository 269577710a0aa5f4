/// \file
/// Keeps a copy of a shared store current: reads it whole once, then watches
/// for changes.
#ifndef DANDELIONFALL_CORE_STORE_READER_H
#define DANDELIONFALL_CORE_STORE_READER_H

#include "dandelionfall/core/event.h"
#include "dandelionfall/core/published.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace dandelionfall::core {

/// Asks for the next page of all records.
struct ListRecords {
  std::uint64_t m_Call = 0;
  /// Key after which the page begins; empty for the first one.
  std::string m_After;
  /// Time after which the driver gives the call up.
  Duration m_Timeout{0};
  friend bool operator==(const ListRecords &, const ListRecords &) = default;
};

/// Asks for the changes after a revision, waiting until there is one.
struct WatchRecords {
  std::uint64_t m_Call = 0;
  Revision m_After = 0;
  /// How long the store may wait for a change.
  Duration m_Wait{0};
  Duration m_Timeout{0};
  friend bool operator==(const WatchRecords &, const WatchRecords &) = default;
};

/// How a call of the store ended.
enum class StoreOutcome : std::uint8_t {
  Answered,
  HistoryCompacted, ///< The changes after the revision are no longer kept.
  Failed,           ///< Refused, broken off, timed out or unreadable.
};

/// Reply to either call.
struct StoreReply {
  std::uint64_t m_Call = 0;
  StoreOutcome m_Outcome = StoreOutcome::Failed;
  std::vector<StoreRecord> m_Records;
  /// The store's revision when it answered.
  Revision m_AsOf = 0;
  /// Further pages follow.
  bool m_HasMore = false;
  /// Why the call failed.
  std::string m_Fault;
};

/// The store's records were read whole, as of a revision.
struct RecordsRead {
  std::vector<StoreRecord> m_Records;
  Revision m_AsOf = 0;
};

/// Records changed since the last report.
struct RecordsChanged {
  std::vector<StoreRecord> m_Records;
  Revision m_AsOf = 0;
};

/// The store no longer answers, or answers again.
struct StoreReachability {
  bool m_Reachable = false;
};

/// What a reader asks of its driver, in order.
using StoreReaderCommand =
    std::variant<ListRecords, WatchRecords, RecordsRead, RecordsChanged,
                 StoreReachability, Event>;

/// Decision logic of a store's reader. Not safe for use by several threads at
/// once.
class StoreReader {
public:
  /// \param Seed seed of the jitter between calls.
  explicit StoreReader(std::uint64_t Seed) : m_Random(Seed) {}

  /// Begins to read.
  void start(TimePoint Now);
  /// Takes the reply to the call that is under way; others are ignored.
  void onReply(StoreReply Reply, TimePoint Now);
  /// Takes over records that a peer read as of a later revision than this
  /// reader's own; the next watch goes on from there.
  void onPeerRecords(Revision AsOf, TimePoint Now);
  /// Does what is due.
  void onTick(TimePoint Now);
  /// \returns when `onTick` is next needed, if at all.
  std::optional<TimePoint> nextWakeUp() const { return m_CallAt; }
  /// \returns whether the last call was answered.
  bool isReachable() const { return m_Reachable; }
  /// \returns calls made since the start.
  std::uint64_t calls() const { return m_LastCall; }
  /// Takes the commands collected since the last call.
  std::vector<StoreReaderCommand> takeCommands();

private:
  void call(TimePoint Now);
  void onPage(StoreReply Reply, TimePoint Now);
  void onChanges(StoreReply Reply, TimePoint Now);
  void onFailure(const StoreReply &Reply, TimePoint Now);
  void setReachable(bool Reachable, const std::string &Cause);

  std::mt19937_64 m_Random;
  std::vector<StoreReaderCommand> m_Commands;
  /// The last call that was made; replies to earlier ones are ignored.
  std::uint64_t m_LastCall = 0;
  /// Whether that call has no reply yet.
  bool m_CallPending = false;
  /// When the next call is made; none while one is under way.
  std::optional<TimePoint> m_CallAt;
  /// Whether all records were read and changes are watched.
  bool m_Watching = false;
  /// Revision up to which changes are known.
  Revision m_KnownRevision = 0;
  /// Pages of a reading that is not whole yet.
  std::vector<StoreRecord> m_ListedRecords;
  std::string m_NextPageAfter;
  /// Revision of the first page; changes since then are watched for, since
  /// pages are no snapshot.
  Revision m_FirstPageAsOf = 0;
  unsigned m_Failures = 0;
  bool m_Reachable = true;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_STORE_READER_H
