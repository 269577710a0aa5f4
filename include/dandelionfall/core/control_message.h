/// \file
/// Messages on the control links between nodes.
#ifndef DANDELIONFALL_CORE_CONTROL_MESSAGE_H
#define DANDELIONFALL_CORE_CONTROL_MESSAGE_H

#include "dandelionfall/core/configuration_reader.h"
#include "dandelionfall/core/identity.h"
#include "dandelionfall/core/published.h"
#include "dandelionfall/core/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dandelionfall::core {

/// Name under which a manifest travels among the parts of a `SnapshotChunk`.
inline constexpr const char *SharedManifestName = "manifest";

/// What kind of published state a message is about; each has versions of its
/// own.
enum class Stream : std::uint8_t {
  Configuration, ///< Availability zones, profiles, services.
  Hosts,         ///< The platform's lagging list of live and leaving hosts.
};

/// First message of either side of a control link.
struct ControlHello {
  std::string m_Host;
  std::string m_Zone;
  Incarnation m_Incarnation;
  /// Address at which the sender takes links.
  std::string m_Address;
  VersionStamp m_Held;
  VersionStamp m_Applied;
  VersionStamp m_HostList;
  friend bool operator==(const ControlHello &, const ControlHello &) = default;
};

/// The sender holds a version that the receiver may lack.
struct Announce {
  Stream m_Stream = Stream::Configuration;
  VersionStamp m_Held;
  friend bool operator==(const Announce &, const Announce &) = default;
};

/// Asks for what leads from the receiver's own version to the announced one.
struct Pull {
  Stream m_Stream = Stream::Configuration;
  VersionStamp m_Have;
  friend bool operator==(const Pull &, const Pull &) = default;
};

/// The change from one version to a later one.
struct ChangeRecord {
  VersionStamp m_Base;
  VersionStamp m_Stamp;
  /// Parts that are new or changed.
  std::vector<PartPtr> m_Changed;
  /// Names of the parts that are gone.
  std::vector<std::string> m_Removed;
};

/// Change records in ascending order of version.
struct ChangeRecords {
  Stream m_Stream = Stream::Configuration;
  std::vector<ChangeRecord> m_Records;
};

/// A piece of a whole version, for receivers that are too far behind for
/// records.
///
/// With a count of 0 it holds some parts that the sender has collected of a
/// version that nobody may hold whole yet; the part named
/// `SharedManifestName` is that version's manifest.
struct SnapshotChunk {
  Stream m_Stream = Stream::Configuration;
  VersionStamp m_Stamp;
  std::uint32_t m_Index = 0;
  std::uint32_t m_Count = 0;
  std::vector<PartPtr> m_Parts;
};

/// The sender holds a version, whole and checked.
struct HeldAck {
  Stream m_Stream = Stream::Configuration;
  VersionStamp m_Held;
  friend bool operator==(const HeldAck &, const HeldAck &) = default;
};

/// Stands for "no call is known" in a heartbeat.
inline constexpr Duration NeverCalled = Duration::max();

/// Regular sign of life with the sender's versions.
struct Heartbeat {
  std::uint64_t m_Sequence = 0;
  VersionStamp m_Held;
  VersionStamp m_Applied;
  VersionStamp m_HostList;
  /// Time since any reader that the sender has heard of, directly or through
  /// others, last called the source; `NeverCalled` if none is known.
  Duration m_SourceCalledAgo = NeverCalled;
  /// The same for calls that the source answered.
  Duration m_SourceAnsweredAgo = NeverCalled;
  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// The sender leaves; its links should be replaced now.
struct ControlGoAway {
  friend bool operator==(const ControlGoAway &,
                         const ControlGoAway &) = default;
};

/// Asks a peer for the records of a shared store that are newer than the
/// sender's own.
struct RecordsPull {
  Revision m_Have = 0;
  friend bool operator==(const RecordsPull &, const RecordsPull &) = default;
};

/// Records of a shared store as of a revision.
struct RecordsPush {
  Revision m_AsOf = 0;
  /// All records there are; otherwise those that changed since the revision
  /// that was asked for.
  bool m_IsFull = false;
  std::vector<StoreRecord> m_Records;
};

/// Any message of a control link.
using ControlMessage =
    std::variant<ControlHello, Announce, Pull, ChangeRecords, SnapshotChunk,
                 HeldAck, Heartbeat, ControlGoAway, RecordsPull, RecordsPush>;

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_CONTROL_MESSAGE_H
