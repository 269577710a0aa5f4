#include "app/node/control_driver.h"

#include "app/node/source_request.h"
#include "app/node/wake_up_timer.h"
#include "dandelionfall/core/error.h"
#include "dandelionfall/net/codec.h"
#include "dandelionfall/net/http_client.h"
#include "dandelionfall/net/link.h"

#include <unordered_map>
#include <utility>

namespace dandelionfall::app {

namespace {

using core::LinkId;
using core::TimePoint;

core::DistributionOptions distributionOptions(const Blackboard &Board) {
  const Settings &Config = Board.m_Settings;
  core::DistributionOptions Options;
  Options.m_Host = Config.m_Host;
  Options.m_Zone = Config.m_Zone;
  Options.m_LinkAddress = Config.m_LinkAddress;
  Options.m_Incarnation = Board.m_Incarnation;
  Options.m_Seed = Board.m_Incarnation.m_High;
  Options.m_SourceBudget = Config.m_SourceBudget;
  Options.m_AssumedHosts = Config.m_AssumedHosts;
  Options.m_Seeds = Config.m_Seeds;
  Options.m_Holders = Config.m_Holders;
  return Options;
}

net::HttpClientOptions sourceOptions(const Settings &Config) {
  net::HttpClientOptions Options;
  Options.m_Address = Config.m_SourceAddress;
  Options.m_MaxConnections = 8;
  Options.m_MaxBodyBytes = core::MaxValueBytes;
  return Options;
}

} // namespace

class ControlDriver::Impl
    : public std::enable_shared_from_this<ControlDriver::Impl> {
public:
  Impl(boost::asio::io_context &Context, Blackboard &Board,
       std::function<void()> OnApplied)
      : m_Context(Context), m_Board(Board), m_OnApplied(std::move(OnApplied)),
        m_Distribution(distributionOptions(Board)),
        m_Source(Context, sourceOptions(Board.m_Settings)),
        m_Timer(Context, [this] { onTimer(); }) {}

  void start() {
    m_Distribution.start(monotonicNow());
    performCommands();
  }

  void onInboundLink(boost::asio::ip::tcp::socket Socket) {
    const LinkId Link = core::FirstInboundLink + m_InboundCount++;
    m_Links.emplace(Link, net::Link::adopt(std::move(Socket),
                                           makeLinkHandlers(Link, nullptr)));
    m_Distribution.onLinkOpened(Link, true, monotonicNow());
    performCommands();
  }

  void onVersionsSeen() {
    PeerVersion Seen;
    while (m_Board.m_PeerVersions.try_pop(Seen))
      m_Distribution.onNewerVersionSeen(Seen.m_Version, Seen.m_Address,
                                        monotonicNow());
    performCommands();
  }

  void startDrain() {
    m_Distribution.startDrain(monotonicNow());
    performCommands();
  }

  core::DistributionStatus status() const { return m_Distribution.status(); }

private:
  net::LinkHandlers makeLinkHandlers(LinkId Link,
                                     std::function<void()> Opened) {
    net::LinkHandlers Handlers;
    Handlers.m_Opened = std::move(Opened);
    Handlers.m_Frame = [this, Link](std::string_view Bytes) {
      onFrame(Link, Bytes);
    };
    Handlers.m_Closed = [this, Link](const std::string & /*Reason*/) {
      m_Links.erase(Link);
      m_Distribution.onLinkClosed(Link, monotonicNow());
      performCommands();
    };
    return Handlers;
  }

  void onFrame(LinkId Link, std::string_view Bytes) {
    m_Board.m_Metrics.add(Counter::ControlBytesReceived,
                          Bytes.size() + net::FrameHeaderBytes);
    const net::DecodedFrame Frame = net::decodeFrame(Bytes);
    m_Board.m_Clock.merge(Frame.m_LogicalTime);
    const auto *Message = std::get_if<core::ControlMessage>(&Frame.m_Message);
    if (Message == nullptr)
      throw core::Error(core::ErrorKind::MalformedMessage,
                        "traffic message on a control link",
                        "check that both nodes run compatible versions");
    m_Distribution.onMessage(Link, *Message, monotonicNow());
    performCommands();
  }

  void onTimer() {
    m_Distribution.onTick(monotonicNow());
    performCommands();
  }

  void performCommands() {
    if (std::exchange(m_Performing, true))
      return;
    for (;;) {
      const auto Commands = m_Distribution.takeCommands();
      if (Commands.empty())
        break;
      for (const core::DistributionCommand &Command : Commands)
        std::visit([this](const auto &Each) { perform(Each); }, Command);
    }
    m_Performing = false;
    m_Timer.arm(m_Distribution.nextWakeUp());
  }

  void perform(const core::CallSource &Command) {
    m_Board.m_Metrics.add(Counter::SourceCalls);
    m_Source.send(makeSourceRequest(Command), sourceTimeout(Command), true,
                  [this, Id = Command.m_Id](const net::HttpResult &Result) {
                    m_Distribution.onSourceReply(makeSourceReply(Id, Result),
                                                 monotonicNow());
                    performCommands();
                  });
  }

  void perform(const core::OpenControlLink &Command) {
    const LinkId Link = Command.m_Link;
    m_Links.emplace(Link, net::Link::open(m_Context, Command.m_Address,
                                          net::LinkKind::Control,
                                          makeLinkHandlers(Link, [this, Link] {
                                            m_Distribution.onLinkOpened(
                                                Link, false, monotonicNow());
                                            performCommands();
                                          })));
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

  void perform(const core::ApplyConfiguration &Command) {
    m_Board.m_Configuration.store(Command.m_Configuration);
    m_OnApplied();
  }

  void perform(const core::ApplyHostList &Command) {
    m_Board.m_Hosts.store(Command.m_List);
    m_OnApplied();
  }

  void perform(const core::BecomeReady & /*Command*/) {
    m_Board.m_Ready.store(true);
    m_Board.m_Events.record({core::EventId::ProcessReady, ""});
  }

  void perform(const core::Event &Command) { m_Board.m_Events.record(Command); }

  boost::asio::io_context &m_Context;
  Blackboard &m_Board;
  std::function<void()> m_OnApplied;
  core::Distribution m_Distribution;
  net::HttpClient m_Source;
  WakeUpTimer m_Timer;
  std::unordered_map<LinkId, std::shared_ptr<net::Link>> m_Links;
  LinkId m_InboundCount = 0;
  bool m_Performing = false;
};

ControlDriver::ControlDriver(boost::asio::io_context &Context,
                             Blackboard &Board, std::function<void()> OnApplied)
    : m_Impl(std::make_shared<Impl>(Context, Board, std::move(OnApplied))) {}

ControlDriver::~ControlDriver() = default;

void ControlDriver::start() { m_Impl->start(); }

void ControlDriver::onInboundLink(boost::asio::ip::tcp::socket Socket) {
  m_Impl->onInboundLink(std::move(Socket));
}

void ControlDriver::onVersionsSeen() { m_Impl->onVersionsSeen(); }

void ControlDriver::startDrain() { m_Impl->startDrain(); }

core::DistributionStatus ControlDriver::status() const {
  return m_Impl->status();
}

} // namespace dandelionfall::app
