/// \file
/// Contents of a shared store: entries that targets write about themselves, the
/// operators' routes and services, and availability zones taken out of service.
///
/// These types are independent of the store's format; a `RecordDecoder` creates
/// them.
#ifndef DANDELIONFALL_CORE_PUBLISHED_H
#define DANDELIONFALL_CORE_PUBLISHED_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/revision.h"
#include "dandelionfall/core/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace dandelionfall::core {

/// A stored value, or a notice of its removal.
struct StoreRecord {
  std::string m_Key;
  /// Revision of its last change.
  Revision m_Revision = 0;
  /// The value's bytes; null if the value was removed.
  std::shared_ptr<const std::string> m_Value;
  friend bool operator==(const StoreRecord &Left, const StoreRecord &Right) {
    const bool HasValue = Left.m_Value != nullptr;
    return Left.m_Key == Right.m_Key && Left.m_Revision == Right.m_Revision &&
           HasValue == (Right.m_Value != nullptr) &&
           (!HasValue || *Left.m_Value == *Right.m_Value);
  }
};

/// Entry that a target writes about itself.
struct TargetEntry {
  /// Identifies one start of the target.
  std::string m_Instance;
  std::string m_Service;
  /// Where the target listens, `IP:PORT`.
  std::string m_Address;
  std::string m_Zone;
  std::uint32_t m_Slots = 1;
  /// Whether the target is about to stop and must receive no new requests.
  bool m_Draining = false;
  /// Remaining cold time of the target when it wrote the entry.
  Duration m_ColdRemaining{0};
  /// Start of the target, in ms since the Unix epoch; 0 if not given.
  std::int64_t m_StartedAtMs = 0;
  /// Counts what the target wrote since its start; 0 if not given.
  std::uint64_t m_Sequence = 0;
  friend bool operator==(const TargetEntry &, const TargetEntry &) = default;
};

/// A service in the operators' configuration, without its targets.
struct PublishedService {
  std::string m_Name;
  /// Connections that one target accepts from all callers together.
  std::uint32_t m_MaxConnections = 1;
  /// Time for which a target is cold after its start.
  Duration m_ColdStart{0};
  /// Requests per second that a cold target can handle; 0 means no limit.
  double m_ColdRequestsPerSecond = 0;
  friend bool operator==(const PublishedService &,
                         const PublishedService &) = default;
};

/// One complete version of the operators' configuration.
struct PublishedConfiguration {
  Version m_Version = 0;
  std::shared_ptr<const std::vector<Route>> m_Routes;
  std::vector<PublishedService> m_Services;
  /// Limits on requests from callers.
  CallerLimits m_Limits;
  /// Null if callers need no keys.
  std::shared_ptr<const TeamTable> m_Teams;
};

/// Takes an availability zone out of service while the record exists: the zone
/// receives no new requests.
struct ZoneOutRecord {
  std::string m_Zone;
  friend bool operator==(const ZoneOutRecord &,
                         const ZoneOutRecord &) = default;
};

/// A record that this program does not use.
struct IgnoredRecord {};

/// A record that could not be decoded.
struct UnreadableRecord {
  std::string m_Fault;
};

/// Decoded content of a record.
using DecodedRecord =
    std::variant<IgnoredRecord, UnreadableRecord, TargetEntry,
                 std::shared_ptr<const PublishedConfiguration>, ZoneOutRecord>;

/// Decodes the records of one store. Implementations are stateless.
class RecordDecoder {
public:
  RecordDecoder() = default;
  RecordDecoder(const RecordDecoder &) = delete;
  RecordDecoder &operator=(const RecordDecoder &) = delete;
  virtual ~RecordDecoder() = default;
  /// \param Record a record with a value; must not be a removal.
  virtual DecodedRecord decode(const StoreRecord &Record) const = 0;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_PUBLISHED_H
