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

/// All streams, for iteration.
inline constexpr std::array<Stream, StreamCount> AllStreams = {
    Stream::Configuration, Stream::Hosts};

/// Index of a stream in arrays.
constexpr std::size_t indexOf(Stream Value) {
  return static_cast<std::size_t>(Value);
}

/// Stage of establishing a control link.
enum class LinkState : std::uint8_t {
  Opening, ///< Requested from the driver, not open yet.
  Open,    ///< Open; the peer's hello has not arrived.
  Up,      ///< The peer's hello has arrived.
};

/// State of one stream at a peer, as known here.
struct PeerStream {
  /// Version that the peer reported last as held.
  VersionStamp m_Held;
  /// When the peer first reported it.
  TimePoint m_HeldSince;
  /// Version that this node last announced to the peer.
  VersionStamp m_Announced;
  /// No pull is sent to the peer before this time.
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
  TimePoint m_LastReceived;
  TimePoint m_NextHeartbeat;
  bool m_Leaving = false;
  /// Whether the collected parts of a shared assembly were sent to the peer.
  bool m_AssemblySent = false;
  std::array<PeerStream, StreamCount> m_Streams;

  /// \returns whether the link is up and the peer is not leaving.
  bool isUsable() const { return m_State == LinkState::Up && !m_Leaving; }
};

/// A stream's newest version on this node.
struct HeldStream {
  PartSetPtr m_Parts = std::make_shared<const PartSet>();
  ChangeLog m_Log;
  /// Numbers and digests of refused versions, so that each is reported once.
  std::set<std::pair<Version, Digest>> m_Refused;

  bool isRefused(const VersionStamp &Stamp) const {
    return m_Refused.contains({Stamp.m_Version, Stamp.m_Digest});
  }
};

/// A version that is being assembled from parts read from the source or
/// received from peers.
struct Assembly {
  Manifest m_Manifest;
  /// The text of the manifest as published.
  std::string m_ManifestText;
  PartMap m_Parts;
  /// Names of listed parts that are not yet held with the listed digest.
  std::set<std::string> m_Missing;
  /// Whether all nodes read some of the parts and forward them to each other.
  bool m_Shared = false;
  /// Shared parts that have not been forwarded yet, each with the link that it
  /// came from (0 for the source).
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
  /// Hosts that neighbours are chosen from: those of the host list, or those of
  /// the configuration's targets while there is no list.
  HostListPtr m_Candidates = std::make_shared<const HostList>();
  bool m_HasOtherZones = false;
  std::optional<Assembly> m_Assembly;

  std::map<LinkId, ControlLink> m_Links;
  /// Whether all peers known at the start have been queried for the version
  /// that they hold, or the time for this has run out.
  bool m_PeersQueried = false;
  /// Highest version that a peer's hello reported before this node was ready.
  /// The node is not ready with an older one.
  Version m_MinReadyVersion = 0;
  bool m_Ready = false;
  bool m_Reader = false;
  bool m_Draining = false;
  /// Address of a node whose traffic showed a newer version. A link to it is
  /// kept until the version is held or `m_NewerVersionUntil` has passed.
  std::string m_NewerVersionAddress;
  TimePoint m_NewerVersionUntil;
  Version m_NewerVersion = 0;

  /// When any known reader last called the source, and when one last got an
  /// answer.
  std::optional<TimePoint> m_LastSourceCall;
  std::optional<TimePoint> m_LastSourceAnswer;
  std::uint64_t m_SourceCalls = 0;

  const PartSet &held(Stream Value) const {
    return *m_Streams[indexOf(Value)].m_Parts;
  }
  VersionStamp appliedStamp() const;
  /// \returns the number of nodes that share the source's budget.
  std::size_t fleetSize() const;

  /// \returns whether a peer holds a version of the stream that is newer than
  /// this node's and not refused.
  bool peerHoldsNewer(Stream Value) const;
  /// \returns the number of links in the state `Up`.
  std::size_t upLinks() const;

  void send(ControlLink &Link, ControlMessage Message);
  void report(EventId Id, std::string Detail);
  /// \returns a random duration from \p Min to \p Max, uniformly distributed.
  Duration jitter(Duration Min, Duration Max);
};

/// One component of the distribution's logic, run after every input.
class Controller {
public:
  virtual ~Controller() = default;
  /// Acts on the current state of the blackboard.
  virtual void run(Blackboard &Board) = 0;
  /// \returns when `run` must be called next if there is no input;
  /// `TimePoint::max()` if no timer is set.
  virtual TimePoint wakeUp(const Blackboard &Board) const = 0;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_BLACKBOARD_H
