/// \file
/// Replicates published state to this node and from it to its neighbours.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_H
#define DANDELIONFALL_CORE_DISTRIBUTION_H

#include "dandelionfall/core/control_link.h"
#include "dandelionfall/core/event.h"
#include "dandelionfall/core/host_list.h"
#include "dandelionfall/core/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelionfall::core {

/// Kind of a request to the platform's configuration service.
enum class SourceRequestKind : std::uint8_t {
  ReadManifest,  ///< Read the current manifest.
  WatchManifest, ///< Wait for a manifest newer than a given version.
  ReadPart,      ///< Read one part.
  ReadHosts,     ///< Read the list of live and leaving hosts.
};

/// Sends one call to the platform's configuration service. Each call counts
/// against `DistributionOptions::m_SourceBudget`.
struct CallSource {
  std::uint64_t m_Id = 0;
  SourceRequestKind m_Kind = SourceRequestKind::ReadManifest;
  /// For a watch: the version that the node already has.
  Version m_After = 0;
  /// For `ReadPart`: the name of the part.
  std::string m_PartName;
  friend bool operator==(const CallSource &, const CallSource &) = default;
};

/// Reply of the platform's configuration service.
struct SourceReply {
  std::uint64_t m_Id = 0;
  /// False if the service could not be reached, answered with an error or timed
  /// out.
  bool m_Ok = false;
  /// False for a watch that ended without a newer version.
  bool m_Changed = true;
  std::string m_Text;
};

/// Applies a version. Versions are strictly ascending across these commands.
struct ApplyConfiguration {
  ConfigurationPtr m_Configuration;
};

/// Applies a newer list of hosts.
struct ApplyHostList {
  HostListPtr m_List;
};

/// The node has applied the highest version that its peers reported and can
/// serve.
struct BecomeReady {
  friend bool operator==(const BecomeReady &, const BecomeReady &) = default;
};

/// A command to the driver, which executes commands in the order given.
using DistributionCommand =
    std::variant<CallSource, OpenControlLink, CloseControlLink, SendControl,
                 ApplyConfiguration, ApplyHostList, BecomeReady, Event>;

/// Identity, settings and limits of the node.
struct DistributionOptions {
  std::string m_Host;
  std::string m_Zone;
  std::string m_LinkAddress;
  Incarnation m_Incarnation;
  std::uint64_t m_Seed = 0;
  /// Calls per second that all nodes together may make to the platform's
  /// configuration service.
  double m_SourceBudget = 2000;
  /// Number of hosts assumed until a host list is known.
  std::uint32_t m_AssumedHosts = 1;
  /// Link addresses of some other nodes; any of them may no longer exist.
  std::vector<std::string> m_Seeds;
  /// Number of other nodes that must hold a version before it is applied.
  std::uint32_t m_Holders = 2;
};

/// Snapshot of the distribution's state for status pages.
struct DistributionStatus {
  VersionStamp m_Held;
  VersionStamp m_Applied;
  VersionStamp m_HostList;
  bool m_Ready = false;
  bool m_Reader = false;
  std::uint32_t m_Links = 0;
  std::uint32_t m_ListedHosts = 0;
  std::uint64_t m_SourceCalls = 0;
  /// How a shared store is watched; empty with another source.
  std::string m_WatchMode;
  /// Number of nodes that follow this one.
  std::uint32_t m_Followers = 0;
  /// Version of the operators' configuration in force; 0 before the first.
  Version m_ConfigurationVersion = 0;
  /// Number of the shared store's history; the held version counts in it.
  std::uint32_t m_StoreHistory = 0;
  /// Time since a shared store confirmed the state in force, to this node or
  /// one that it follows.
  std::optional<Duration> m_ConfirmedAgo;
  /// Age of the last proof that the configuration was the newest one, if there
  /// was any.
  std::optional<Duration> m_ProofAge;
};

/// Decision logic of configuration distribution. It does no I/O: inputs arrive
/// through its methods, and the driver executes the commands from
/// `takeCommands`. Not thread-safe.
class Distribution {
public:
  /// \param Options the node's identity, settings and limits.
  explicit Distribution(DistributionOptions Options);
  ~Distribution();
  Distribution(const Distribution &) = delete;
  Distribution &operator=(const Distribution &) = delete;

  /// Starts the logic; must be called once, before any other method.
  void start(TimePoint Now);
  /// Handles a link that can now carry messages.
  /// \param Link the link's number; for an inbound link, one not used before.
  /// \param Inbound whether the peer opened the link.
  /// \param Now the current time.
  void onLinkOpened(LinkId Link, bool Inbound, TimePoint Now);
  /// Handles a link that broke or could not be opened.
  void onLinkClosed(LinkId Link, TimePoint Now);
  /// Handles a message from a peer.
  void onMessage(LinkId Link, const ControlMessage &Message, TimePoint Now);
  /// Handles a reply of the platform's configuration service.
  void onSourceReply(const SourceReply &Reply, TimePoint Now);
  /// Handles the observation, made on a traffic link, that another node has a
  /// newer version.
  /// \param Seen the version of the other node.
  /// \param Address the other node's link address.
  /// \param Now the current time.
  void onNewerVersionSeen(Version Seen, const std::string &Address,
                          TimePoint Now);
  /// Notifies all peers that this node is leaving.
  void startDrain(TimePoint Now);
  /// Performs all actions that are due.
  void onTick(TimePoint Now);
  /// \returns when `onTick` must be called next; nothing if no timer is set.
  std::optional<TimePoint> nextWakeUp() const;
  /// \returns a snapshot of the state for status pages.
  DistributionStatus status() const;
  /// Removes and returns the commands collected since the last call.
  std::vector<DistributionCommand> takeCommands();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_H
