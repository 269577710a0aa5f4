// A store of a fleet in virtual time, and its records.
#ifndef DANDELIONFALL_TESTS_CONTRACT_STORE_EMULATION_H
#define DANDELIONFALL_TESTS_CONTRACT_STORE_EMULATION_H

#include "dandelionfall/core/registry.h"
#include "dandelionfall/core/store_reader.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dandelionfall::test {

using core::Duration;
using core::Revision;
using core::StoreRecord;
using core::TimePoint;

/// Decodes the fleet's records: `SERVICE ADDRESS ZONE STATE BORN SEQ` for a
/// target, a version number for the configuration, and `zone/NAME` with the
/// name of an availability zone taken out.
class FleetDecoder : public core::RecordDecoder {
public:
  core::DecodedRecord decode(const core::StoreRecord &Record) const override;
  /// \returns the number of configurations decoded so far.
  std::size_t configurations() const { return m_Configurations; }

private:
  mutable std::size_t m_Configurations = 0;
};

/// What a store returns for a watch beyond its newest revision.
enum class WatchBeyond : std::uint8_t {
  Compacted, ///< The history is no longer available.
  Waits,     ///< Waits for a revision that is higher still.
  Nothing,   ///< Returns nothing, at once.
};

/// The copy from which a store comes back.
struct RestoredCopy {
  /// Age of the copy.
  Duration m_Age{0};
  /// Changes that the copy lacks besides those after its age.
  std::size_t m_LostRevisions = 0;
  /// Whether revisions are counted from 1 again.
  bool m_CountsAnew = false;
  /// Whether the changes before the copy can be watched.
  bool m_KeepsHistory = true;
  WatchBeyond m_Beyond = WatchBeyond::Compacted;
  /// Time after the return for which listings are empty.
  Duration m_EmptyFor{0};
  /// Whether watches stay open during the return, and are answered later.
  bool m_KeepsWatches = false;
};

/// A store whose serializable calls see an old state.
class FleetStore {
public:
  explicit FleetStore(Duration Staleness) : m_Staleness(Staleness) {}

  /// Writes a record. \returns its revision.
  Revision put(const std::string &Key, const std::string &Value, TimePoint Now);
  /// Removes a record. \returns the revision of the removal.
  Revision remove(const std::string &Key, TimePoint Now);
  /// \returns the revision that calls of a consistency see.
  Revision visible(core::ReadConsistency Consistency, TimePoint Now) const;
  core::StoreReply list(const core::ListRecords &Call, TimePoint Now) const;
  core::StoreReply changes(const core::WatchRecords &Call, TimePoint Now) const;
  /// \returns whether a watch is answered before its wait is over.
  bool isDue(const core::WatchRecords &Call, TimePoint Now) const;
  Duration staleness() const { return m_Staleness; }
  /// States the era in all replies.
  void stateEra() { m_Era = 1; }
  /// Returns listings in pages.
  /// \param Records records of a page; 0 for one page.
  void setPageSize(std::size_t Records) { m_PageRecords = Records; }
  /// Goes back to an earlier state.
  /// \param TakenAt moment from which the age of the copy counts.
  void restore(const RestoredCopy &Copy, TimePoint TakenAt, TimePoint Now);
  /// \returns the value of a record; null if there is none.
  std::shared_ptr<const std::string> value(const std::string &Key) const;

private:
  Revision newest() const {
    return m_Log.empty() ? 0 : m_Log.back().m_Record.m_Revision;
  }
  std::map<std::string, StoreRecord> newestRecords() const;

  struct Change {
    StoreRecord m_Record;
    TimePoint m_At;
  };
  Duration m_Staleness;
  std::vector<Change> m_Log;
  /// Changes up to this revision can't be watched.
  Revision m_CompactedUpTo = 0;
  WatchBeyond m_Beyond = WatchBeyond::Waits;
  TimePoint m_LoadedAt;
  std::optional<std::uint64_t> m_Era;
  std::size_t m_PageRecords = 0;
};

} // namespace dandelionfall::test

#endif // DANDELIONFALL_TESTS_CONTRACT_STORE_EMULATION_H
