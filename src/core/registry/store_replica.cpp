#include "dandelionfall/core/store_replica.h"

#include "core/registry/feed_follower.h"
#include "core/registry/feed_publisher.h"
#include "core/registry/freshness_prover.h"
#include "core/registry/patch_requests.h"
#include "core/registry/record_requests.h"
#include "core/registry/start_inquiry.h"
#include "core/registry/urgent_watches.h"
#include "core/registry/watch_choice.h"
#include "dandelionfall/core/peer_pull.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

using namespace registry;

namespace {

// All hosts have the same list of seeds, which can include this host.
std::vector<std::string> otherSeeds(const StoreReplicaOptions &Options) {
  std::vector<std::string> Others = Options.m_Seeds;
  std::erase(Others, Options.m_LinkAddress);
  return Others;
}

} // namespace

class StoreReplica::Impl {
public:
  Impl(const RecordDecoder &Decoder, const StoreReplicaOptions &Options)
      : m_Registry(Decoder, Options.m_Registry),
        m_Reader(Options.m_RandomSeed, Options.m_StoreKeepsWrites),
        m_Pull(otherSeeds(Options)),
        m_Follower(Options.m_LinkAddress, Options.m_Zone,
                   Options.m_ProvesFreshness),
        m_Publisher(Options.m_MaxFollowers),
        m_UrgentWatches(Options.m_UrgentPrefixes, Options.m_RandomSeed),
        m_Inquiry(Options.m_LinkAddress, Options.m_RandomSeed),
        m_PatchRequests(m_Registry, m_Follower),
        m_Prover(m_Registry, Options.m_ProvesFreshness) {}

  void start(TimePoint Now) {
    m_StartEnds = Now + StartTime;
    m_Reader.start(Now);
    m_Pull.start(Now);
    settle(Now);
  }

  void onStoreReply(StoreReply Reply, TimePoint Now) {
    updateOutage(Now);
    if (UrgentWatches::isOwn(Reply.m_Call))
      m_UrgentWatches.onReply(std::move(Reply), m_Reader.history(),
                              m_Registry.revision(), Now);
    else
      m_Reader.onReply(std::move(Reply), Now);
    settle(Now);
  }

  void onLinkOpened(LinkId Link, TimePoint Now) {
    if (m_Inquiry.isAsked(Link))
      askForState(Link);
    else if (!m_Follower.onLinkOpened(Link, Now) && Link == m_PullLink)
      askForRecords(Link);
    settle(Now);
  }

  void onLinkClosed(LinkId Link, TimePoint Now) {
    m_Follower.onLinkClosed(Link, Now);
    m_Inquiry.onLinkClosed(Link);
    m_RecordRequests.onLinkClosed(Link);
    m_Publisher.onLinkClosed(Link);
    settle(Now);
  }

  void onMessage(LinkId Link, const ControlMessage &Message, TimePoint Now) {
    updateOutage(Now);
    std::visit([&](const auto &Each) { handle(Link, Each, Now); }, Message);
    settle(Now);
  }

  void onPeerRevision(Revision Seen, const std::string &Address,
                      TimePoint Now) {
    m_Pull.onPeerRevision(Seen, Address, m_Registry.revision(), Now);
    m_Reader.onNewerRevision(Seen, Now);
    settle(Now);
  }

  void startDrain(TimePoint Now) {
    m_Publisher.startDrain();
    settle(Now);
  }

  void onTick(TimePoint Now) {
    excuseDelay(Now);
    if (m_StartEnds && Now >= *m_StartEnds)
      m_StartEnds.reset();
    m_Reader.onTick(Now);
    m_UrgentWatches.onTick(Now);
    if (m_Registry.onTick(Now))
      onRecords(Now);
    m_PatchRequests.onTick(Now);
    m_Inquiry.onTick(Now);
    m_Follower.onTick(Now);
    m_Publisher.onTick(ownRevision(Now), Now);
    pullIfDue(Now);
    settle(Now);
  }

