#include "store_fleet.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::test {

using namespace core;
using std::chrono::milliseconds;

namespace {

constexpr Duration StoreDelay = milliseconds(4);
constexpr Duration LinkDelay = milliseconds(1);
/// Time after which the driver gives up to connect to a node that is silent.
constexpr Duration ConnectTimeout = std::chrono::seconds(1);
/// Values in the longest reply that a node accepts, 4 MiB of base64.
constexpr std::size_t MaxReplyBytes = 3U << 20U;
constexpr std::uint16_t LinkPort = 7620;
constexpr double SerializablePrice = 0.1;

} // namespace

StoreFleet::StoreFleet(StoreFleetOptions Options)
    : m_Options(Options), m_Store(Options.m_Staleness),
      m_Random(Options.m_Seed), m_Nodes(Options.m_Nodes),
      m_Targets(Options.m_Nodes) {
  if (Options.m_StatesEra)
    m_Store.stateEra();
  m_Store.setPageSize(Options.m_PageRecords);
  for (std::size_t Number = 0; Number < m_Nodes.size(); ++Number)
    listTarget(Number);
  publish();
}

std::string StoreFleet::addressOf(std::size_t Node) {
  constexpr std::size_t NodesPerNet = 200;
  return "10." + std::to_string(Node / NodesPerNet) + ".0." +
         std::to_string(1 + Node % NodesPerNet) + ":" +
         std::to_string(LinkPort);
}

std::string StoreFleet::zoneOf(std::size_t Node) const {
  return "zone-" + std::to_string(Node % m_Options.m_Zones);
}

void StoreFleet::at(TimePoint When, std::function<void()> Run) {
  m_Events.push({When, ++m_LastOrder, std::move(Run)});
}

void StoreFleet::run(Duration Length) {
  const TimePoint End = m_Now + Length;
  while (!m_Events.empty() && m_Events.top().m_At <= End) {
    PendingEvent Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    Next.m_Run();
  }
  m_Now = End;
}

void StoreFleet::deliver(std::size_t Number, std::uint64_t Start,
                         Duration Delay,
                         std::function<void(StoreReplica &)> Action) {
  at(m_Now + Delay, [this, Number, Start, Action = std::move(Action)] {
    m_Nodes[Number].m_Inputs.push_back({Start, Action});
    handleInputs(Number);
  });
}

void StoreFleet::handleInputs(std::size_t Number) {
  Member &Receiver = m_Nodes[Number];
  while (!Receiver.m_Frozen && !Receiver.m_Busy && !Receiver.m_Inputs.empty()) {
    const Input Next = std::move(Receiver.m_Inputs.front());
    Receiver.m_Inputs.pop_front();
    if (Receiver.m_Replica == nullptr || Receiver.m_Start != Next.m_Start)
      continue;
    const std::size_t Before = m_Decoder.configurations();
    Next.m_Action(*Receiver.m_Replica);
    const std::size_t Decoded = m_Decoder.configurations() - Before;
    if (Decoded == 0 || m_Options.m_DecodeTime == Duration{0}) {
      settle(Number);
      continue;
    }
    Receiver.m_Busy = true;
    at(m_Now + m_Options.m_DecodeTime * static_cast<Duration::rep>(Decoded),
       [this, Number, Start = Next.m_Start] {
         Member &Done = m_Nodes[Number];
         if (Done.m_Replica == nullptr || Done.m_Start != Start)
           return;
         Done.m_Busy = false;
         settle(Number);
         handleInputs(Number);
       });
  }
}

void StoreFleet::settle(std::size_t Number) {
  Member &Settled = m_Nodes[Number];
  for (;;) {
    const auto Commands = Settled.m_Replica->takeCommands();
    if (Commands.empty())
      break;
    for (const StoreReplicaCommand &Command : Commands)
      std::visit([&](const auto &Each) { perform(Number, Each); }, Command);
  }
  Settled.m_HeldAt.emplace(Settled.m_Replica->registry().revision(), m_Now);
  Settled.m_AppliedAt.emplace(Settled.m_Replica->registry().version(), m_Now);
  noteDepartures(Number);
  checkInvariants(Number);
  const std::optional<TimePoint> Due = Settled.m_Replica->nextWakeUp();
  if (!Due || (Settled.m_TickAt && *Settled.m_TickAt <= *Due))
    return;
  Settled.m_TickAt = Due;
  deliver(Number, Settled.m_Start, std::max(*Due - m_Now, Duration{0}),
          [this, Number](StoreReplica &Replica) {
            m_Nodes[Number].m_TickAt.reset();
            Replica.onTick(m_Now);
          });
}

