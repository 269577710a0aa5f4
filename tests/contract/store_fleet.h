/// \file
/// Nodes that read a shared store, their links and the store in virtual time.
#ifndef DANDELIONFALL_TESTS_CONTRACT_STORE_FLEET_H
#define DANDELIONFALL_TESTS_CONTRACT_STORE_FLEET_H

#include "dandelionfall/core/machine_limits.h"
#include "dandelionfall/core/store_replica.h"
#include "store_emulation.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dandelionfall::test {

using core::Duration;
using core::LinkId;
using core::Revision;
using core::TimePoint;

/// Size of a fleet and behaviour of its store.
struct StoreFleetOptions {
  std::size_t m_Nodes = 16;
  std::size_t m_Zones = 4;
  /// Age of the state that serializable calls see.
  Duration m_Staleness{0};
  /// Mean interval at which each node shows its revision to a random other
  /// node, as traffic does; 0 for no traffic.
  Duration m_TrafficInterval{0};
  std::uint64_t m_Seed = 1;
  core::MachineLimits m_Machine{};
  /// Size of a configuration's value.
  std::size_t m_ConfigurationBytes = 0;
  /// Rate at which each machine sends messages, and receives and reads replies
  /// and messages; 0 if it takes no time.
  std::size_t m_BytesPerSecond = 0;
  /// Rate at which the store sends its replies to all nodes together; 0 if it
  /// takes no time.
  std::size_t m_StoreBytesPerSecond = 0;
  /// Time for which a machine is occupied by decoding one configuration.
  Duration m_DecodeTime{0};
  /// Whether the store states its era.
  bool m_StatesEra = false;
  /// Records of one page of a listing; 0 for one page.
  std::size_t m_PageRecords = 0;
  /// Whether the nodes prove that their configuration is the newest one.
  bool m_ProvesFreshness = false;
};

/// A fleet; node `I` is next to target `I`, in availability zone `I modulo
/// zones`.
class StoreFleet {
public:
  explicit StoreFleet(StoreFleetOptions Options);