  std::optional<TimePoint> nextWakeUp() const {
    std::optional<TimePoint> Next;
    for (const std::optional<TimePoint> &Each :
         {m_StartEnds, m_Reader.nextWakeUp(), m_Registry.nextWakeUp(),
          m_Pull.nextWakeUp(), m_Follower.nextWakeUp(),
          m_Publisher.nextWakeUp(), m_Inquiry.nextWakeUp(),
          m_UrgentWatches.nextWakeUp(), m_PatchRequests.nextWakeUp(),
          m_RecordRequests.nextWakeUp()}) {
      if (Each)
        Next = Next ? std::min(*Next, *Each) : *Each;
    }
    return Next;
  }

  std::uint64_t calls() const {
    return m_Reader.calls() + m_UrgentWatches.calls();
  }

  std::vector<StoreReplicaCommand> takeCommands() {
    return std::exchange(m_Commands, {});
  }

  Registry m_Registry;
  StoreReader m_Reader;
  PeerPull m_Pull;
  FeedFollower m_Follower;
  FeedPublisher m_Publisher;
  UrgentWatches m_UrgentWatches;
  StartInquiry m_Inquiry;
  PatchRequests m_PatchRequests;
  RecordRequests m_RecordRequests;
  FreshnessProver m_Prover;

  // A node that follows others passes on what they announce. With the latest
  // confirmation goes the highest revision, which is at least the confirmed
  // one.
  ConfirmedRevision ownRevision(TimePoint Now) const {
    const ConfirmedRevision Announced = m_Follower.newest(Now);
    const Revision Newest =
        std::max(m_Registry.revision(), Announced.m_Revision);
    return {Newest, m_Registry.revision(),
            std::max(m_Reader.confirmedAt(), Announced.m_ConfirmedAt),
            m_Registry.retainedVersion(), m_Prover.provedAt(Newest)};
  }

private:
  // Whatever arrived while this node was occupied is still to be handled.
  void excuseDelay(TimePoint Now) {
    const std::optional<TimePoint> Due = nextWakeUp();
    if (!Due || Now - *Due < MaxTimerDelay)
      return;
    m_Follower.onDelay(Now - *Due, Now);
    m_Reader.onDelay(Now - *Due);
    m_Pull.onDelay(Now - *Due);
  }

  void askForRecords(LinkId Link) {
    m_Commands.emplace_back(
        SendControl{Link, RecordsPull{m_Registry.revision()}});
  }

  void askForState(LinkId Link) {
    const HistoryNumber History = historyOf(m_Registry.revision());
    m_Commands.emplace_back(
        SendControl{Link, RecordsPull{makeRevision(History, MaxStoreCounter),
                                      m_Registry.version()}});
  }

  // A peer whose revision the store has disproved holds an earlier history.
  void pullIfDue(TimePoint Now) {
    const Revision Claimed = m_Pull.newest();
    const auto Peer = m_Pull.takeDuePeer(m_Registry.revision(), Now);
    if (!Peer)
      return;
    if (m_Reader.checkClaim(Claimed, Now))
      m_Pull.onReply();
    else
      pullFrom(*Peer);
  }

  // At most one pull is open at a time.
  void pullFrom(const std::string &Address) {
    if (m_PullLink != 0)
      m_Commands.emplace_back(CloseControlLink{m_PullLink});
    m_PullLink = FirstPullLink + m_Pulls++;
    m_Commands.emplace_back(OpenControlLink{m_PullLink, Address});
  }

  // Other messages belong to the product's own source.
  template <typename Message>
  void handle(LinkId /*Link*/, const Message & /*Value*/, TimePoint /*Now*/) {}

  void handle(LinkId Link, const RecordsPull &Pull, TimePoint Now) {
    m_Commands.emplace_back(SendControl{Link, m_Registry.makePush(Pull, Now)});
  }