namespace {

// Connections share a link, so a large message holds up no small one.
constexpr std::size_t SmallBytes = 16'384;

Duration timeFor(std::size_t Bytes, std::size_t BytesPerSecond) {
  constexpr std::size_t MicrosecondsPerSecond = 1'000'000;
  return Duration(static_cast<Duration::rep>(Bytes * MicrosecondsPerSecond /
                                             BytesPerSecond));
}

std::size_t bytesOf(const std::vector<core::StoreRecord> &Records) {
  std::size_t Bytes = 0;
  for (const core::StoreRecord &Record : Records) {
    if (Record.m_Value != nullptr)
      Bytes += Record.m_Value->size();
  }
  return Bytes;
}

std::size_t bytesOf(const std::vector<core::RecordPatch> &Patches) {
  std::size_t Bytes = 0;
  for (const core::RecordPatch &Patch : Patches)
    Bytes += Patch.m_Patch.m_Compressed.size();
  return Bytes;
}

} // namespace

Duration StoreFleet::transferBytes(std::size_t Number, std::size_t Bytes) {
  if (m_Options.m_BytesPerSecond == 0)
    return Duration{0};
  const Duration Time = timeFor(Bytes, m_Options.m_BytesPerSecond);
  if (Bytes <= SmallBytes)
    return Time;
  Member &Receiver = m_Nodes[Number];
  Receiver.m_LinkFreeAt = std::max(Receiver.m_LinkFreeAt, m_Now) + Time;
  return Receiver.m_LinkFreeAt - m_Now;
}

Duration StoreFleet::sendBytes(std::size_t Number, std::size_t Bytes) {
  if (m_Options.m_BytesPerSecond == 0 || Bytes <= SmallBytes)
    return Duration{0};
  Member &Sender = m_Nodes[Number];
  Sender.m_SendingFreeAt = std::max(Sender.m_SendingFreeAt, m_Now) +
                           timeFor(Bytes, m_Options.m_BytesPerSecond);
  return Sender.m_SendingFreeAt - m_Now;
}

Duration StoreFleet::sendReply(const StoreReply &Reply) {
  if (m_Options.m_StoreBytesPerSecond == 0)
    return Duration{0};
  m_StoreFreeAt =
      std::max(m_StoreFreeAt, m_Now) +
      timeFor(bytesOf(Reply.m_Records), m_Options.m_StoreBytesPerSecond);
  return m_StoreFreeAt - m_Now;
}

void StoreFleet::start(std::size_t Number) {
  Member &Started = m_Nodes[Number];
  StoreReplicaOptions Options;
  Options.m_Registry.m_LinkPort = LinkPort;
  Options.m_Registry.m_DefersLargeRecords = true;
  Options.m_LinkAddress = addressOf(Number);
  Options.m_Zone = zoneOf(Number);
  Options.m_RandomSeed = m_Random();
  Options.m_MaxFollowers = maxFollowers(m_Options.m_Machine);
  Options.m_UrgentPrefixes = {"target/"};
  Options.m_ProvesFreshness = m_Options.m_ProvesFreshness;
  Started.m_Replica = std::make_unique<StoreReplica>(m_Decoder, Options);
  ++Started.m_Start;
  Started.m_Busy = false;
  Started.m_HeldAt.clear();
  Started.m_AppliedAt.clear();
  Started.m_DepartureAt.clear();
  Started.m_Version = Started.m_FirstVersion = 0;
  Started.m_AppliedRevision = 0;
  Started.m_InForce = 0;
  Started.m_Proof.reset();
  Started.m_StartedAt = m_Now;
  Started.m_Used.clear();
  Started.m_Left.clear();
  Started.m_ZonesOut.clear();
  Started.m_TickAt.reset();
  Started.m_Silenced.clear();
  Started.m_PendingCalls.clear();
  Started.m_Arriving.clear();
  Started.m_Replica->start(m_Now);
  settle(Number);
  if (m_Options.m_TrafficInterval > Duration{0})
    showTraffic(Number);
}

