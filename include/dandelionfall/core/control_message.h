/// \file
/// Messages on the control links between nodes.
#ifndef DANDELIONFALL_CORE_CONTROL_MESSAGE_H
#define DANDELIONFALL_CORE_CONTROL_MESSAGE_H

#include "dandelionfall/core/configuration_reader.h"
#include "dandelionfall/core/identity.h"
#include "dandelionfall/core/published.h"
#include "dandelionfall/core/time.h"
#include "dandelionfall/core/value_patch.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelionfall::core {

/// Name of the part that carries a manifest in a `SnapshotChunk`.
inline constexpr const char *SharedManifestName = "manifest";

/// Kind of published state. Each stream has its own version numbers.
enum class Stream : std::uint8_t {
  Configuration, ///< Availability zones, profiles, services.
  Hosts,         ///< The platform's list of live and leaving hosts; it lags.
};

/// First message that each side sends on a control link.
struct ControlHello {
  std::string m_Host;
  std::string m_Zone;
  Incarnation m_Incarnation;
  /// Address at which the sender accepts links.
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

/// Requests the changes from the sender's version to the receiver's newest one.
struct Pull {
  Stream m_Stream = Stream::Configuration;
  VersionStamp m_Have;
  friend bool operator==(const Pull &, const Pull &) = default;
};

/// The change from one version to a later one.
struct ChangeRecord {
  VersionStamp m_Base;
  VersionStamp m_Stamp;
  /// Added and changed parts.
  std::vector<PartPtr> m_Changed;
  /// Names of the removed parts.
  std::vector<std::string> m_Removed;
};

/// Change records, ascending by version.
struct ChangeRecords {
  Stream m_Stream = Stream::Configuration;
  std::vector<ChangeRecord> m_Records;
};

/// A piece of a complete version, for receivers that are too far behind for
/// change records.
///
/// With a count of 0 it carries parts that the sender has collected of a
/// version that possibly no node holds completely yet; the part named
/// `SharedManifestName` is the manifest of that version.
struct SnapshotChunk {
  Stream m_Stream = Stream::Configuration;
  VersionStamp m_Stamp;
  std::uint32_t m_Index = 0;
  std::uint32_t m_Count = 0;
  std::vector<PartPtr> m_Parts;
};

/// The sender holds a complete and verified version.
struct HeldAck {
  Stream m_Stream = Stream::Configuration;
  VersionStamp m_Held;
  friend bool operator==(const HeldAck &, const HeldAck &) = default;
};

/// Value of a heartbeat's durations if no call is known.
inline constexpr Duration NeverCalled = Duration::max();

/// Periodic liveness message with the sender's versions.
struct Heartbeat {
  std::uint64_t m_Sequence = 0;
  VersionStamp m_Held;
  VersionStamp m_Applied;
  VersionStamp m_HostList;
  /// Time since the last call to the source by any reader that the sender knows
  /// of, directly or through other nodes; `NeverCalled` if none is known.
  Duration m_SourceCalledAgo = NeverCalled;
  /// The same for calls that the source answered successfully.
  Duration m_SourceAnsweredAgo = NeverCalled;
  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// The sender is leaving; the receiver should replace the link now.
struct ControlGoAway {
  friend bool operator==(const ControlGoAway &,
                         const ControlGoAway &) = default;
};

/// Requests the records of a shared store that are newer than the sender's
/// revision.
struct RecordsPull {
  Revision m_Have = 0;
  /// Version of the configuration that the sender has in force; a higher one is
  /// sent although the store may have lost it.
  Version m_InForce = ~Version{0};
  friend bool operator==(const RecordsPull &, const RecordsPull &) = default;
};

/// A target that has left, and what its last entry said.
struct TargetDeparture {
  std::string m_Key;
  std::int64_t m_StartedAtMs = 0;
  std::uint64_t m_Sequence = 0;
  /// Revision as of which it had left.
  Revision m_LeftAsOf = 0;
  friend bool operator==(const TargetDeparture &,
                         const TargetDeparture &) = default;
};

/// Records of a shared store at a revision.
struct RecordsPush {
  Revision m_AsOf = 0;
  /// True if this is every record of the store; false if only those that
  /// changed since the requested revision.
  bool m_IsFull = false;
  std::vector<StoreRecord> m_Records;
  /// Configuration that the sender has in force, if it is not among the records
  /// and the store has lost it, or the receiver has a lower version.
  std::optional<StoreRecord> m_Retained = std::nullopt;
  /// Targets that left lately: the store may come back from a copy that has
  /// them.
  std::vector<TargetDeparture> m_Departures = {};
};

/// Revisions of large records, by key.
using LargeRevisions =
    std::map<std::string, std::vector<Revision>, std::less<>>;

/// Asks the receiver to send a `RevisionNotice` now, on each later revision and
/// at regular intervals. Repeated while the sender follows; a receiver that has
/// not seen it for a while stops sending.
struct FollowRevisions {
  /// Revision up to which the sender holds all records; 0 if it holds none.
  Revision m_Held = 0;
  /// Whether the receiver should send patches of large records, too. A follower
  /// of several nodes lets one of them send these.
  bool m_WantsPatches = true;
  /// Version of the configuration that the sender has in force and the store
  /// has lost; 0 if there is none.
  Version m_Retained = 0;
  /// Values that the sender holds of large records, or the revision at which
  /// such a record became small or was removed. A patch of one of these records
  /// fits only if it is made from such a value, and is newer than all of them.
  LargeRevisions m_Bases = {};
  /// Notices with patches that the sender has received on this link; the next
  /// patches are sent once it has received all earlier ones. Empty if it does
  /// not count them.
  std::optional<std::uint64_t> m_ReceivedPatches = std::nullopt;
  friend bool operator==(const FollowRevisions &,
                         const FollowRevisions &) = default;
};

/// A large value of a shared store, as the difference from an older revision.
struct RecordPatch {
  std::string m_Key;
  Revision m_Revision = 0;
  /// Revision of the older value; 0 if the patch needs none.
  Revision m_Base = 0;
  ValuePatch m_Patch;
  friend bool operator==(const RecordPatch &, const RecordPatch &) = default;
};

/// Changes of a shared store that a follower lacks.
struct RecordChanges {
  /// Small records, in any order. They can be newer than the sender's revision.
  std::vector<StoreRecord> m_Records;
  /// Large records, from older values that the receiver probably has.
  std::vector<RecordPatch> m_Patches;
  /// Revisions of all large records that the sender holds, by key.
  std::map<std::string, Revision, std::less<>> m_Large;
  /// Whether the receiver has been sent all small records up to the sender's
  /// revision. It then holds that revision if it holds all of `m_Large`.
  bool m_IsComplete = false;
  friend bool operator==(const RecordChanges &,
                         const RecordChanges &) = default;
};

/// Newest revision of a shared store, as far as the sender was notified.
struct RevisionNotice {
  Revision m_Revision = 0;
  /// Revision up to which the sender itself holds all records.
  Revision m_Held = 0;
  /// Time since the store last confirmed the revision, by a linearizable call
  /// of the sender or of a node that it follows; `NeverCalled` if it did not.
  Duration m_ConfirmedAgo = NeverCalled;
  /// Whether the sender ends this feed; the receiver should follow another
  /// node.
  bool m_Refused = false;
  /// What changed since the last notice.
  RecordChanges m_Changes;
  /// Version of the configuration that the sender has in force and the store
  /// has lost; 0 if there is none. Sent in reply to a `RecordsPull`.
  Version m_Retained = 0;
  /// Upper bound of the time since `m_Revision` was proved to be the newest
  /// one; `NeverCalled` if it was not.
  Duration m_ProvedAgo = NeverCalled;
  /// The latest `FreshnessProbe` of the receiver; it was received before the
  /// notice was sent.
  std::optional<std::int64_t> m_Probe = std::nullopt;
  friend bool operator==(const RevisionNotice &,
                         const RevisionNotice &) = default;
};

/// Lets a follower bound the age of the next notices: they repeat its number,
/// so they were sent after it.
struct FreshnessProbe {
  /// Meaningful only to the sender.
  std::int64_t m_Number = 0;
  friend bool operator==(const FreshnessProbe &,
                         const FreshnessProbe &) = default;
};

/// Any message on a control link.
using ControlMessage =
    std::variant<ControlHello, Announce, Pull, ChangeRecords, SnapshotChunk,
                 HeldAck, Heartbeat, ControlGoAway, RecordsPull, RecordsPush,
                 FollowRevisions, RevisionNotice, FreshnessProbe>;

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_CONTROL_MESSAGE_H
