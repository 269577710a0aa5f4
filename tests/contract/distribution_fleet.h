/// \file
/// Nodes, links and the platform's configuration service in virtual time, for
/// the distribution tests.
#ifndef DANDELIONFALL_TESTS_CONTRACT_DISTRIBUTION_FLEET_H
#define DANDELIONFALL_TESTS_CONTRACT_DISTRIBUTION_FLEET_H

#include "dandelionfall/core/distribution.h"
#include "dandelionfall/core/host_list.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace dandelionfall::test {

using core::Duration;
using core::TimePoint;
using core::Version;

/// \returns the name of an availability zone of the fake fleet.
std::string zoneName(std::size_t Number);

/// The platform's configuration service.
class FakeSource {
public:
  enum class Mode { Working, Down, Stale };

  explicit FakeSource(std::size_t Services);

  /// Publishes the next version, in which one service has changed.
  void publish();
  /// Publishes a next version that is invalid: services refer to a missing
  /// profile.
  void publishFaulty();
  /// Publishes different content under the newest version number.
  void publishConflict();
  /// Sets how calls are answered. A stale service shows the version before the
  /// one that is newest at the time of this call.
  void setMode(Mode Value);
  void setHosts(const core::HostList &List);

  /// \returns the published value, or nothing for a failed call.
  std::optional<std::string> read(const core::CallSource &Call) const;
  Version newest() const { return m_Version; }
  /// \returns the version that calls currently see.
  Version visibleVersion() const;
  /// \returns the canonical manifest digest of each published version.
  const std::map<Version, core::Digest> &digests() const { return m_Digests; }

  /// Number of part reads after which the next version is published, so that it
  /// crosses a read in progress; 0 for never.
  std::size_t m_PublishAfterPartReads = 0;
  /// Whether watches are answered at once with the visible version, even if it
  /// is not newer than the requested one.
  bool m_IgnoresAfter = false;

private:
  struct Content {
    Version m_Version = 0;
    std::map<std::string, std::string, std::less<>> m_Parts;
  };
  /// Gives the newest content the next version number and records the digest
  /// of its manifest.
  void assignVersion();

  Mode m_Mode = Mode::Working;
  Version m_Version = 0;
  Content m_Newest;
  Content m_Previous;
  Content m_Stale;
  std::string m_Hosts;
  std::map<Version, core::Digest> m_Digests;
};

/// Size and settings of a fleet.
struct FleetOptions {
  std::size_t m_Nodes = 12;
  std::size_t m_Zones = 3;
  std::size_t m_Services = 4;
  std::size_t m_Seeds = 3;
  double m_Budget = 2000;
  std::uint32_t m_AssumedHosts = 12;
  /// Number of listed hosts that have no node.
  std::size_t m_DepartedHosts = 0;
  /// Number of nodes, counted from the last, that are not listed.
  std::size_t m_UnlistedHosts = 0;
  /// Whether the source has a host list.
  bool m_HasHostList = true;
  std::uint32_t m_Holders = 2;
  Duration m_LinkDelay = std::chrono::milliseconds(1);
  std::uint64_t m_Seed = 1;
};

/// Runs nodes against the source and each other, and checks the safety
/// invariants whenever a node applies a version or becomes ready.
class Fleet {
public:
  explicit Fleet(const FleetOptions &Options);

  void startNode(std::size_t Index);
  void startAll();
  /// Ends a process; peers see its links close.
  void kill(std::size_t Index);
  /// Ends a host; peers are not notified.
  void loseHost(std::size_t Index);
  void freeze(std::size_t Index);
  void resume(std::size_t Index);
  void drain(std::size_t Index);
  /// Partitions the groups from each other; a node without an entry is in group
  /// 0.
  void partition(std::map<std::size_t, int> Groups);
  void heal();

  void runFor(Duration Time);
  /// Runs until the condition holds.
  /// \returns the elapsed time, or nothing if \p Limit has passed.
  std::optional<Duration> runUntil(const std::function<bool()> &Condition,
                                   Duration Limit);