void StoreFleet::startAll() {
  constexpr int StartSpreadMs = 300;
  std::uniform_int_distribution<int> Spread(0, StartSpreadMs);
  for (std::size_t Number = 0; Number < m_Nodes.size(); ++Number)
    at(m_Now + milliseconds(Spread(m_Random)),
       [this, Number] { start(Number); });
  run(std::chrono::seconds(8));
}

void StoreFleet::showTraffic(std::size_t Number) {
  const std::size_t Receiver = m_Random() % m_Nodes.size();
  Member &Sender = m_Nodes[Number];
  if (!m_Nodes[Receiver].m_CutFromNodes && !Sender.m_CutFromNodes) {
    const Revision Shown = Sender.m_Replica->registry().revision();
    deliver(Receiver, m_Nodes[Receiver].m_Start, LinkDelay,
            [this, Shown, Number](StoreReplica &Replica) {
              Replica.onPeerRevision(Shown, addressOf(Number), m_Now);
            });
  }
  std::exponential_distribution<double> Interval(
      1.0 / static_cast<double>(m_Options.m_TrafficInterval.count()));
  deliver(Number, Sender.m_Start,
          Duration(static_cast<Duration::rep>(Interval(m_Random))),
          [this, Number](StoreReplica & /*Replica*/) { showTraffic(Number); });
}

void StoreFleet::closeEnds(std::size_t Number) {
  std::vector<LinkEnd> Closed;
  for (const auto &[Own, Other] : m_Peers) {
    if (Own.m_Node == Number)
      Closed.push_back(Own);
  }
  for (const LinkEnd &Own : Closed)
    perform(Number, CloseControlLink{Own.m_Link});
}

void StoreFleet::kill(std::size_t Number) {
  closeEnds(Number);
  m_Nodes[Number].m_Replica.reset();
  m_Nodes[Number].m_Inputs.clear();
  m_Nodes[Number].m_Frozen = false;
  m_Nodes[Number].m_Busy = false;
}

void StoreFleet::losePower(std::size_t Number) {
  std::erase_if(m_Peers, [Number](const auto &Each) {
    return Each.first.m_Node == Number;
  });
  kill(Number);
}

void StoreFleet::freeze(std::size_t Number) { m_Nodes[Number].m_Frozen = true; }

void StoreFleet::thaw(std::size_t Number) {
  m_Nodes[Number].m_Frozen = false;
  handleInputs(Number);
}

void StoreFleet::cutFromStore(std::size_t Number) {
  m_Nodes[Number].m_CutFromStore = true;
  silencePendingCalls(Number);
}

void StoreFleet::reconnectToStore(std::size_t Number) {
  m_Nodes[Number].m_CutFromStore = false;
}

void StoreFleet::silencePendingCalls(std::size_t Number) {
  Member &Silent = m_Nodes[Number];
  Silent.m_Silenced.insert(Silent.m_PendingCalls.begin(),
                           Silent.m_PendingCalls.end());
}

void StoreFleet::cutFromNodes(std::size_t Number) {
  m_Nodes[Number].m_CutFromNodes = true;
}

void StoreFleet::drain(std::size_t Number) {
  m_Nodes[Number].m_Replica->startDrain(m_Now);
  settle(Number);
}

void StoreFleet::wakeWatchers(ReadConsistency Consistency) {
  std::vector<Watcher> Answered;
  std::erase_if(m_Watchers, [&](const Watcher &Each) {
    if (Each.m_Call.m_Consistency != Consistency ||
        !m_Store.isDue(Each.m_Call, m_Now))
      return false;
    Answered.push_back(Each);
    return true;
  });
  for (const Watcher &Each : Answered)
    reply(Each.m_Node, Each.m_Start, m_Store.changes(Each.m_Call, m_Now));
}

