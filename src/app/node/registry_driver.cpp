#include "app/node/registry_driver.h"

#include "app/node/wake_up_timer.h"
#include "dandelionfall/core/error.h"
#include "dandelionfall/core/peer_pull.h"
#include "dandelionfall/core/registry.h"
#include "dandelionfall/core/store_reader.h"
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

net::HttpClientOptions storeOptions(const Settings &Config) {
  net::HttpClientOptions Options;
  Options.m_Address = Config.m_SourceAddress;
  Options.m_MaxConnections = 2;
  Options.m_MaxBodyBytes = MaxStoreResponseBytes;
  Options.m_ConnectTimeout = std::chrono::milliseconds(500);
  Options.m_TcpUserTimeout = StoreSilenceTimeout;
  return Options;
}

// All hosts have the same list of seeds, which can include this host.
std::vector<std::string> otherSeeds(const Settings &Config) {
  std::vector<std::string> Others = Config.m_Seeds;
  std::erase(Others, Config.m_LinkAddress);
  return Others;
}

core::RegistryOptions registryOptions(const Settings &Config) {
  core::RegistryOptions Options;
  Options.m_Zones = Config.m_Zones;
  Options.m_Retries = Config.m_Retries;
  Options.m_LinkPort = net::parseEndpoint(Config.m_LinkAddress).port();
  return Options;
}

} // namespace