  bool isAlive(std::size_t Index) const;
  core::DistributionStatus status(std::size_t Index) const;
  /// Reports to a node that another node's traffic showed a version.
  void reportNewerVersion(std::size_t Index, Version Seen, std::size_t Other);
  std::string address(std::size_t Index) const;
  /// \returns whether every running node is ready and has applied a version.
  bool allReadyAt(Version Expected) const;
  bool allReady() const;
  /// \returns the highest number of source calls in any second so far; a
  /// waiting watch counts in each second.
  std::size_t maxCallsInASecond() const;
  std::size_t sourceCalls() const { return m_CallTimes.size(); }
  std::size_t countEvents(core::EventId Id) const;
  std::uint64_t controlBytes() const { return m_ControlBytes; }
  std::size_t size() const { return m_Nodes.size(); }
  TimePoint now() const { return m_Now; }

  /// Runs an action after all actions that are already due.
  void runAfterPending(std::function<void()> Run) { at(m_Now, std::move(Run)); }

  FakeSource m_Source;
  std::vector<std::string> m_Violations;
  /// Called when a node applies a version.
  std::function<void(std::size_t, Version)> m_OnApply;
  /// Percentage of messages that are lost.
  unsigned m_LossPercent = 0;
  /// Whether the changed parts of each change record arrive altered.
  bool m_AltersRecords = false;

private:
  struct Node {
    std::unique_ptr<core::Distribution> m_Distribution;
    std::uint64_t m_Starts = 0;
    bool m_Frozen = false;
    bool m_Ready = false;
    Version m_Applied = 0;
    /// Lowest version with which the node may become ready: the highest that
    /// its host ever applied, or that all reachable nodes held when it started.
    Version m_MinReadyVersion = 0;
    Version m_MaxApplied = 0;
    TimePoint m_NextTick = TimePoint::max();
    std::deque<std::function<void()>> m_Backlog;
  };
  struct LinkEnd {
    std::size_t m_Node = 0;
    std::uint64_t m_Start = 0;
    core::LinkId m_Link = 0;
  };
  struct ScheduledAction {
    TimePoint m_Time;
    std::uint64_t m_Order = 0;
    std::function<void()> m_Run;
    bool operator<(const ScheduledAction &Other) const {
      return std::pair(Other.m_Time, Other.m_Order) <
             std::pair(m_Time, m_Order);
    }
  };
  using LinkKey = std::pair<std::size_t, core::LinkId>;

  void at(TimePoint Time, std::function<void()> Run);
  /// Runs an input on a node; deferred if the node is frozen, dropped if its
  /// process has ended.
  void deliver(std::size_t Index, std::uint64_t Start,
               const std::function<void(core::Distribution &)> &Run);
  void performCommands(std::size_t Index);
  void scheduleTick(std::size_t Index);
  void perform(std::size_t Index, core::DistributionCommand &Command);
  void openLink(std::size_t Index, const core::OpenControlLink &Command);
  void closeLink(std::size_t Index, core::LinkId Link);
  void callSource(std::size_t Index, const core::CallSource &Call);
  void answerCall(std::size_t Index, std::uint64_t Start,
                  const core::CallSource &Call, TimePoint Deadline,
                  std::size_t Watch);
  void apply(std::size_t Index, const core::Configuration &Config);
  bool reachable(std::size_t From, std::size_t To) const;
  Version minHeldByOthers(std::size_t Except) const;
  void dropLinks(std::size_t Index, bool NotifyPeers);

  FleetOptions m_Options;
  std::vector<Node> m_Nodes;
  std::map<LinkKey, LinkEnd> m_LinkPeers;
  std::map<std::size_t, int> m_Groups;
  std::priority_queue<ScheduledAction> m_Queue;
  std::uint64_t m_Order = 0;
  core::LinkId m_LastInbound = core::LinkId{1} << 63U;
  TimePoint m_Now;
  std::vector<TimePoint> m_CallTimes;
  /// Start and end of each watch.
  std::vector<std::pair<TimePoint, TimePoint>> m_Watches;
  std::map<core::EventId, std::size_t> m_Events;
  std::uint64_t m_ControlBytes = 0;
  std::uint64_t m_Random = 1;
};

} // namespace dandelionfall::test

#endif // DANDELIONFALL_TESTS_CONTRACT_DISTRIBUTION_FLEET_H