  void handle(LinkId Link, const RecordsPush &Push, TimePoint Now) {
    if (namesNoHistory(Push.m_AsOf))
      return;
    if (Link == m_PullLink) {
      m_Commands.emplace_back(CloseControlLink{Link});
      m_PullLink = 0;
      m_Pull.onReply();
    }
    m_Inquiry.onReply(Link);
    m_RecordRequests.onReply(Link);
    if (m_Registry.applyPush(Push, Now))
      onRecords(Now);
    m_Reader.onPeerRecords(m_Registry.revision(), Now);
  }

  bool namesNoHistory(Revision Named) {
    if (historyOf(Named) <= MaxHistoryNumber)
      return false;
    m_Commands.emplace_back(
        Event{EventId::RecordRefused, "revision=" + std::to_string(Named) +
                                          " fault=a node names no history"});
    return true;
  }

  // Asks a node at the other end of a link for a configuration that the store
  // has lost, or for what the store does not tell this node.
  void requestMissing(TimePoint Now) {
    const auto IsMissing = [this](const RecordClaim &Claim) {
      return Claim.m_Retained > m_Registry.version() ||
             (Claim.m_Held > m_Registry.revision() && !m_Reader.isAnswered());
    };
    if (const auto Link = m_RecordRequests.takeDue(IsMissing, Now))
      askForRecords(*Link);
  }

  void handle(LinkId Link, const FollowRevisions &Request, TimePoint Now) {
    if (namesNoHistory(Request.m_Held))
      return;
    m_Reader.onLaterHistory(historyOf(Request.m_Held), Now);
    m_RecordRequests.onClaim(Link, {Request.m_Retained, Request.m_Held});
    m_Publisher.onFollow(Link, Request, ownRevision(Now),
                         m_Registry.changesFor(Request.m_Held,
                                               Request.m_WantsPatches,
                                               Request.m_Bases),
                         Now);
  }

  void handle(LinkId Link, const RevisionNotice &Notice, TimePoint Now) {
    if (namesNoHistory(std::max(Notice.m_Revision, Notice.m_Held)))
      return;
    // It says nothing of the present history; its sender will follow that.
    if (!Notice.m_Refused &&
        historyOf(Notice.m_Revision) < m_Reader.history().number())
      return m_Follower.onOutdatedNotice(Link, Notice, Now);
    const std::string Address = m_Follower.onNotice(Link, Notice, Now);
    if (Address.empty())
      return;
    m_Reader.onLaterHistory(historyOf(Notice.m_Revision), Now);
    m_RecordRequests.onClaim(Link, {Notice.m_Retained, 0});
    updateOutage(Now);
    // A node that has more in force than the store contradicts the proof.
    if (Notice.m_Retained <= m_Registry.version())
      m_Prover.add(m_Follower.proofOf(Link));
    const bool WasMissing = !m_Registry.holdsAll(Notice.m_Changes.m_Large);
    if (m_Registry.applyFeed(Notice.m_Changes, Notice.m_Held, Now))
      onRecords(Now);
    m_PatchRequests.onChanges(Link, Notice.m_Changes, WasMissing, Now);
    m_Reader.onPeerRecords(m_Registry.revision(), Now);
    m_Pull.onPeerRevision(Notice.m_Held, Address, m_Registry.revision(), Now);
    m_Reader.onNewerRevision(Notice.m_Revision, Now);
  }

  void handle(LinkId Link, const FreshnessProbe &Probe, TimePoint /*Now*/) {
    m_Publisher.onProbe(Link, Probe);
  }

  // A store that confirms revisions to other nodes is not away. Must run before
  // records are applied: whether a removal is a lapse depends on it.
  void updateOutage(TimePoint Now) {
    const std::optional<TimePoint> Confirmed = ownRevision(Now).m_ConfirmedAt;
    const bool IsAway = !m_Reader.isReachable() &&
                        (!Confirmed || Now >= *Confirmed + ConfirmationLimit);
    if (std::exchange(m_StoreIsAway, IsAway) != IsAway)
      m_Registry.onStoreReachable(!IsAway, Now);
  }

  void updateHeld() {
    m_Follower.setHeld(m_Registry.revision(), m_Registry.retainedVersion());
  }

