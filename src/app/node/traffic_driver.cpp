#include "app/node/traffic_driver.h"

#include "app/node/caller_response.h"
#include "app/node/link_watch.h"
#include "app/node/wake_up_timer.h"
#include "dandelionfall/core/error.h"
#include "dandelionfall/core/gate.h"
#include "dandelionfall/core/ingress.h"
#include "dandelionfall/net/codec.h"
#include "dandelionfall/net/http_client.h"
#include "dandelionfall/net/http_server.h"
#include "dandelionfall/net/link.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <unordered_map>
#include <utility>

namespace dandelionfall::app {

namespace {

using core::LinkId;
using core::TimePoint;

// What a caller is told that comes before the first version or during a planned
// stop.
constexpr core::Duration NotReadyRetryAfter = std::chrono::seconds(1);
// Interval at which a planned stop looks whether the callers' answers are
// written.
constexpr std::chrono::milliseconds DrainPollInterval{20};
// Interval at which silent links of other nodes are looked for.
constexpr std::chrono::seconds LinkSweepInterval{1};

core::IngressOptions ingressOptions(const Blackboard &Board) {
  return {Board.m_Settings.m_Host, Board.m_Settings.m_Zone, Board.m_Incarnation,
          Board.m_Incarnation.m_Low};
}

core::GateOptions gateOptions(const Blackboard &Board) {
  return {Board.m_Settings.m_Host, Board.m_Settings.m_Zone,
          Board.m_Settings.m_TargetName, Board.m_Incarnation};
}

core::TargetFailure failureOf(net::HttpExchange End) {
  switch (End) {
  case net::HttpExchange::NotSent:
    return core::TargetFailure::NotSent;
  case net::HttpExchange::TimedOut:
    return core::TargetFailure::TimedOut;
  case net::HttpExchange::Cancelled:
    return core::TargetFailure::Abandoned;
  case net::HttpExchange::Answered:
  case net::HttpExchange::Reset:
  case net::HttpExchange::Malformed:
    break;
  }
  return core::TargetFailure::Reset;
}

// Scans all targets, which happens at most once for each newer version seen.
std::string nodeAddressOf(const core::Configuration &Config,
                          const std::string &Host) {
  for (const auto &[Name, ServicePtr] : Config.m_Services) {
    for (const core::Target &Each : ServicePtr->m_Targets) {
      if (Each.m_Host == Host)
        return Each.m_GateAddress;
    }
  }
  return {};
}

Counter counterOf(core::CallOutcome Outcome) {
  switch (Outcome) {
  case core::CallOutcome::Answered:
    return Counter::CallsAnswered;
  case core::CallOutcome::NotRun:
    return Counter::CallsNotRun;
  case core::CallOutcome::Unknown:
    return Counter::CallsUnknown;
  case core::CallOutcome::NoRoute:
    break;
  }
  return Counter::CallsNoRoute;
}

} // namespace

class TrafficDriver::Impl
    : public std::enable_shared_from_this<TrafficDriver::Impl> {
public:
  Impl(boost::asio::io_context &Context, Blackboard &Board,
       TrafficDriverHandlers Handlers);

  void onConfiguration();
  void onInboundLink(boost::asio::ip::tcp::socket Socket);
  void startDrain();

private:
  using LinkPtr = std::shared_ptr<net::Link>;

  void startServer();
  void onCall(core::CallId Call, core::HttpRequestPtr Request);
  bool refuseIfLarge(core::CallId Call, const core::HttpRequest &Request);
  void reportCallerError(const std::string &Fault);
  void onCallerGone(core::CallId Call);
  void onFrame(LinkId Link, bool Inbound, std::string_view Bytes);
  void onLinkClosed(LinkId Link, bool Inbound, const std::string &Reason);
  void onTimer();
  void finishDrainIfDone();
  void waitForLastWrites();
  void sweepLinks();

  void pump();
  void publishLoad();

  // One overload a command; ingress and gate share some command types but not
  // their links.
  void perform(const core::OpenTrafficLink &Command);
  void perform(const core::AnswerCaller &Command);
  void perform(const core::NewerVersionSeen &Command);
  void perform(const core::PeerVersionSeen &Command);
  void perform(const core::StartTarget &Command);
  void perform(const core::CancelTarget &Command);
  void perform(const core::GateDrained &Command);
  void perform(const core::Event &Command);
  void performIngress(const core::IngressCommand &Command);
  void performGate(const core::GateCommand &Command);
  void sendAsIngress(const core::SendTraffic &Command);
  void sendAsGate(const core::SendTraffic &Command);
  void closeAsIngress(LinkId Link);
  void closeAsGate(LinkId Link);
  void openLocalLink(LinkId Link);
  void onTargetResult(const core::RequestId &Id, TimePoint Started,
                      const net::HttpResult &Result);
  std::string encode(const core::TrafficMessage &Message);

  boost::asio::io_context &m_Context;
  Blackboard &m_Board;
  TrafficDriverHandlers m_Handlers;
  core::ConfigurationPtr m_Configuration;
  core::Ingress m_Ingress;
  core::Gate m_Gate;
  std::optional<net::HttpServer> m_Server;
  std::optional<net::HttpClient> m_Target;
  WakeUpTimer m_Timer;
  boost::asio::steady_timer m_DrainTimer;
  boost::asio::steady_timer m_SweepTimer;
  LinkWatch m_Watch;
  std::unordered_map<LinkId, LinkPtr> m_Outbound;
  std::unordered_map<LinkId, LinkPtr> m_Inbound;
  /// Hosts that the inbound links greeted from.
  std::unordered_map<LinkId, std::string> m_InboundHosts;
  /// Links from this node's ingress to its own gate, which need no connection.
  std::unordered_map<LinkId, LinkId> m_LocalToGate;
  std::unordered_map<LinkId, LinkId> m_LocalToIngress;
  std::unordered_map<core::RequestId, net::ExchangeId> m_Exchanges;
  std::unordered_map<core::CallId, TimePoint> m_CallStarts;
  LinkId m_LastInbound = 0;
  bool m_Pumping = false;
  bool m_Draining = false;
  bool m_GateDrained = false;
  bool m_DrainReported = false;
};

TrafficDriver::Impl::Impl(boost::asio::io_context &Context, Blackboard &Board,
                          TrafficDriverHandlers Handlers)
    : m_Context(Context), m_Board(Board), m_Handlers(std::move(Handlers)),
      m_Ingress(ingressOptions(Board)), m_Gate(gateOptions(Board)),
      m_Timer(Context, [this] { onTimer(); }), m_DrainTimer(Context),
      m_SweepTimer(Context) {
  startServer();
  sweepLinks();
  if (Board.m_Settings.m_TargetAddress.empty())
    return;
  net::HttpClientOptions Options;
  Options.m_Address = Board.m_Settings.m_TargetAddress;
  // The gate keeps to the target's published connections; this bound only
  // catches faults.
  Options.m_MaxConnections = 1024;
  Options.m_KeptClosed = [this] {
    m_Gate.onTargetConnectionClosed(monotonicNow());
    pump();
  };
  m_Target.emplace(Context, Options);
}

void TrafficDriver::Impl::startServer() {
  net::HttpServerOptions Options;
  Options.m_Address = m_Board.m_Settings.m_CallerAddress;
  net::HttpServerHandlers ServerHandlers;
  ServerHandlers.m_Request = [this](core::CallId Call,
                                    core::HttpRequestPtr Request) {
    onCall(Call, std::move(Request));
  };
  ServerHandlers.m_Gone = [this](core::CallId Call) { onCallerGone(Call); };
  ServerHandlers.m_Rejected = [this](const std::string &Fault) {
    reportCallerError(Fault);
  };
  m_Server.emplace(m_Context, Options, std::move(ServerHandlers));
}

void TrafficDriver::Impl::onConfiguration() {
  const TimePoint Now = monotonicNow();
  core::ConfigurationPtr Config = m_Board.m_Configuration.load();
  if (Config != nullptr && Config != m_Configuration) {
    m_Configuration = std::move(Config);
    m_Ingress.onConfiguration(m_Configuration, Now);
    m_Gate.onConfiguration(m_Configuration, Now);
  }
  const core::HostListPtr Hosts = m_Board.m_Hosts.load();
  if (Hosts != nullptr) {
    core::HostNames Leaving = core::leavingHosts(*Hosts);
    m_Gate.onHostLeaving(Leaving.contains(m_Board.m_Settings.m_Host), Now);
    m_Ingress.onLeavingHosts(std::move(Leaving), Now);
  }
  pump();
}

void TrafficDriver::Impl::onCall(core::CallId Call,
                                 core::HttpRequestPtr Request) {
  const TimePoint Now = monotonicNow();
  m_CallStarts.emplace(Call, Now);
  if (!m_Board.m_Ready.load() || m_Draining) {
    perform(core::AnswerCaller{
        Call, core::CallOutcome::NotRun, nullptr, NotReadyRetryAfter,
        m_Draining ? "the node is stopping" : "the node is not ready"});
    return;
  }
  if (refuseIfLarge(Call, *Request))
    return;
  const auto Deadline = callerDeadline(*Request);
  m_Ingress.onCall(Call, std::move(Request), Deadline, Now);
  pump();
}

bool TrafficDriver::Impl::refuseIfLarge(core::CallId Call,
                                        const core::HttpRequest &Request) {
  if (m_Configuration == nullptr)
    return false;
  const auto Refused = refuseLargeBody(*m_Configuration, Request);
  if (!Refused.has_value())
    return false;
  m_CallStarts.erase(Call);
  reportCallerError("a body larger than the profile allows");
  m_Server->respond(Call, *Refused);
  return true;
}

void TrafficDriver::Impl::reportCallerError(const std::string &Fault) {
  m_Board.m_Metrics.add(Counter::CallerErrors);
  m_Board.m_Events.record(
      {core::EventId::CallerRejected, "fault=\"" + Fault + "\""});
}

void TrafficDriver::Impl::onCallerGone(core::CallId Call) {
  m_CallStarts.erase(Call);
  m_Ingress.onCallerGone(Call, monotonicNow());
  pump();
}

void TrafficDriver::Impl::onInboundLink(boost::asio::ip::tcp::socket Socket) {
  const LinkId Link = ++m_LastInbound;
  if (!m_Watch.admit(Link, monotonicNow()))
    return;
  net::LinkHandlers Handlers;
  Handlers.m_Frame = [this, Link](std::string_view Bytes) {
    onFrame(Link, true, Bytes);
  };
  Handlers.m_Closed = [this, Link](const std::string &Reason) {
    onLinkClosed(Link, true, Reason);
  };
  m_Inbound.emplace(Link,
                    net::Link::adopt(std::move(Socket), std::move(Handlers)));
}

void TrafficDriver::Impl::onFrame(LinkId Link, bool Inbound,
                                  std::string_view Bytes) {
  m_Board.m_Metrics.add(Counter::TrafficBytesReceived,
                        Bytes.size() + net::FrameHeaderBytes);
  // A frame that does not decode closes the link, which the link itself does on
  // an error.
  const net::DecodedFrame Frame = net::decodeFrame(Bytes);
  m_Board.m_Clock.merge(Frame.m_LogicalTime);
  const auto *Message = std::get_if<core::TrafficMessage>(&Frame.m_Message);
  if (Message == nullptr)
    throw core::Error(core::ErrorKind::MalformedMessage,
                      "control message on a traffic link",
                      "check that both nodes run compatible versions");
  const TimePoint Now = monotonicNow();
  if (Inbound) {
    if (const auto *Hello = std::get_if<core::TrafficHello>(Message))
      m_InboundHosts[Link] = Hello->m_Host;
    m_Watch.onFrame(Link, Now);
    m_Gate.onMessage(Link, *Message, Now);
  } else {
    m_Ingress.onMessage(Link, *Message, Now);
  }
  pump();
}

void TrafficDriver::Impl::onLinkClosed(LinkId Link, bool Inbound,
                                       const std::string & /*Reason*/) {
  const TimePoint Now = monotonicNow();
  if (Inbound) {
    m_Watch.onClosed(Link);
    m_Inbound.erase(Link);
    m_InboundHosts.erase(Link);
    m_Gate.onLinkClosed(Link, Now);
  } else {
    m_Outbound.erase(Link);
    m_Ingress.onLinkClosed(Link, Now);
  }
  pump();
}

void TrafficDriver::Impl::onTimer() {
  const TimePoint Now = monotonicNow();
  m_Ingress.onTick(Now);
  m_Gate.onTick(Now);
  pump();
}

void TrafficDriver::Impl::startDrain() {
  if (m_Draining)
    return;
  m_Draining = true;
  m_Server->startDrain();
  m_Gate.startDrain(monotonicNow());
  pump();
}

void TrafficDriver::Impl::finishDrainIfDone() {
  if (!m_Draining || !m_GateDrained || m_DrainReported ||
      m_Ingress.openCalls() > 0)
    return;
  m_DrainReported = true;
  waitForLastWrites();
}

void TrafficDriver::Impl::waitForLastWrites() {
  if (m_Server->busyConnections() == 0)
    return m_Handlers.m_Drained();
  m_DrainTimer.expires_after(DrainPollInterval);
  m_DrainTimer.async_wait([this](boost::system::error_code Code) {
    if (!Code)
      waitForLastWrites();
  });
}

void TrafficDriver::Impl::sweepLinks() {
  for (const LinkId Link : m_Watch.findSilent(monotonicNow()))
    onLinkClosed(Link, true, "silent");
  m_SweepTimer.expires_after(LinkSweepInterval);
  m_SweepTimer.async_wait([this](boost::system::error_code Code) {
    if (!Code)
      sweepLinks();
  });
}

void TrafficDriver::Impl::pump() {
  if (m_Pumping)
    return;
  m_Pumping = true;
  for (;;) {
    const auto FromIngress = m_Ingress.takeCommands();
    const auto FromGate = m_Gate.takeCommands();
    if (FromIngress.empty() && FromGate.empty())
      break;
    for (const core::IngressCommand &Command : FromIngress)
      performIngress(Command);
    for (const core::GateCommand &Command : FromGate)
      performGate(Command);
  }
  m_Pumping = false;
  m_Timer.arm(m_Ingress.nextWakeUp());
  m_Timer.arm(m_Gate.nextWakeUp());
  publishLoad();
  finishDrainIfDone();
}

void TrafficDriver::Impl::publishLoad() {
  const core::Capacity Now = m_Gate.capacity();
  TrafficLoad &Load = m_Board.m_Load;
  Load.m_InFlight.store(Now.m_InFlight, std::memory_order_relaxed);
  Load.m_Queued.store(Now.m_Queued, std::memory_order_relaxed);
  Load.m_Limit.store(Now.m_Limit, std::memory_order_relaxed);
  Load.m_OpenCalls.store(m_Ingress.openCalls(), std::memory_order_relaxed);
}

void TrafficDriver::Impl::performIngress(const core::IngressCommand &Command) {
  if (const auto *Send = std::get_if<core::SendTraffic>(&Command))
    return sendAsIngress(*Send);
  if (const auto *Close = std::get_if<core::CloseTrafficLink>(&Command))
    return closeAsIngress(Close->m_Link);
  std::visit(
      [this](const auto &Each) {
        if constexpr (requires { perform(Each); })
          perform(Each);
      },
      Command);
}

void TrafficDriver::Impl::performGate(const core::GateCommand &Command) {
  if (const auto *Send = std::get_if<core::SendTraffic>(&Command))
    return sendAsGate(*Send);
  if (const auto *Close = std::get_if<core::CloseTrafficLink>(&Command))
    return closeAsGate(Close->m_Link);
  std::visit(
      [this](const auto &Each) {
        if constexpr (requires { perform(Each); })
          perform(Each);
      },
      Command);
}

void TrafficDriver::Impl::perform(const core::OpenTrafficLink &Command) {
  const LinkId Link = Command.m_Link;
  if (Command.m_GateAddress == m_Board.m_Settings.m_LinkAddress)
    return openLocalLink(Link);
  net::LinkHandlers Handlers;
  Handlers.m_Opened = [this, Link] {
    m_Ingress.onLinkOpened(Link, monotonicNow());
    pump();
  };
  Handlers.m_Frame = [this, Link](std::string_view Bytes) {
    onFrame(Link, false, Bytes);
  };
  Handlers.m_Closed = [this, Link](const std::string &Reason) {
    onLinkClosed(Link, false, Reason);
  };
  m_Outbound.emplace(Link, net::Link::open(m_Context, Command.m_GateAddress,
                                           net::LinkKind::Traffic,
                                           std::move(Handlers)));
}

void TrafficDriver::Impl::openLocalLink(LinkId Link) {
  const LinkId GateSide = ++m_LastInbound;
  m_LocalToGate.emplace(Link, GateSide);
  m_LocalToIngress.emplace(GateSide, Link);
  m_Ingress.onLinkOpened(Link, monotonicNow());
}

void TrafficDriver::Impl::sendAsIngress(const core::SendTraffic &Command) {
  if (std::holds_alternative<core::Dispatch>(Command.m_Message))
    m_Board.m_Metrics.add(Counter::DispatchesSent);
  const auto Local = m_LocalToGate.find(Command.m_Link);
  if (Local != m_LocalToGate.end())
    return m_Gate.onMessage(Local->second, Command.m_Message, monotonicNow());
  const auto Found = m_Outbound.find(Command.m_Link);
  if (Found != m_Outbound.end())
    Found->second->send(encode(Command.m_Message));
}

void TrafficDriver::Impl::sendAsGate(const core::SendTraffic &Command) {
  if (std::holds_alternative<core::Refusal>(Command.m_Message))
    m_Board.m_Metrics.add(Counter::Refusals);
  const auto Local = m_LocalToIngress.find(Command.m_Link);
  if (Local != m_LocalToIngress.end())
    return m_Ingress.onMessage(Local->second, Command.m_Message,
                               monotonicNow());
  const auto Found = m_Inbound.find(Command.m_Link);
  if (Found != m_Inbound.end())
    Found->second->send(encode(Command.m_Message));
}

std::string TrafficDriver::Impl::encode(const core::TrafficMessage &Message) {
  std::string Frame = net::encodeFrame(Message, m_Board.m_Clock.tick());
  m_Board.m_Metrics.add(Counter::TrafficBytesSent, Frame.size());
  return Frame;
}

void TrafficDriver::Impl::closeAsIngress(LinkId Link) {
  const auto Local = m_LocalToGate.find(Link);
  if (Local != m_LocalToGate.end()) {
    const LinkId GateSide = Local->second;
    m_LocalToIngress.erase(GateSide);
    m_LocalToGate.erase(Local);
    return m_Gate.onLinkClosed(GateSide, monotonicNow());
  }
  const auto Found = m_Outbound.find(Link);
  if (Found == m_Outbound.end())
    return;
  Found->second->close();
  m_Outbound.erase(Found);
}

void TrafficDriver::Impl::closeAsGate(LinkId Link) {
  const auto Local = m_LocalToIngress.find(Link);
  if (Local != m_LocalToIngress.end()) {
    const LinkId IngressSide = Local->second;
    m_LocalToGate.erase(IngressSide);
    m_LocalToIngress.erase(Local);
    return m_Ingress.onLinkClosed(IngressSide, monotonicNow());
  }
  const auto Found = m_Inbound.find(Link);
  if (Found == m_Inbound.end())
    return;
  Found->second->close();
  m_Watch.onClosed(Link);
  m_Inbound.erase(Found);
  m_InboundHosts.erase(Link);
}

void TrafficDriver::Impl::perform(const core::AnswerCaller &Command) {
  const auto Start = m_CallStarts.find(Command.m_Call);
  if (Start != m_CallStarts.end()) {
    m_Board.m_Metrics.observe(Timing::CallTotal,
                              monotonicNow() - Start->second);
    m_CallStarts.erase(Start);
  }
  m_Board.m_Metrics.add(counterOf(Command.m_Outcome));
  m_Server->respond(Command.m_Call, makeCallerResponse(Command));
}

void TrafficDriver::Impl::perform(const core::NewerVersionSeen &Command) {
  m_Board.m_Sightings.push({Command.m_Version, Command.m_GateAddress});
  m_Handlers.m_VersionSeen();
}

void TrafficDriver::Impl::perform(const core::PeerVersionSeen &Command) {
  const auto Host = m_InboundHosts.find(Command.m_Link);
  if (Host == m_InboundHosts.end() || m_Configuration == nullptr)
    return;
  const std::string Address = nodeAddressOf(*m_Configuration, Host->second);
  if (!Address.empty())
    perform(core::NewerVersionSeen{Command.m_Version, Address});
}

void TrafficDriver::Impl::perform(const core::StartTarget &Command) {
  const TimePoint Now = monotonicNow();
  m_Board.m_Metrics.add(Counter::TargetStarts);
  if (!m_Target.has_value())
    return m_Gate.onTargetFailure(Command.m_Id, core::TargetFailure::NotSent,
                                  "the node has no target", Now);
  const core::Duration Remaining = Command.m_Deadline - Now;
  m_Exchanges[Command.m_Id] = m_Target->send(
      makeTargetRequest(*Command.m_Request, Remaining), Remaining,
      Command.m_Idempotent,
      [this, Id = Command.m_Id, Now](const net::HttpResult &Result) {
        onTargetResult(Id, Now, Result);
      });
}

void TrafficDriver::Impl::onTargetResult(const core::RequestId &Id,
                                         TimePoint Started,
                                         const net::HttpResult &Result) {
  m_Exchanges.erase(Id);
  const TimePoint Now = monotonicNow();
  if (Result.m_End == net::HttpExchange::Answered) {
    m_Board.m_Metrics.observe(Timing::TargetService, Now - Started);
    m_Gate.onTargetAnswer(Id, Result.m_Response, Now);
  } else {
    m_Gate.onTargetFailure(Id, failureOf(Result.m_End), Result.m_Detail, Now);
  }
  pump();
}

void TrafficDriver::Impl::perform(const core::CancelTarget &Command) {
  const auto Found = m_Exchanges.find(Command.m_Id);
  if (Found != m_Exchanges.end())
    m_Target->cancel(Found->second);
}

void TrafficDriver::Impl::perform(const core::GateDrained & /*Command*/) {
  m_GateDrained = true;
}

void TrafficDriver::Impl::perform(const core::Event &Command) {
  m_Board.m_Events.record(Command);
}

TrafficDriver::TrafficDriver(boost::asio::io_context &Context,
                             Blackboard &Board, TrafficDriverHandlers Handlers)
    : m_Impl(std::make_shared<Impl>(Context, Board, std::move(Handlers))) {}

TrafficDriver::~TrafficDriver() = default;

void TrafficDriver::onConfiguration() { m_Impl->onConfiguration(); }

void TrafficDriver::onInboundLink(boost::asio::ip::tcp::socket Socket) {
  m_Impl->onInboundLink(std::move(Socket));
}

void TrafficDriver::startDrain() { m_Impl->startDrain(); }

} // namespace dandelionfall::app