void StoreFleet::reply(std::size_t Number, std::uint64_t Start,
                       StoreReply Reply) {
  if (m_Nodes[Number].m_CutFromStore ||
      m_Nodes[Number].m_Silenced.contains(Reply.m_Call))
    return;
  // The head of a reply states its length.
  if (bytesOf(Reply.m_Records) > MaxReplyBytes) {
    Reply.m_Outcome = StoreOutcome::TooLarge;
    Reply.m_Records.clear();
  }
  const Duration Delay = StoreDelay / 2 + sendReply(Reply) +
                         transferBytes(Number, bytesOf(Reply.m_Records)) +
                         m_Nodes[Number].m_SlowReplies;
  m_Nodes[Number].m_Arriving.insert(Reply.m_Call);
  // What is underway when its call is abandoned still arrives.
  const bool IsExpected = m_Nodes[Number].m_PendingCalls.contains(Reply.m_Call);
  deliver(Number, Start, Delay,
          [this, Number, IsExpected,
           Reply = std::move(Reply)](StoreReplica &Replica) {
            m_Nodes[Number].m_Arriving.erase(Reply.m_Call);
            m_Nodes[Number].m_PendingCalls.erase(Reply.m_Call);
            if (IsExpected)
              Replica.onStoreReply(Reply, m_Now);
          });
}

void StoreFleet::failAfter(std::size_t Number, std::uint64_t Call,
                           Duration Timeout) {
  deliver(Number, m_Nodes[Number].m_Start, Timeout,
          [this, Number, Call](StoreReplica &Replica) {
            // A reply that is being received is waited for.
            if (m_Nodes[Number].m_Arriving.contains(Call) ||
                m_Nodes[Number].m_PendingCalls.erase(Call) == 0)
              return;
            StoreReply Lost;
            Lost.m_Call = Call;
            Replica.onStoreReply(Lost, m_Now);
          });
}

void StoreFleet::perform(std::size_t Number, const ListRecords &Command) {
  m_Nodes[Number].m_CallTimes.push_back(m_Now);
  if (Command.m_Prefix.empty() && Command.m_After.empty())
    m_Nodes[Number].m_ListingTimes.push_back(m_Now);
  m_PricedCalls += 1;
  Member &Caller = m_Nodes[Number];
  Caller.m_PendingCalls.insert(Command.m_Call);
  const std::uint64_t Start = Caller.m_Start;
  failAfter(Number, Command.m_Call, Command.m_Timeout);
  if (Caller.m_CutFromStore)
    return;
  at(m_Now + StoreDelay / 2, [this, Number, Start, Command] {
    if (m_StoreIsAway)
      return refuse(Number, Start, Command.m_Call);
    reply(Number, Start, m_Store.list(Command, m_Now));
  });
}

void StoreFleet::perform(std::size_t Number, const WatchRecords &Command) {
  m_Nodes[Number].m_CallTimes.push_back(m_Now);
  m_PricedCalls += Command.m_Consistency == ReadConsistency::Linearizable
                       ? 1
                       : SerializablePrice;
  Member &Caller = m_Nodes[Number];
  Caller.m_PendingCalls.insert(Command.m_Call);
  const std::uint64_t Start = Caller.m_Start;
  failAfter(Number, Command.m_Call, Command.m_Timeout);
  if (Caller.m_CutFromStore)
    return;
  at(m_Now + StoreDelay / 2, [this, Number, Start, Command] {
    if (m_StoreIsAway)
      return refuse(Number, Start, Command.m_Call);
    m_Watchers.push_back({Number, Start, Command});
    wakeWatchers(Command.m_Consistency);
  });
  at(m_Now + StoreDelay / 2 + Command.m_Wait, [this, Number, Start, Command] {
    const auto Removed = std::erase_if(m_Watchers, [&](const Watcher &Each) {
      return Each.m_Node == Number && Each.m_Start == Start &&
             Each.m_Call == Command;
    });
    if (Removed > 0)
      reply(Number, Start, m_Store.changes(Command, m_Now));
  });
}

void StoreFleet::perform(std::size_t Number, const AbandonCall &Command) {
  m_Nodes[Number].m_PendingCalls.erase(Command.m_Call);
  std::erase_if(m_Watchers, [&](const Watcher &Each) {
    return Each.m_Node == Number && Each.m_Call.m_Call == Command.m_Call;
  });
}