  /// Starts all nodes, at random moments within 300 ms, and runs until they
  /// have settled.
  void startAll();
  void start(std::size_t Node);
  /// The process ends; its connections are reset.
  void kill(std::size_t Node);
  /// The machine loses power; its peers notice nothing.
  void losePower(std::size_t Node);
  /// The process stands still; its connections stay open.
  void freeze(std::size_t Node);
  void thaw(std::size_t Node);
  /// Calls of the node get no reply, pending ones included.
  void cutFromStore(std::size_t Node);
  void reconnectToStore(std::size_t Node);
  /// The pending calls of the node never get a reply; later ones do.
  void silencePendingCalls(std::size_t Node);
  /// Sets the time that replies sent to the node from now on take besides;
  /// later ones can overtake them.
  void slowReplies(std::size_t Node, Duration Longer);
  /// Nothing passes between the node and any other node.
  void cutFromNodes(std::size_t Node);
  /// Messages pass again; those sent meanwhile are lost.
  void reconnectToNodes(std::size_t Node);
  /// Sets the time that messages to the node take besides.
  void slowMessages(std::size_t Node, Duration Longer);
  /// Asks the node to hand over to others before a planned stop.
  void drain(std::size_t Node);
  /// Writes a new configuration version. \returns its revision.
  Revision publish();
  /// Writes a new configuration version with further routes. \returns its
  /// revision.
  Revision publishMoreRoutes(std::size_t Routes);
  /// Marks a target as draining. \returns its revision.
  Revision drainTarget(std::size_t Node);
  /// Removes the entry of a target. \returns the revision of the removal.
  Revision removeTarget(std::size_t Node);
  /// Writes the entry of a target again.
  void listTarget(std::size_t Node);
  /// Takes an availability zone out of service. \returns its revision.
  Revision takeOutZone(std::size_t Zone);
  /// Takes an availability zone back into service. \returns the revision.
  Revision takeBackZone(std::size_t Zone);
  /// \returns whether a zone is out of service in what a node has in force.
  bool isOut(std::size_t Node, std::size_t Zone) const;
  /// \returns the nodes that run and have a zone in service.
  std::set<std::size_t> nodesWith(std::size_t Zone) const;
  /// The store refuses all calls, and comes back from a copy after a while.
  /// What was written is written again: the configuration and the live targets
  /// by their writers within 1.9 s of the return, zones taken out or back by
  /// the operators within the same time; entries of targets that have left
  /// lapse again within 6 s.
  void restoreStore(const RestoredCopy &Copy, Duration Away);
  /// \returns the version published last.
  core::Version newestVersion() const { return m_Version; }
  /// \returns the longest time after which a node that runs and is not
  /// excepted applied a version or a higher one; nothing if one of them has
  /// not.
  std::optional<Duration>
  worstVersionLag(core::Version Searched,
                  const std::set<std::size_t> &Except = {}) const;
  /// \returns the version with which a node first took requests since its
  /// start; 0 if it has not.
  core::Version firstVersion(std::size_t Node) const {
    return m_Nodes[Node].m_FirstVersion;
  }
  /// \returns the listings of all records that a node has requested since.
  std::size_t listingsSince(std::size_t Node, TimePoint Since) const;
  /// \returns the calls of a node since.
  std::size_t callsSince(std::size_t Node, TimePoint Since) const;
  /// \returns what broke an invariant at any node: a version that went back, a
  /// target used again after it left, a live target dropped, a zone that is
  /// out used again.
  const std::vector<std::string> &violations() const { return m_Violations; }
  /// \returns the proofs of nodes that a version was the newest at a time when
  /// the store had acknowledged a newer one.
  const std::vector<std::string> &falseProofs() const { return m_FalseProofs; }
  /// \returns the age of a node's latest proof, if it has one.
  std::optional<Duration> proofAge(std::size_t Node) const;
  /// \returns the highest age of the latest proofs of all nodes that run and
  /// are not frozen; nothing if one of them has none.
  std::optional<Duration> worstProofAge() const;
  /// \returns which nodes use a target again that had left before they
  /// started.
  const std::vector<std::string> &usedAfterStart() const {
    return m_UsedAfterStart;
  }
  /// \returns whether a node has a target in use.
  bool usesTarget(std::size_t Node, std::size_t Target) const;
  void run(Duration Length);
  TimePoint now() const { return m_Now; }

