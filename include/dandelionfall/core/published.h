/// \file
/// What a shared store publishes: targets that describe themselves, the
/// operators' routes and services, and availability zones taken out.
///
/// The formats of a store are decoded elsewhere into these types.
#ifndef DANDELIONFALL_CORE_PUBLISHED_H
#define DANDELIONFALL_CORE_PUBLISHED_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace dandelionfall::core {

/// Number that a store raises with each change of any value.
using Revision = std::uint64_t;

/// A stored value, or the news that it was removed.
struct StoreRecord {
  std::string m_Key;
  /// Revision of its last change.
  Revision m_Revision = 0;
  /// The value's bytes; null if the value was removed.
  std::shared_ptr<const std::string> m_Value;
};

/// A target as it describes itself.
struct TargetEntry {
  /// Identity of one start of the target.
  std::string m_Instance;
  std::string m_Service;
  /// Where the target listens, `IP:PORT`.
  std::string m_Address;
  std::string m_Zone;
  std::uint32_t m_Slots = 1;
  /// It leaves soon and must get no new work.
  bool m_Draining = false;
  /// How long it stayed cold when the entry was written.
  Duration m_ColdRemaining{0};
  /// Start of the target, in ms since the epoch; 0 if it does not say.
  std::int64_t m_StartedAtMs = 0;
  friend bool operator==(const TargetEntry &, const TargetEntry &) = default;
};

/// A service as operators publish it, without its targets.
struct PublishedService {
  std::string m_Name;
  std::uint32_t m_MaxConnections = 1;
  /// Time that a target is cold after its start.
  Duration m_ColdStart{0};
  /// Requests a second that a cold target bears; 0 means no bound.
  double m_ColdPerSecond = 0;
  friend bool operator==(const PublishedService &,
                         const PublishedService &) = default;
};

/// One version of the operators' configuration, whole.
struct PublishedConfiguration {
  Version m_Version = 0;
  std::shared_ptr<const std::vector<Route>> m_Routes;
  std::vector<PublishedService> m_Services;
  /// Bounds on what callers may send.
  CallerLimits m_Limits;
};

/// An availability zone is to get no new work while the record exists.
struct ZoneOutRecord {
  std::string m_Zone;
  friend bool operator==(const ZoneOutRecord &,
                         const ZoneOutRecord &) = default;
};

/// A record that is none of the product's concern.
struct IgnoredRecord {};

/// A record that can't be used.
struct UnreadableRecord {
  std::string m_Fault;
};

/// What a record says.
using DecodedRecord =
    std::variant<IgnoredRecord, UnreadableRecord, TargetEntry,
                 std::shared_ptr<const PublishedConfiguration>, ZoneOutRecord>;

/// Decodes the records of one store; without state.
class RecordDecoder {
public:
  RecordDecoder() = default;
  RecordDecoder(const RecordDecoder &) = delete;
  RecordDecoder &operator=(const RecordDecoder &) = delete;
  virtual ~RecordDecoder() = default;
  /// \param Record a record with a value.
  virtual DecodedRecord decode(const StoreRecord &Record) const = 0;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_PUBLISHED_H
