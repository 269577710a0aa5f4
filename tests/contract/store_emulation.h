// A store of a fleet in virtual time, and its records.
#ifndef DANDELIONFALL_TESTS_CONTRACT_STORE_EMULATION_H
#define DANDELIONFALL_TESTS_CONTRACT_STORE_EMULATION_H

#include "dandelionfall/core/registry.h"
#include "dandelionfall/core/store_reader.h"

#include <string>
#include <vector>

namespace dandelionfall::test {

using core::Duration;
using core::Revision;
using core::TimePoint;

/// Decodes the fleet's records: `SERVICE ADDRESS ZONE STATE` for a target, and
/// a version number for the configuration.
class FleetDecoder : public core::RecordDecoder {
public:
  core::DecodedRecord decode(const core::StoreRecord &Record) const override;
  /// \returns the number of configurations decoded so far.
  std::size_t configurations() const { return m_Configurations; }

private:
  mutable std::size_t m_Configurations = 0;
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
  Duration staleness() const { return m_Staleness; }

private:
  struct Change {
    core::StoreRecord m_Record;
    TimePoint m_At;
  };
  Duration m_Staleness;
  std::vector<Change> m_Log;
};

} // namespace dandelionfall::test

#endif // DANDELIONFALL_TESTS_CONTRACT_STORE_EMULATION_H