void StoreFleet::perform(std::size_t Number, const OpenControlLink &Command) {
  const auto Found =
      std::find_if(m_Nodes.begin(), m_Nodes.end(), [&](const Member &Each) {
        return addressOf(static_cast<std::size_t>(&Each - m_Nodes.data())) ==
               Command.m_Address;
      });
  const auto Peer = static_cast<std::size_t>(Found - m_Nodes.begin());
  const LinkEnd Own{Number, Command.m_Link};
  const auto Fail = [&](Duration Delay) {
    deliver(Number, m_Nodes[Number].m_Start, Delay,
            [this, Own](StoreReplica &Replica) {
              Replica.onLinkClosed(Own.m_Link, m_Now);
            });
  };
  if (Found == m_Nodes.end() || Found->m_Replica == nullptr)
    return Fail(2 * LinkDelay);
  if (Found->m_CutFromNodes || m_Nodes[Number].m_CutFromNodes)
    return Fail(ConnectTimeout);
  // The system accepts a connection also for a process that stands still.
  const LinkEnd Other{Peer, Found->m_NextInbound++};
  m_Peers.emplace(Own, Other);
  m_Peers.emplace(Other, Own);
  deliver(Number, m_Nodes[Number].m_Start, 2 * LinkDelay,
          [this, Own](StoreReplica &Replica) {
            if (m_Peers.contains(Own))
              Replica.onLinkOpened(Own.m_Link, m_Now);
          });
}

void StoreFleet::perform(std::size_t Number, const CloseControlLink &Command) {
  const auto Found = m_Peers.find(LinkEnd{Number, Command.m_Link});
  if (Found == m_Peers.end())
    return;
  const LinkEnd Other = Found->second;
  m_Peers.erase(Found);
  if (m_Nodes[Number].m_CutFromNodes || m_Nodes[Other.m_Node].m_CutFromNodes)
    return;
  deliver(Other.m_Node, m_Nodes[Other.m_Node].m_Start, LinkDelay,
          [this, Other](StoreReplica &Replica) {
            if (m_Peers.erase(Other) > 0)
              Replica.onLinkClosed(Other.m_Link, m_Now);
          });
}

void StoreFleet::perform(std::size_t Number, const SendControl &Command) {
  const auto Found = m_Peers.find(LinkEnd{Number, Command.m_Link});
  if (Found == m_Peers.end())
    return;
  const LinkEnd Other = Found->second;
  if (m_Nodes[Number].m_CutFromNodes || m_Nodes[Other.m_Node].m_CutFromNodes)
    return;
  Duration Delay = LinkDelay + m_Nodes[Other.m_Node].m_SlowMessages;
  std::size_t Bytes = 0;
  if (const auto *Push = std::get_if<RecordsPush>(&Command.m_Message))
    Bytes = bytesOf(Push->m_Records);
  if (const auto *Notice = std::get_if<RevisionNotice>(&Command.m_Message))
    Bytes = bytesOf(Notice->m_Changes.m_Patches);
  Delay += sendBytes(Number, Bytes) + transferBytes(Other.m_Node, Bytes);
  // A message does not overtake an earlier one on the same link.
  TimePoint &LastArrival = m_LastArrivals[Other];
  LastArrival = std::max(LastArrival, m_Now + Delay);
  Delay = LastArrival - m_Now;
  deliver(Other.m_Node, m_Nodes[Other.m_Node].m_Start, Delay,
          [this, Other, Message = Command.m_Message](StoreReplica &Replica) {
            if (m_Peers.contains(Other))
              Replica.onMessage(Other.m_Link, Message, m_Now);
          });
}

void StoreFleet::perform(std::size_t Number, const ApplyRecords &Command) {
  Member &Applying = m_Nodes[Number];
  const Revision Applied = Command.m_Configuration->m_Stamp.m_Version;
  if (Applied < Applying.m_AppliedRevision)
    m_Violations.push_back("node " + std::to_string(Number) +
                           " applies an earlier revision");
  Applying.m_AppliedRevision = Applied;
  Applying.m_InForce = Applying.m_Replica->registry().version();
  noteZones(Number, *Command.m_Configuration);
  if (Applying.m_FirstVersion == 0)
    Applying.m_FirstVersion = Applying.m_Replica->registry().version();
}

void StoreFleet::perform(std::size_t /*Number*/, const Event &Command) {
  m_LostFeeds += Command.m_Id == EventId::FeedLost ? 1 : 0;
  m_CatchUps += Command.m_Id == EventId::FollowerBehind ? 1 : 0;
}

} // namespace dandelionfall::test
