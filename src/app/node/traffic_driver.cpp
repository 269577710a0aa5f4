#include "app/node/traffic_driver.h"

#include "app/node/caller_response.h"
#include "app/node/traffic_driver_impl.h"
#include "dandelionfall/core/error.h"
#include "dandelionfall/net/codec.h"

#include <algorithm>
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
// Largest body that is held whole, whatever the configuration allows; bounds
// the memory of one request.
constexpr std::uint64_t MaxHeldBodyBytes = 8U << 20U;
// Least time for a whole request: the configured time counts its header only.
constexpr std::chrono::milliseconds MinRequestTimeout{10'000};
// Time beyond the configured one that an idle connection stays open, so that a
// caller who keeps to it never meets the end.
constexpr std::chrono::milliseconds IdleMargin{5000};

core::IngressOptions ingressOptions(const Blackboard &Board) {
  return {Board.m_Settings.m_Host, Board.m_Settings.m_Zone, Board.m_Incarnation,
          Board.m_Incarnation.m_Low};
}

core::GateOptions gateOptions(const Blackboard &Board) {
  const Settings &Config = Board.m_Settings;
  core::GateOptions Options;
  Options.m_Host = Config.m_Host;
  Options.m_Zone = Config.m_Zone;
  Options.m_Incarnation = Board.m_Incarnation;
  if (Config.m_SourceProtocol == SourceProtocol::Store)
    Options.m_TargetAddress = Config.m_TargetAddress;
  else
    Options.m_Target = Config.m_TargetName;
  return Options;
}

net::HttpClientOptions targetOptions(const Blackboard &Board) {
  net::HttpClientOptions Options;
  Options.m_Address = Board.m_Settings.m_TargetAddress;
  // The gate keeps to the target's published connections; this bound only
  // catches faults.
  Options.m_MaxConnections = 1024;
  Options.m_EchoField = Board.m_Dialect.m_RequestIdField;
  Options.m_AllowCloseDelimited = !Board.m_Dialect.m_SignatureField.empty();
  return Options;
}

} // namespace

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
  net::HttpClientOptions Options = targetOptions(Board);
  // Targets that announce their cold starts need no such sign.
  if (Board.m_Settings.m_SourceProtocol != SourceProtocol::Store)
    Options.m_IdleClosedEarly = [this] {
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
  ServerHandlers.m_CallerDisconnected = [this](core::CallId Call) {
    onCallerGone(Call);
  };
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
    takeCallerLimits();
  }
  const core::HostListPtr Hosts = m_Board.m_Hosts.load();
  if (Hosts != nullptr) {
    core::HostNames Leaving = core::leavingHosts(*Hosts);
    m_Gate.onHostLeaving(Leaving.contains(m_Board.m_Settings.m_Host), Now);
    m_Ingress.onLeavingHosts(std::move(Leaving), Now);
  }
  pump();
}

void TrafficDriver::Impl::takeCallerLimits() {
  const auto &Limits = m_Configuration->m_CallerLimits;
  if (!Limits)
    return;
  const auto ToMs = [](core::Duration Value) {
    return std::chrono::ceil<std::chrono::milliseconds>(Value);
  };
  m_Server->setLimits(
      Limits->m_MaxHeaderBytes,
      std::min(Limits->m_MaxBodyBytes, MaxHeldBodyBytes),
      std::max(ToMs(Limits->m_RequestTimeout), MinRequestTimeout),
      ToMs(Limits->m_IdleTimeout) + IdleMargin);
}

void TrafficDriver::Impl::onCall(core::CallId Call,
                                 core::HttpRequestPtr Request) {
  const TimePoint Now = monotonicNow();
  m_CallStarts.emplace(Call, Now);
  if (!m_Board.m_Ready.load() || m_Closed) {
    const char *Cause =
        m_Closed ? "the node is stopping" : "the node is not ready";
    perform(core::AnswerCaller{Call, core::CallOutcome::NotRun, nullptr,
                               NotReadyRetryAfter, Cause});
    m_Board.m_Events.record(
        {core::EventId::RequestNotServed,
         "caller_id=" + callerIdOf(m_Board.m_Dialect, *Request) + " call=" +
             std::to_string(Call) + " outcome=not-run cause=" + Cause});
    return;
  }
  if (refuseIfLarge(Call, *Request))
    return;
  const auto Deadline = callerDeadline(m_Board.m_Dialect, *Request);
  const std::string CallerId = callerIdOf(m_Board.m_Dialect, *Request);
  Request = withCallerService(m_Board.m_Dialect, std::move(Request),
                              m_Board.m_Settings.m_TargetService);
  m_Ingress.onCall(Call, std::move(Request), Deadline, Now, CallerId);
  pump();
}

bool TrafficDriver::Impl::refuseIfLarge(core::CallId Call,
                                        const core::HttpRequest &Request) {
  if (m_Configuration == nullptr)
    return false;
  const auto Refused =
      refuseLargeBody(m_Board.m_Dialect, *m_Configuration, Request);
  if (!Refused.has_value())
    return false;
  m_CallStarts.erase(Call);
  reportCallerError("a body larger than the profile allows",
                    callerIdOf(m_Board.m_Dialect, Request));
  m_Server->respond(Call, *Refused);
  return true;
}

void TrafficDriver::Impl::reportCallerError(const std::string &Fault,
                                            const std::string &CallerId) {
  m_Board.m_Metrics.add(Counter::CallerErrors);
  m_Board.m_Events.record(
      {core::EventId::CallerRejected,
       "caller_id=" + CallerId + " fault=\"" + Fault + "\""});
}

void TrafficDriver::Impl::onCallerGone(core::CallId Call) {
  m_CallStarts.erase(Call);
  m_Ingress.onCallerDisconnected(Call, monotonicNow());
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
  boost::system::error_code Unknown;
  const auto Remote = Socket.remote_endpoint(Unknown);
  if (!Unknown)
    m_InboundIps.emplace(Link, Remote.address().to_string());
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
    m_InboundIps.erase(Link);
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
  m_Gate.startDrain(monotonicNow());
  m_Server->disableKeepAlive();
  m_DrainTimer.expires_after(
      std::chrono::milliseconds(m_Board.m_Settings.m_LingerMs));
  m_DrainTimer.async_wait([this](boost::system::error_code Code) {
    if (!Code)
      closeToCallers();
  });
  pump();
}

// Goes on listening: a caller who comes late is told that its request did not
// run, which a closed port does not.
void TrafficDriver::Impl::closeToCallers() {
  m_Closed = true;
  if (m_Board.m_Settings.m_LingerMs == 0)
    m_Server->startDrain();
  pump();
}

void TrafficDriver::Impl::finishDrainIfDone() {
  if (!m_Closed || !m_GateDrained || m_DrainReported ||
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
  const bool StepEvents = m_Board.m_StepEvents.load(std::memory_order_relaxed);
  m_Ingress.setStepEvents(StepEvents);
  m_Gate.setStepEvents(StepEvents);
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
