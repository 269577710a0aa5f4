/// \file
/// Nodes, links and the platform's service in virtual time, for the tests of
/// the distribution.
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
  /// Publishes the next version with a fault of the given kind.
  void publishFaulty();
  /// Publishes other content under the newest number.
  void publishConflict();
  /// Sets how calls are answered; a stale service shows the version before the
  /// newest one of now.
  void setMode(Mode Value);
  void setHosts(const core::HostList &List);

  /// \returns the value as published, or nothing for a failed call.
  std::optional<std::string> read(const core::CallSource &Call) const;
  Version newest() const { return m_Version; }
  /// \returns the version that calls see now.
  Version visibleVersion() const;
  /// \returns the manifest's canonical digest of each published version.
  const std::map<Version, core::Digest> &digests() const { return m_Digests; }

  /// Part reads after which the next version is published, to cross a reading.
  std::size_t m_PublishAfterPartReads = 0;
  /// Whether watches are answered at once with whatever version is shown.
  bool m_IgnoresAfter = false;

private:
  struct Content {
    Version m_Version = 0;
    std::map<std::string, std::string, std::less<>> m_Parts;
  };
  void store();

  Mode m_Mode = Mode::Working;
  Version m_Version = 0;
  Content m_Newest;
  Content m_Previous;
  Content m_Stale;
  std::string m_Hosts;
  std::map<Version, core::Digest> m_Digests;
};

/// How the nodes of a fleet are set up.
struct FleetOptions {
  std::size_t m_Nodes = 12;
  std::size_t m_Zones = 3;
  std::size_t m_Services = 4;
  std::size_t m_Seeds = 3;
  double m_Budget = 2000;
  std::uint32_t m_AssumedHosts = 12;
  /// Hosts that the list names besides the nodes.
  std::size_t m_DepartedHosts = 0;
  /// Nodes that the list lacks, the last ones.
  std::size_t m_UnlistedHosts = 0;
  /// Whether there is a host list at all.
  bool m_HasHostList = true;
  std::uint32_t m_Holders = 2;
  Duration m_LinkDelay = std::chrono::milliseconds(1);
  std::uint64_t m_Seed = 1;
};

/// Runs nodes against the source and each other, and checks after every event
/// what must always hold.
class Fleet {
public:
  explicit Fleet(const FleetOptions &Options);

  void startNode(std::size_t Index);
  void startAll();
  /// Ends a process; peers see its links break.
  void kill(std::size_t Index);
  /// Ends a host; peers see nothing.
  void loseHost(std::size_t Index);
  void freeze(std::size_t Index);
  void resume(std::size_t Index);
  void drain(std::size_t Index);
  /// Cuts the groups off from each other; a node without a group is in 0.
  void partition(std::map<std::size_t, int> Groups);
  void heal();

  void runFor(Duration Time);
  /// Runs until the condition holds.
  /// \returns the time it took; nothing if it took longer than \p Limit.
  std::optional<Duration> runUntil(const std::function<bool()> &Condition,
                                   Duration Limit);

  bool isAlive(std::size_t Index) const;
  core::DistributionStatus status(std::size_t Index) const;
  /// Lets a node see in its traffic that another holds a version.
  void reportNewerVersion(std::size_t Index, Version Seen, std::size_t Other);
  std::string address(std::size_t Index) const;
  /// Tells whether every running node is ready with the newest version.
  bool allReadyAt(Version Expected) const;
  bool allReady() const;
  /// \returns the most calls, a waiting watch included, in any second so far.
  std::size_t maxCallsInASecond() const;
  std::size_t sourceCalls() const { return m_CallTimes.size(); }
  std::size_t countEvents(core::EventId Id) const;
  std::uint64_t controlBytes() const { return m_ControlBytes; }
  std::size_t size() const { return m_Nodes.size(); }
  TimePoint now() const { return m_Now; }

  /// Runs an action after all that is due now.
  void runAfterPending(std::function<void()> Run) { at(m_Now, std::move(Run)); }

  FakeSource m_Source;
  std::vector<std::string> m_Violations;
  /// Called when a node applies a version.
  std::function<void(std::size_t, Version)> m_OnApply;
  /// Share of messages that are lost, in percent.
  unsigned m_LossPercent = 0;
  /// Whether a changed part of each change record arrives altered.
  bool m_AltersRecords = false;

private:
  struct Node {
    std::unique_ptr<core::Distribution> m_Distribution;
    std::uint64_t m_Starts = 0;
    bool m_Frozen = false;
    bool m_Ready = false;
    Version m_Applied = 0;
    /// What the node must have applied to be ready: the most that its host ever
    /// applied, and what all nodes that it could ask held when it started.
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
  /// Runs on a node, later if it is frozen, never if it has ended.
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
