/// \file
/// Distribution of published state to this node and on to its neighbours.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_H
#define DANDELIONFALL_CORE_DISTRIBUTION_H

#include "dandelionfall/core/control_message.h"
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

/// What is asked of the platform's configuration service.
enum class SourceRequestKind : std::uint8_t {
  ReadManifest,  ///< The manifest as it is now.
  WatchManifest, ///< The manifest once its version is above a given one.
  ReadPart,      ///< One part.
  ReadHosts,     ///< The list of live and leaving hosts.
};

/// Sends one call to the platform's configuration service; counts against the
/// budget.
struct CallSource {
  std::uint64_t m_Id = 0;
  SourceRequestKind m_Kind = SourceRequestKind::ReadManifest;
  /// For a watch: the version that the caller knows.
  Version m_After = 0;
  /// For a part: its name.
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

/// Opens a control link; the driver reports `onLinkOpened` or `onLinkClosed`
/// with the same number.
struct OpenControlLink {
  LinkId m_Link = 0;
  std::string m_Address;
  friend bool operator==(const OpenControlLink &,
                         const OpenControlLink &) = default;
};

/// Closes a control link.
struct CloseControlLink {
  LinkId m_Link = 0;
  friend bool operator==(const CloseControlLink &,
                         const CloseControlLink &) = default;
};

/// Sends a message on a control link.
struct SendControl {
  LinkId m_Link = 0;
  ControlMessage m_Message;
};

/// Puts a version in force; always higher than every one before.
struct ApplyConfiguration {
  ConfigurationPtr m_Configuration;
};

/// Puts a newer list of hosts in use.
struct ApplyHostList {
  HostListPtr m_List;
};

/// The node has the highest version that its peers hold and may serve.
struct BecomeReady {
  friend bool operator==(const BecomeReady &, const BecomeReady &) = default;
};

/// What the distribution asks its driver to do, in order.
using DistributionCommand =
    std::variant<CallSource, OpenControlLink, CloseControlLink, SendControl,
                 ApplyConfiguration, ApplyHostList, BecomeReady, Event>;

/// What the distribution is told about its node.
struct DistributionOptions {
  std::string m_Host;
  std::string m_Zone;
  std::string m_LinkAddress;
  Incarnation m_Incarnation;
  std::uint64_t m_Seed = 0;
  /// Calls a second that all nodes together may make to the platform's
  /// configuration service.
  double m_SourceBudget = 2000;
  /// Hosts assumed until a host list is known.
  std::uint32_t m_AssumedHosts = 1;
  /// Link addresses of some other nodes; any of them may be gone.
  std::vector<std::string> m_Seeds;
  /// Other nodes that must hold a version before it is applied.
  std::uint32_t m_Holders = 2;
};

/// State of the distribution for status pages.
struct DistributionStatus {
  VersionStamp m_Held;
  VersionStamp m_Applied;
  VersionStamp m_HostList;
  bool m_Ready = false;
  bool m_Reader = false;
  std::uint32_t m_Links = 0;
  std::uint32_t m_ListedHosts = 0;
  std::uint64_t m_SourceCalls = 0;
};

/// Decision logic of configuration distribution. Not safe for use by several
/// threads at once.
class Distribution {
public:
  /// \param Options the node's own identity and limits.
  explicit Distribution(DistributionOptions Options);
  ~Distribution();
  Distribution(const Distribution &) = delete;
  Distribution &operator=(const Distribution &) = delete;

  /// Starts; must be called once, before all else.
  void start(TimePoint Now);
  /// Notes a link that can carry messages.
  /// \param Link its number; for inbound links a new one.
  /// \param Inbound whether the peer opened it.
  /// \param Now the time.
  void onLinkOpened(LinkId Link, bool Inbound, TimePoint Now);
  /// Notes that a link broke or could not be opened.
  void onLinkClosed(LinkId Link, TimePoint Now);
  /// Takes a peer's message.
  void onMessage(LinkId Link, const ControlMessage &Message, TimePoint Now);
  /// Takes a reply of the platform's configuration service.
  void onSourceReply(const SourceReply &Reply, TimePoint Now);
  /// Notes that traffic showed a newer version at another node.
  void onNewerVersionSeen(Version Seen, const std::string &Address,
                          TimePoint Now);
  /// Tells all peers that the node leaves.
  void startDrain(TimePoint Now);
  /// Does what is due.
  void onTick(TimePoint Now);
  /// \returns when `onTick` is next needed, if at all.
  std::optional<TimePoint> nextWakeUp() const;
  /// \returns the state for status pages.
  DistributionStatus status() const;
  /// Takes the commands collected since the last call.
  std::vector<DistributionCommand> takeCommands();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_H