  /// \returns how long after its publication the node held a revision; nothing
  /// if it does not hold it yet.
  std::optional<Duration> lag(std::size_t Node, Revision Searched) const;
  /// \returns the longest lag of all nodes that run and are not excepted;
  /// nothing if one of them does not hold the revision.
  std::optional<Duration>
  worstLag(Revision Searched, const std::set<std::size_t> &Except = {}) const;
  /// \returns the longest time after which a node that runs applied a published
  /// configuration or a newer one; nothing if one of them has not.
  std::optional<Duration> worstApplicationLag(Revision Searched) const;
  /// \returns the number of feeds that followers lost.
  std::size_t lostFeeds() const { return m_LostFeeds; }
  /// \returns how often followers asked the store for what others announced.
  std::size_t catchUps() const { return m_CatchUps; }
  /// \returns the longest time after which a node that runs and is not excepted
  /// sent nothing more to a target that `drainTarget` marked; nothing if one of
  /// them still does.
  std::optional<Duration>
  worstDepartureLag(Revision Searched,
                    const std::set<std::size_t> &Except = {}) const;
  /// \returns the nodes whose feeds the node follows.
  std::set<std::size_t> sourcesOf(std::size_t Node) const;
  /// \returns the running nodes that watch in a mode.
  std::size_t count(core::WatchMode Mode) const;
  bool isReady(std::size_t Node) const;
  const core::StoreReplica &replica(std::size_t Node) const {
    return *m_Nodes[Node].m_Replica;
  }
  /// \returns calls to the store so far: a linearizable one counts 1, a
  /// serializable one 0.1.
  double pricedCalls() const { return m_PricedCalls; }
  std::size_t nodes() const { return m_Nodes.size(); }
  std::string zoneOf(std::size_t Node) const;

private:
  /// An event for one start of a node.
  struct Input {
    std::uint64_t m_Start = 0;
    std::function<void(core::StoreReplica &)> m_Action;
  };
  struct Member {
    std::unique_ptr<core::StoreReplica> m_Replica;
    /// Counts the starts; events of an earlier start are dropped.
    std::uint64_t m_Start = 0;
    bool m_Frozen = false;
    /// Whether the node handles an event that takes time.
    bool m_Busy = false;
    bool m_CutFromStore = false;
    bool m_CutFromNodes = false;
    /// Time that messages to the node take besides.
    Duration m_SlowMessages{0};
    /// Events that wait for the end of a freeze or of an earlier event.
    std::deque<Input> m_Inputs;
    /// Calls without a reply.
    std::set<std::uint64_t> m_PendingCalls;
    /// Calls whose reply is being received.
    std::set<std::uint64_t> m_Arriving;
    /// Calls that get no reply.
    std::set<std::uint64_t> m_Silenced;
    std::optional<TimePoint> m_TickAt;
    std::map<Revision, TimePoint> m_HeldAt;
    /// When the node applied each version of the configuration.
    std::map<core::Version, TimePoint> m_AppliedAt;
    /// When the node learned of each departure.
    std::map<Revision, TimePoint> m_DepartureAt;
    /// Until when earlier bytes occupy the machine's link, by direction.
    TimePoint m_LinkFreeAt;
    TimePoint m_SendingFreeAt;
    LinkId m_NextInbound = core::FirstInboundLink;
    core::Version m_Version = 0;
    core::Version m_FirstVersion = 0;
    TimePoint m_StartedAt;
    Revision m_AppliedRevision = 0;
    /// Version of the configuration that was last published to its traffic.
    core::Version m_InForce = 0;
    std::optional<core::FreshnessProof> m_Proof;
    /// Live targets that are used, and targets not used after they left.
    std::set<std::size_t> m_Used;
    std::set<std::size_t> m_Left;
    /// Zones out of service in what is in force.
    std::set<std::string> m_ZonesOut;
    /// Time that replies of the store take besides.
    Duration m_SlowReplies{0};
    std::vector<TimePoint> m_CallTimes;
    std::vector<TimePoint> m_ListingTimes;
  };
  /// One end of a link.
  struct LinkEnd {
    std::size_t m_Node = 0;
    LinkId m_Link = 0;
    friend bool operator<(const LinkEnd &Left, const LinkEnd &Right) {
      return std::pair(Left.m_Node, Left.m_Link) <
             std::pair(Right.m_Node, Right.m_Link);
    }
  };
  struct PendingEvent {
    TimePoint m_At;
    std::uint64_t m_Order = 0;
    std::function<void()> m_Run;
    friend bool operator<(const PendingEvent &Left, const PendingEvent &Right) {
      return std::pair(Left.m_At, Left.m_Order) >
             std::pair(Right.m_At, Right.m_Order);
    }
  };
  struct Watcher {
    std::size_t m_Node = 0;
    std::uint64_t m_Start = 0;
    core::WatchRecords m_Call;
  };

  enum class TargetPhase : std::uint8_t { Ready, Draining, Gone };
  /// A target, as it knows itself.
  struct LiveTarget {
    TargetPhase m_Phase = TargetPhase::Ready;
    std::uint64_t m_Sequence = 0;
    std::string m_Value;
    /// When it wrote that it leaves.
    TimePoint m_LeftAt;
  };

