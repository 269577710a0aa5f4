/// \file
/// State that the controllers of the distribution share.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_BLACKBOARD_H
#define DANDELIONFALL_CORE_DISTRIBUTION_BLACKBOARD_H

#include "core/distribution/change_log.h"
#include "core/distribution/part_set.h"
#include "dandelionfall/core/distribution.h"
#include "dandelionfall/core/host_list.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dandelionfall::core {

/// Number of streams; a stream's value is its index.
inline constexpr std::size_t StreamCount = 2;

/// Both streams, to loop over.
inline constexpr std::array<Stream, StreamCount> AllStreams = {
    Stream::Configuration, Stream::Hosts};

/// Index of a stream in arrays.
constexpr std::size_t indexOf(Stream Value) {
  return static_cast<std::size_t>(Value);
}

/// How far a control link has come.
enum class LinkState : std::uint8_t {
  Opening, ///< Asked for, not open yet.
  Open,    ///< Open, the peer has not introduced itself.
  Up,      ///< The peer has introduced itself.
};

/// What is known of a peer's copy of one stream.
struct PeerStream {
  /// Highest version that the peer said it holds.
  VersionStamp m_Held;
  /// When it said so first.
  TimePoint m_HeldSince;
  /// What the peer was told last.
  VersionStamp m_Announced;
  /// The peer is not asked before this time.
  TimePoint m_PullNotBefore;
};

/// A control link and the peer at its other end.
struct ControlLink {
  LinkId m_Id = 0;
  bool m_Inbound = false;
  LinkState m_State = LinkState::Opening;
  std::string m_Address;
  std::string m_Host;
  std::string m_Zone;
  Incarnation m_Incarnation;
  TimePoint m_Opened;
  TimePoint m_LastHeard;
  TimePoint m_NextHeartbeat;
  bool m_Leaving = false;
  /// Whether the peer was sent what a shared assembly holds.
  bool m_AssemblySent = false;
  std::array<PeerStream, StreamCount> m_Streams;

  /// Tells whether the peer counts as a neighbour that stays.
  bool isUsable() const { return m_State == LinkState::Up && !m_Leaving; }
};

/// A stream's newest version on this node.
struct HeldStream {
  PartSetPtr m_Parts = std::make_shared<const PartSet>();
  ChangeLog m_Log;
  /// Numbers and digests of versions that were refused, so that each is
  /// reported once.
  std::set<std::pair<Version, Digest>> m_Refused;

  bool isRefused(const VersionStamp &Stamp) const {
    return m_Refused.contains({Stamp.m_Version, Stamp.m_Digest});
  }
};

/// Parts of a version that is read from the source or collected from peers.
struct Assembly {
  Manifest m_Manifest;
  /// The manifest as published.
  std::string m_ManifestText;
  PartMap m_Parts;
  /// Names of listed parts that are not on hand with the listed digest.
  std::set<std::string> m_Missing;
  /// Whether all nodes read parts of it and pass them on.
  bool m_Shared = false;
  /// Shared parts that were not yet passed on; the link is where each came
  /// from, 0 for the source.
  std::vector<std::pair<PartPtr, LinkId>> m_Unsent;
};

/// State that the controllers of the distribution share.
struct Blackboard {
  explicit Blackboard(DistributionOptions Options);

  DistributionOptions m_Options;
  std::mt19937_64 m_Random;
  TimePoint m_Now;
  TimePoint m_Started;
  std::vector<DistributionCommand> m_Commands;

  std::array<HeldStream, StreamCount> m_Streams;
  ConfigurationPtr m_HeldConfiguration;
  ConfigurationPtr m_Applied;
  HostListPtr m_Hosts = std::make_shared<const HostList>();
  /// Hosts that the neighbours are chosen from: the listed ones, or those of
  /// the configuration's targets as long as there is no list.
  HostListPtr m_Candidates = std::make_shared<const HostList>();
  bool m_HasOtherZones = false;
  std::optional<Assembly> m_Assembly;

  std::map<LinkId, ControlLink> m_Links;
  /// Whether the peers known at the start were all asked what they hold.
  bool m_PeersQueried = false;
  /// Highest version that a peer named when it introduced itself before this
  /// node was ready.
  Version m_MinReadyVersion = 0;
  bool m_Ready = false;
  bool m_Reader = false;
  bool m_Draining = false;
  /// A node whose traffic showed a newer version, asked if no neighbour has it.
  std::string m_NewerVersionAddress;
  TimePoint m_NewerVersionUntil;
  Version m_NewerVersion = 0;

  /// When any reader last called the source, and last got an answer.
  std::optional<TimePoint> m_LastSourceCall;
  std::optional<TimePoint> m_LastSourceAnswer;
  std::uint64_t m_SourceCalls = 0;

  const PartSet &held(Stream Value) const {
    return *m_Streams[indexOf(Value)].m_Parts;
  }
  VersionStamp appliedStamp() const;
  /// Number of nodes that share the source's budget.
  std::size_t fleetSize() const;

  /// Tells whether a peer holds a newer version of a stream than this node.
  bool peerHoldsNewer(Stream Value) const;
  /// \returns the number of links whose peer has introduced itself.
  std::size_t upLinks() const;

  void send(ControlLink &Link, ControlMessage Message);
  void report(EventId Id, std::string Detail);
  /// \returns a duration between \p Min and \p Max.
  Duration jitter(Duration Min, Duration Max);
};

/// One part of the distribution's logic, run after every input.
class Controller {
public:
  virtual ~Controller() = default;
  /// Does what the blackboard calls for.
  virtual void run(Blackboard &Board) = 0;
  /// \returns when `run` is needed next without an input; the greatest time
  /// for never.
  virtual TimePoint wakeUp(const Blackboard &Board) const = 0;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_BLACKBOARD_H