  void onRecords(TimePoint Now) {
    ConfigurationPtr Config = m_Registry.configuration();
    if (Config != nullptr) {
      m_Inquiry.start(m_Registry.nodes(), Now);
      m_IsHeldBack = !m_Inquiry.isOver();
      if (!m_IsHeldBack) {
        m_Prover.onPublished(Config->m_Stamp.m_Version);
        m_Commands.emplace_back(ApplyRecords{std::move(Config)});
      }
    }
    m_Follower.onNodes(m_Registry.nodes(), Now);
  }

  // Lets each part react to what the others did.
  void settle(TimePoint Now) {
    for (;;) {
      updateMode(Now);
      const auto Commands = m_Reader.takeCommands();
      if (Commands.empty())
        break;
      for (const StoreReaderCommand &Command : Commands)
        std::visit([&](const auto &Each) { perform(Each, Now); }, Command);
    }
    settleUrgentWatches(Now);
    updateOutage(Now);
    updateEvidence();
    requestMissing(Now);
    if (m_IsHeldBack && m_Inquiry.isOver())
      onRecords(Now);
    m_Pull.setStoreAnswers(m_Reader.isAnswered());
    m_Prover.add(m_Reader.proof());
    if (const auto Proof = m_Prover.takeProof(Now))
      m_Commands.emplace_back(*Proof);
    updateHeld();
    if (m_Publisher.followers() == 0)
      m_Registry.dropChanges();
    m_Publisher.onRevision(ownRevision(Now), m_Registry.takeChanges(), Now);
    for (const Event &Recorded : m_Registry.takeEvents())
      m_Commands.emplace_back(Recorded);
    forward(m_Follower.takeCommands());
    forward(m_Publisher.takeCommands());
    forward(m_Inquiry.takeCommands());
  }

  void updateEvidence() {
    if (m_Reader.isUnverified() && m_EvidenceAsOf != m_Registry.revision()) {
      m_EvidenceAsOf = m_Registry.revision();
      m_Reader.setEvidence(m_Registry.newestChange(), m_Registry.revision());
    }
    m_Reader.setRequiredKey(m_Registry.configurationKey());
  }

  // A follower receives these records from the nodes that it follows.
  void settleUrgentWatches(TimePoint Now) {
    const WatchMode Mode = m_Reader.mode();
    m_UrgentWatches.setActive(Mode == WatchMode::Publishing ||
                                  Mode == WatchMode::Alone,
                              m_Reader.history(), m_Registry.revision(), Now);
    for (const PrefixWatchCommand &Command : m_UrgentWatches.takeCommands())
      std::visit([&](const auto &Any) { perform(Any, Now); }, Command);
  }

  // The store may have come back from an older copy since the last notice, and
  // have passed the known revision before this node's first own call.
  void noteFeeds(std::size_t Feeds) {
    const bool HadFeeds = std::exchange(m_HasFeeds, Feeds > 0);
    const WatchMode Mode = m_Reader.mode();
    const bool IsTold = Mode == WatchMode::Following || Mode == WatchMode::Fed;
    if (!HadFeeds || m_HasFeeds || !IsTold)
      return;
    m_Reader.onFeedsLost();
    updateEvidence();
  }

  void updateMode(TimePoint Now) {
    const WatchMode Previous = m_Reader.mode();
    const WatchSituation Current = {
        m_Follower.reliableFeeds(Now), m_Publisher.followers(),
        m_Follower.hasBetterNode(), m_Follower.hasCompleteFeed(Now),
        m_StartEnds.has_value()};
    noteFeeds(Current.m_Feeds);
    const WatchMode Mode = chooseWatchMode(Current);
    if (Mode == Previous)
      return;
    m_Commands.emplace_back(
        makeModeEvent(Mode, Previous, Current, m_Registry.revision()));
    m_Reader.setMode(Mode, Now);
  }

  void forward(std::vector<FeedCommand> Commands) {
    for (FeedCommand &Command : Commands)
      std::visit(
          [this](auto &Each) { m_Commands.emplace_back(std::move(Each)); },
          Command);
  }

