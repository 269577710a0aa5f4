#include "app/node/registry_driver.h"

#include "app/node/wake_up_timer.h"
#include "dandelionfall/core/error.h"
#include "dandelionfall/core/machine_limits.h"
#include "dandelionfall/core/store_replica.h"
#include "dandelionfall/net/address.h"
#include "dandelionfall/net/codec.h"
#include "dandelionfall/net/http_client.h"
#include "dandelionfall/net/link.h"
#include "platform/record_decoder.h"
#include "platform/store_calls.h"

#include <unordered_map>
#include <utility>

namespace dandelionfall::app {

namespace {

/// Maximum size of a store response: about 1 MB of values as base64 text.
constexpr std::uint64_t MaxStoreResponseBytes = 4U << 20U;
/// Time without a TCP acknowledgement after which a connection to the store is
/// closed; well below the timeout of a watch.
constexpr std::chrono::milliseconds StoreSilenceTimeout{700};
/// Time without a byte of a response after which a call fails. How long a large
/// response takes depends on the link; one that is given up is read again, and
/// is larger by then.
constexpr std::chrono::milliseconds StoreBodySilenceTimeout{750};
/// Time limit of a response of the maximum size on 10 Mbit/s.
constexpr std::chrono::seconds MaxStoreBodyTime{5};
/// Time that one input may occupy the control thread, or delay its timer,
/// without an event. Notices of other nodes arrive each 250 ms.
constexpr core::Duration LongInput = std::chrono::milliseconds(100);

net::HttpClientOptions storeOptions(const Settings &Config) {
  net::HttpClientOptions Options;
  Options.m_Address = Config.m_SourceAddress;
  // The watch of all records, the call that replaces it, and the watches of
  // prefixes.
  Options.m_MaxConnections = 2 + platform::urgentPrefixes().size();
  Options.m_MaxBodyBytes = MaxStoreResponseBytes;
  Options.m_ConnectTimeout = std::chrono::milliseconds(500);
  Options.m_TcpUserTimeout = StoreSilenceTimeout;
  Options.m_BodySilenceTimeout = StoreBodySilenceTimeout;
  Options.m_MaxBodyTime = MaxStoreBodyTime;
  return Options;
}

core::RegistryOptions registryOptions(const Settings &Config) {
  core::RegistryOptions Options;
  Options.m_Zones = Config.m_Zones;
  Options.m_Retries = Config.m_Retries;
  Options.m_LinkPort = net::parseEndpoint(Config.m_LinkAddress).port();
  Options.m_DefersLargeRecords = true;
  return Options;
}

core::StoreReplicaOptions replicaOptions(const Blackboard &Board) {
  const Settings &Config = Board.m_Settings;
  core::StoreReplicaOptions Options;
  Options.m_Registry = registryOptions(Config);
  Options.m_LinkAddress = Config.m_LinkAddress;
  Options.m_Zone = Config.m_Zone;
  Options.m_Seeds = Config.m_Seeds;
  Options.m_UrgentPrefixes = platform::urgentPrefixes();
  Options.m_RandomSeed = Board.m_Incarnation.m_High;
  Options.m_MaxFollowers = core::maxFollowers(Config.m_Machine);
  Options.m_ProvesFreshness = needsProofs(Config);
  Options.m_StoreKeepsWrites = Config.m_SourceKeepsWrites;
  return Options;
}

} // namespace

class RegistryDriver::Impl
    : public std::enable_shared_from_this<RegistryDriver::Impl> {
public:
  Impl(boost::asio::io_context &Context, Blackboard &Board,
       std::function<void()> OnApplied)
      : m_Board(Board), m_OnApplied(std::move(OnApplied)),
        m_Replica(m_Decoder, replicaOptions(Board)),
        m_Store(Context, storeOptions(Board.m_Settings)),
        m_Timer(Context, [this] { onTimer(); }), m_Context(Context) {}

  void start() {
    handle("start", [this](TimePoint Now) { m_Replica.start(Now); });
  }

  core::DistributionStatus status() const {
    core::DistributionStatus Result;
    const core::Revision Held = m_Replica.registry().revision();
    Result.m_Held = {core::counterOf(Held), 0};
    Result.m_StoreHistory = core::historyOf(Held);
    Result.m_Applied = Result.m_Held;
    Result.m_Ready = m_Board.m_Ready.load();
    const core::WatchMode Mode = m_Replica.mode();
    Result.m_Reader =
        Mode == core::WatchMode::Alone || Mode == core::WatchMode::Publishing;
    Result.m_Links = static_cast<std::uint32_t>(m_Links.size());
    Result.m_SourceCalls = m_Replica.calls();
    Result.m_WatchMode = core::nameOf(m_Replica.mode());
    Result.m_Followers = static_cast<std::uint32_t>(m_Replica.followers());
    Result.m_ConfigurationVersion = m_Replica.registry().version();
    const TimePoint Now = monotonicNow();
    if (const auto ConfirmedAt = m_Replica.confirmedAt(Now))
      Result.m_ConfirmedAgo = Now - *ConfirmedAt;
    if (const auto &Proof = m_Replica.proof())
      Result.m_ProofAge = Now - Proof->m_AsOf;
    return Result;
  }

  void onInboundLink(boost::asio::ip::tcp::socket Socket) {
    const core::LinkId Link = core::FirstInboundLink + m_InboundCount++;
    m_Links.emplace(Link, net::Link::adopt(std::move(Socket),
                                           makeLinkHandlers(Link, nullptr)));
  }

  void onVersionsSeen() {
    handle("peer-versions", [this](TimePoint Now) {
      PeerVersion Seen;
      while (m_Board.m_PeerVersions.try_pop(Seen))
        m_Replica.onPeerRevision(Seen.m_Version, Seen.m_Address, Now);
    });
  }

  void startDrain() {
    handle("planned-stop",
           [this](TimePoint Now) { m_Replica.startDrain(Now); });
  }

private:
  using TimePoint = core::TimePoint;

  /// Passes an input to the replica, performs what follows from it, and reports
  /// if that takes long: all other inputs wait meanwhile.
  template <typename Action> void handle(const char *Input, Action Handle) {
    const TimePoint Start = monotonicNow();
    Handle(Start);
    performCommands();
    const core::Duration Elapsed = monotonicNow() - Start;
    if (Elapsed < LongInput)
      return;
    m_Board.m_Events.record(
        {core::EventId::ControlThreadBusy,
         std::string("input=") + Input +
             " elapsed_us=" + std::to_string(Elapsed.count()) + " revision=" +
             core::formatRevision(m_Replica.registry().revision())});
  }

  void onTimer() {
    handle("timer", [this](TimePoint Now) {
      const std::optional<TimePoint> Due = m_Replica.nextWakeUp();
      if (Due && Now - *Due >= LongInput)
        m_Board.m_Events.record(
            {core::EventId::ControlTimerLate,
             "late_us=" + std::to_string((Now - *Due).count())});
      m_Replica.onTick(Now);
    });
  }

  net::LinkHandlers makeLinkHandlers(core::LinkId Link,
                                     std::function<void()> Opened) {
    net::LinkHandlers Handlers;
    Handlers.m_Opened = std::move(Opened);
    Handlers.m_Frame = [this, Link](std::string_view Bytes) {
      onFrame(Link, Bytes);
    };
    Handlers.m_Closed = [this, Link](const std::string & /*Reason*/) {
      m_Links.erase(Link);
      handle("closed-link", [this, Link](TimePoint Now) {
        m_Replica.onLinkClosed(Link, Now);
      });
    };
    return Handlers;
  }

  void onFrame(core::LinkId Link, std::string_view Bytes) {
    handle("node-message", [&](TimePoint Now) {
      m_Replica.onMessage(Link, decode(Bytes), Now);
    });
  }

  core::ControlMessage decode(std::string_view Bytes) {
    m_Board.m_Metrics.add(Counter::ControlBytesReceived,
                          Bytes.size() + net::FrameHeaderBytes);
    net::DecodedFrame Frame = net::decodeFrame(Bytes);
    m_Board.m_Clock.merge(Frame.m_LogicalTime);
    auto *Message = std::get_if<core::ControlMessage>(&Frame.m_Message);
    if (Message == nullptr)
      throw core::Error(core::ErrorKind::MalformedMessage,
                        "traffic message on a control link",
                        "check that both nodes run compatible versions");
    return std::move(*Message);
  }

  void performCommands() {
    for (;;) {
      const auto Commands = m_Replica.takeCommands();
      if (Commands.empty())
        break;
      for (const core::StoreReplicaCommand &Command : Commands)
        std::visit([this](const auto &Each) { perform(Each); }, Command);
    }
    m_Timer.arm(m_Replica.nextWakeUp());
  }

  template <typename Call> void callStore(const Call &Command) {
    m_Board.m_Metrics.add(Counter::SourceCalls);
    const std::uint64_t Number = Command.m_Call;
    const net::ExchangeId Exchange =
        m_Store.send(platform::makeRequest(Command), Command.m_Timeout, true,
                     [this, Number](const net::HttpResult &Result) {
                       onStoreResult(Number, Result);
                     });
    m_PendingCalls.emplace(Number, Exchange);
  }

  void perform(const core::ListRecords &Command) { callStore(Command); }

  void perform(const core::WatchRecords &Command) { callStore(Command); }

  void perform(const core::AbandonCall &Command) {
    const auto Found = m_PendingCalls.find(Command.m_Call);
    if (Found != m_PendingCalls.end())
      m_Store.cancel(Found->second);
  }

  void onStoreResult(std::uint64_t Call, const net::HttpResult &Result) {
    m_PendingCalls.erase(Call);
    handle("store-reply", [&](TimePoint Now) {
      core::StoreReply Reply;
      if (Result.m_Outcome == net::ExchangeOutcome::Answered) {
        Reply = platform::readReply(Call, *Result.m_Response);
      } else {
        Reply.m_Call = Call;
        Reply.m_Fault = Result.m_Detail;
        if (Result.m_TooLarge)
          Reply.m_Outcome = core::StoreOutcome::TooLarge;
      }
      m_Replica.onStoreReply(std::move(Reply), Now);
    });
  }

  void perform(const core::OpenControlLink &Command) {
    const core::LinkId Link = Command.m_Link;
    auto Opened = [this, Link] {
      handle("opened-link", [this, Link](TimePoint Now) {
        m_Replica.onLinkOpened(Link, Now);
      });
    };
    m_Links.emplace(Link, net::Link::open(m_Context, Command.m_Address,
                                          net::LinkKind::Control,
                                          makeLinkHandlers(Link, Opened)));
  }

  void perform(const core::CloseControlLink &Command) {
    const auto Found = m_Links.find(Command.m_Link);
    if (Found == m_Links.end())
      return;
    Found->second->close();
    m_Links.erase(Found);
  }

  void perform(const core::SendControl &Command) {
    const auto Found = m_Links.find(Command.m_Link);
    if (Found == m_Links.end())
      return;
    std::string Frame =
        net::encodeFrame(Command.m_Message, m_Board.m_Clock.tick());
    m_Board.m_Metrics.add(Counter::ControlBytesSent, Frame.size());
    Found->second->send(std::move(Frame));
  }

  void perform(const core::ApplyRecords &Command) {
    m_Board.m_Configuration.store(Command.m_Configuration);
    if (!m_Board.m_Ready.exchange(true))
      m_Board.m_Events.record({core::EventId::ProcessReady, ""});
    m_OnApplied();
  }

  void perform(const core::FreshnessProof &Command) {
    m_Board.m_Proof.store(
        std::make_shared<const core::FreshnessProof>(Command));
  }

  void perform(const core::Event &Command) { m_Board.m_Events.record(Command); }

  Blackboard &m_Board;
  std::function<void()> m_OnApplied;
  platform::PlatformRecordDecoder m_Decoder;
  core::StoreReplica m_Replica;
  net::HttpClient m_Store;
  /// Exchanges of calls without a reply, by the number of the call.
  std::unordered_map<std::uint64_t, net::ExchangeId> m_PendingCalls;
  WakeUpTimer m_Timer;
  boost::asio::io_context &m_Context;
  std::unordered_map<core::LinkId, std::shared_ptr<net::Link>> m_Links;
  std::uint64_t m_InboundCount = 0;
};

RegistryDriver::RegistryDriver(boost::asio::io_context &Context,
                               Blackboard &Board,
                               std::function<void()> OnApplied)
    : m_Impl(std::make_shared<Impl>(Context, Board, std::move(OnApplied))) {}

RegistryDriver::~RegistryDriver() = default;

void RegistryDriver::start() { m_Impl->start(); }

void RegistryDriver::onInboundLink(boost::asio::ip::tcp::socket Socket) {
  m_Impl->onInboundLink(std::move(Socket));
}

void RegistryDriver::onVersionsSeen() { m_Impl->onVersionsSeen(); }

void RegistryDriver::startDrain() { m_Impl->startDrain(); }

core::DistributionStatus RegistryDriver::status() const {
  return m_Impl->status();
}

} // namespace dandelionfall::app