class RegistryDriver::Impl
    : public std::enable_shared_from_this<RegistryDriver::Impl> {
public:
  Impl(boost::asio::io_context &Context, Blackboard &Board,
       std::function<void()> OnApplied)
      : m_Board(Board), m_OnApplied(std::move(OnApplied)),
        m_Registry(m_Decoder, registryOptions(Board.m_Settings)),
        m_Reader(Board.m_Incarnation.m_High),
        m_Store(Context, storeOptions(Board.m_Settings)),
        m_Timer(Context, [this] { onTimer(); }),
        m_Pull(otherSeeds(Board.m_Settings)), m_Context(Context) {}

  void start() {
    const core::TimePoint Now = monotonicNow();
    m_Reader.start(Now);
    m_Pull.start(Now);
    performCommands();
  }

  core::DistributionStatus status() const {
    core::DistributionStatus Result;
    Result.m_Held = {m_Registry.revision(), 0};
    Result.m_Applied = Result.m_Held;
    Result.m_Ready = m_Board.m_Ready.load();
    Result.m_Reader = true;
    Result.m_SourceCalls = m_Reader.calls();
    return Result;
  }

  void onInboundLink(boost::asio::ip::tcp::socket Socket) {
    const std::uint64_t Link = ++m_LastLink;
    m_Links.emplace(Link, net::Link::adopt(std::move(Socket),
                                           makeLinkHandlers(Link, nullptr)));
  }

  void onVersionsSeen() {
    PeerVersion Seen;
    while (m_Board.m_PeerVersions.try_pop(Seen))
      m_Pull.onPeerRevision(Seen.m_Version, Seen.m_Address,
                            m_Registry.revision(), monotonicNow());
    performCommands();
  }

private:
  void onTimer() {
    const core::TimePoint Now = monotonicNow();
    m_Reader.onTick(Now);
    if (m_Registry.onTick(Now))
      publish();
    if (const auto Peer = m_Pull.takeDuePeer(m_Registry.revision(), Now))
      pullFromPeer(*Peer);
    performCommands();
  }

  net::LinkHandlers makeLinkHandlers(std::uint64_t Link,
                                     std::function<void()> Opened) {
    net::LinkHandlers Handlers;
    Handlers.m_Opened = std::move(Opened);
    Handlers.m_Frame = [this, Link](std::string_view Bytes) {
      onFrame(Link, Bytes);
    };
    Handlers.m_Closed = [this, Link](const std::string & /*Reason*/) {
      m_Links.erase(Link);
    };
    return Handlers;
  }

  // At most one pull is open at a time.
  void pullFromPeer(const std::string &Address) {
    closeLink(std::exchange(m_PullLink, ++m_LastLink));
    const std::uint64_t Link = m_PullLink;
    auto Opened = [this, Link] {
      sendTo(Link, core::RecordsPull{m_Registry.revision()});
    };
    m_Links.emplace(Link,
                    net::Link::open(m_Context, Address, net::LinkKind::Control,
                                    makeLinkHandlers(Link, std::move(Opened))));
  }

  void closeLink(std::uint64_t Link) {
    const auto Found = m_Links.find(Link);
    if (Found == m_Links.end())
      return;
    Found->second->close();
    m_Links.erase(Found);
  }

  void sendTo(std::uint64_t Link, const core::ControlMessage &Message) {
    const auto Found = m_Links.find(Link);
    if (Found == m_Links.end())
      return;
    std::string Frame = net::encodeFrame(Message, m_Board.m_Clock.tick());
    m_Board.m_Metrics.add(Counter::ControlBytesSent, Frame.size());
    Found->second->send(std::move(Frame));
  }

  void onFrame(std::uint64_t Link, std::string_view Bytes) {
    m_Board.m_Metrics.add(Counter::ControlBytesReceived,
                          Bytes.size() + net::FrameHeaderBytes);
    const net::DecodedFrame Frame = net::decodeFrame(Bytes);
    m_Board.m_Clock.merge(Frame.m_LogicalTime);
    const auto *Message = std::get_if<core::ControlMessage>(&Frame.m_Message);
    if (Message == nullptr)
      throw core::Error(core::ErrorKind::MalformedMessage,
                        "traffic message on a control link",
                        "check that both nodes run compatible versions");
    if (const auto *Pull = std::get_if<core::RecordsPull>(Message))
      return sendTo(Link, m_Registry.makePush(Pull->m_Have));
    if (const auto *Push = std::get_if<core::RecordsPush>(Message))
      handlePush(Link, *Push);
  }

  void handlePush(std::uint64_t Link, const core::RecordsPush &Push) {
    closeLink(Link);
    m_Pull.onReply();
    const core::TimePoint Now = monotonicNow();
    if (m_Registry.applyPush(Push, Now))
      publish();
    m_Reader.onPeerRecords(m_Registry.revision(), Now);
    performCommands();
  }

  void performCommands() {
    for (;;) {
      auto Commands = m_Reader.takeCommands();
      if (Commands.empty())
        break;
      for (core::StoreReaderCommand &Command : Commands)
        std::visit([this](auto &Each) { perform(Each); }, Command);
    }
    for (const core::Event &Recorded : m_Registry.takeEvents())
      m_Board.m_Events.record(Recorded);
    m_Timer.arm(m_Reader.nextWakeUp());
    m_Timer.arm(m_Registry.nextWakeUp());
    m_Timer.arm(m_Pull.nextWakeUp());
  }

  template <typename Call> void callStore(const Call &Command) {
    m_Board.m_Metrics.add(Counter::SourceCalls);
    m_Store.send(
        platform::makeRequest(Command), Command.m_Timeout, true,
        [this, Number = Command.m_Call](const net::HttpResult &Result) {
          onStoreResult(Number, Result);
        });
  }

  void perform(const core::ListRecords &Command) { callStore(Command); }

  void perform(const core::WatchRecords &Command) { callStore(Command); }

  void onStoreResult(std::uint64_t Call, const net::HttpResult &Result) {
    core::StoreReply Reply;
    if (Result.m_Outcome == net::ExchangeOutcome::Answered) {
      Reply = platform::readReply(Call, *Result.m_Response);
    } else {
      Reply.m_Call = Call;
      Reply.m_Fault = Result.m_Detail;
    }
    m_Reader.onReply(std::move(Reply), monotonicNow());
    performCommands();
  }

  void perform(const core::RecordsRead &Command) {
    if (m_Registry.replaceAll(Command.m_Records, Command.m_AsOf,
                              monotonicNow()))
      publish();
  }

  void perform(const core::RecordsChanged &Command) {
    if (m_Registry.apply(Command.m_Records, Command.m_AsOf, monotonicNow()))
      publish();
  }

  void perform(const core::StoreReachability &Command) {
    m_Registry.onStoreReachable(Command.m_Reachable, monotonicNow());
  }

  void perform(const core::Event &Command) { m_Board.m_Events.record(Command); }

  void publish() {
    core::ConfigurationPtr Config = m_Registry.configuration();
    if (Config == nullptr)
      return;
    m_Board.m_Configuration.store(std::move(Config));
    if (!m_Board.m_Ready.exchange(true))
      m_Board.m_Events.record({core::EventId::ProcessReady, ""});
    m_OnApplied();
  }

  Blackboard &m_Board;
  std::function<void()> m_OnApplied;
  platform::PlatformRecordDecoder m_Decoder;
  core::Registry m_Registry;
  core::StoreReader m_Reader;
  net::HttpClient m_Store;
  WakeUpTimer m_Timer;
  core::PeerPull m_Pull;
  boost::asio::io_context &m_Context;
  std::unordered_map<std::uint64_t, std::shared_ptr<net::Link>> m_Links;
  std::uint64_t m_LastLink = 0;
  /// Link of the latest pull; 0 before the first one.
  std::uint64_t m_PullLink = 0;
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

// Peers are notified of a planned stop on their traffic links.
void RegistryDriver::startDrain() {}

core::DistributionStatus RegistryDriver::status() const {
  return m_Impl->status();
}

} // namespace dandelionfall::app