  void perform(const RecordsRead &Command, TimePoint Now) {
    const RecordsRead Read =
        m_Registry.contradicts(Command.m_Records, Command.m_HeldBefore)
            ? m_Reader.restart(Command, Now)
            : Command;
    if (m_Registry.replaceAll(Read.m_Records, Read.m_AsOf, Now))
      onRecords(Now);
  }

  void perform(const RecordsChanged &Command, TimePoint Now) {
    if (m_Registry.apply(Command.m_Records, Command.m_AsOf, Now))
      onRecords(Now);
  }

  void perform(const std::vector<StoreRecord> &Urgent, TimePoint Now) {
    if (m_Registry.applyAhead(Urgent, "urgent-watch", Now))
      onRecords(Now);
  }

  void perform(const StoreReachability & /*Command*/, TimePoint Now) {
    updateOutage(Now);
  }

  template <typename Command>
  void perform(const Command &ForDriver, TimePoint /*Now*/) {
    m_Commands.emplace_back(ForDriver);
  }

  std::vector<StoreReplicaCommand> m_Commands;
  /// Until when the listing of a node that has just started is recent enough to
  /// watch serializably while its first feeds open.
  std::optional<TimePoint> m_StartEnds;
  /// Whether the store answers neither this node nor one that it follows.
  bool m_StoreIsAway = false;
  /// Whether a feed was reliable when the mode was last set.
  bool m_HasFeeds = false;
  /// Whether the configuration waits for the end of the inquiry.
  bool m_IsHeldBack = false;
  /// Revision of the registry when the reader's evidence was set.
  std::optional<Revision> m_EvidenceAsOf;
  /// Link of the pending pull; 0 if there is none.
  LinkId m_PullLink = 0;
  std::uint64_t m_Pulls = 0;
};

StoreReplica::StoreReplica(const RecordDecoder &Decoder,
                           const StoreReplicaOptions &Options)
    : m_Impl(std::make_unique<Impl>(Decoder, Options)) {}

StoreReplica::~StoreReplica() = default;

void StoreReplica::start(TimePoint Now) { m_Impl->start(Now); }

void StoreReplica::onStoreReply(StoreReply Reply, TimePoint Now) {
  m_Impl->onStoreReply(std::move(Reply), Now);
}

void StoreReplica::onLinkOpened(LinkId Link, TimePoint Now) {
  m_Impl->onLinkOpened(Link, Now);
}

void StoreReplica::onLinkClosed(LinkId Link, TimePoint Now) {
  m_Impl->onLinkClosed(Link, Now);
}

void StoreReplica::onMessage(LinkId Link, const ControlMessage &Message,
                             TimePoint Now) {
  m_Impl->onMessage(Link, Message, Now);
}

void StoreReplica::onPeerRevision(Revision Seen, const std::string &Address,
                                  TimePoint Now) {
  m_Impl->onPeerRevision(Seen, Address, Now);
}

void StoreReplica::startDrain(TimePoint Now) { m_Impl->startDrain(Now); }

void StoreReplica::onTick(TimePoint Now) { m_Impl->onTick(Now); }

std::optional<TimePoint> StoreReplica::nextWakeUp() const {
  return m_Impl->nextWakeUp();
}

const Registry &StoreReplica::registry() const { return m_Impl->m_Registry; }

WatchMode StoreReplica::mode() const { return m_Impl->m_Reader.mode(); }

std::uint64_t StoreReplica::calls() const { return m_Impl->calls(); }

std::optional<TimePoint> StoreReplica::confirmedAt(TimePoint Now) const {
  return m_Impl->ownRevision(Now).m_ConfirmedAt;
}

const std::optional<FreshnessProof> &StoreReplica::proof() const {
  return m_Impl->m_Prover.last();
}

std::size_t StoreReplica::followers() const {
  return m_Impl->m_Publisher.followers();
}

std::vector<StoreReplicaCommand> StoreReplica::takeCommands() {
  return m_Impl->takeCommands();
}

} // namespace dandelionfall::core