  static std::string addressOf(std::size_t Node);
  void at(TimePoint When, std::function<void()> Run);
  /// Runs an action on a node, unless it has ended or restarted since.
  void deliver(std::size_t Node, std::uint64_t Start, Duration Delay,
               std::function<void(core::StoreReplica &)> Action);
  /// Handles the events that wait, until one of them takes time.
  void handleInputs(std::size_t Node);
  void settle(std::size_t Node);
  void noteDepartures(std::size_t Node);
  void checkInvariants(std::size_t Node);
  /// Writes a target's entry. \returns its revision.
  Revision writeTarget(std::size_t Node, TargetPhase Phase);
  void writeLostAgain();
  void writeZonesAgain();
  void noteZones(std::size_t Node, const core::Configuration &Applied);
  void refuse(std::size_t Node, std::uint64_t Start, std::uint64_t Call);
  /// \returns the time until a node has received records, behind earlier ones.
  Duration transfer(std::size_t Node,
                    const std::vector<core::StoreRecord> &Records);
  Duration transferBytes(std::size_t Node, std::size_t Bytes);
  /// \returns the time until a node has sent bytes, behind earlier ones.
  Duration sendBytes(std::size_t Node, std::size_t Bytes);
  /// \returns the time until the store has sent a reply, behind earlier ones.
  Duration sendReply(const core::StoreReply &Reply);
  void reply(std::size_t Node, std::uint64_t Start, core::StoreReply Reply);
  /// Reports a call as failed at its timeout; a reply before it counts.
  void failAfter(std::size_t Node, std::uint64_t Call, Duration Timeout);
  void wakeWatchers(core::ReadConsistency Consistency);
  /// Replies to the watches that see a change, now or once stale reads do.
  void announce();
  void showTraffic(std::size_t Node);
  void closeEnds(std::size_t Node);
  void perform(std::size_t Node, const core::ListRecords &Command);
  void perform(std::size_t Node, const core::WatchRecords &Command);
  void perform(std::size_t Node, const core::AbandonCall &Command);
  void perform(std::size_t Node, const core::OpenControlLink &Command);
  void perform(std::size_t Node, const core::CloseControlLink &Command);
  void perform(std::size_t Node, const core::SendControl &Command);
  void perform(std::size_t Node, const core::ApplyRecords &Command);
  void perform(std::size_t Node, const core::FreshnessProof &Command);
  void perform(std::size_t Node, const core::Event &Command);

  StoreFleetOptions m_Options;
  FleetDecoder m_Decoder;
  FleetStore m_Store;
  std::mt19937_64 m_Random;
  TimePoint m_Now{std::chrono::seconds(1000)};
  std::uint64_t m_LastOrder = 0;
  std::priority_queue<PendingEvent> m_Events;
  std::vector<Member> m_Nodes;
  std::map<LinkEnd, LinkEnd> m_Peers;
  /// When the last message arrives at the end of a link.
  std::map<LinkEnd, TimePoint> m_LastArrivals;
  std::vector<Watcher> m_Watchers;
  std::map<Revision, TimePoint> m_PublishedAt;
  /// Versions of the configuration, by revision.
  std::map<Revision, core::Version> m_Versions;
  /// Targets that leave, by revision.
  std::map<Revision, std::size_t> m_Departures;
  std::uint64_t m_Version = 0;
  std::string m_Configuration;
  std::map<core::Version, TimePoint> m_VersionAt;
  std::vector<LiveTarget> m_Targets;
  /// Zones that the operators have taken out of service.
  std::set<std::size_t> m_ZonesOut;
  /// When they last took each zone back.
  std::map<std::size_t, TimePoint> m_ZonesBackAt;
  bool m_StoreIsAway = false;
  /// Whether the store has been restored; invariants are checked from then.
  bool m_WasRestored = false;
  std::vector<std::string> m_Violations;
  std::vector<std::string> m_FalseProofs;
  std::vector<std::string> m_UsedAfterStart;
  /// Routes added to the configuration.
  std::string m_Routes;
  TimePoint m_StoreFreeAt;
  double m_PricedCalls = 0;
  std::size_t m_LostFeeds = 0;
  std::size_t m_CatchUps = 0;
};

} // namespace dandelionfall::test

#endif // DANDELIONFALL_TESTS_CONTRACT_STORE_FLEET_H
