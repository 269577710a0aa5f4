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

// Maximum time for which a body waits for room.
constexpr std::chrono::milliseconds MaxRoomWait{2000};
// Interval at which a planned stop checks whether callers have received their
// responses.
constexpr std::chrono::milliseconds DrainPollInterval{20};
// Time before the end of the grace time at which all calls must be finished,
// for the last responses to be written and the process to end.
constexpr core::Duration EndMargin = std::chrono::milliseconds(250);
// Interval between checks for silent links of other nodes.
constexpr std::chrono::seconds SilentLinkInterval{1};
// Maximum body size even if the configuration allows more. Complete bodies are
// held in memory, so this limits the memory of one request.
constexpr std::uint64_t MaxHeldBodyBytes = 8U << 20U;
// Minimum timeout for receiving a complete request. The configured timeout
// covers its header only, so it can be too short for the body.
constexpr std::chrono::milliseconds MinRequestTimeout{10'000};
// Time for which an idle connection stays open after the configured timeout, so
// that a caller that uses it within the timeout never finds it closed.
constexpr std::chrono::milliseconds IdleMargin{5000};

// Age of the proof that the configuration is the newest one up to which a node
// grants credit of quotas.
constexpr core::Duration MaxAccountProofAge = std::chrono::seconds(5);

core::IngressOptions
ingressOptions(const Blackboard &Board,
               const std::shared_ptr<core::Quarantine> &Evidence,
               const std::shared_ptr<core::LeavingTargets> &LeavingTargets) {
  core::IngressOptions Options;
  Options.m_Host = Board.m_Settings.m_Host;
  Options.m_Zone = Board.m_Settings.m_Zone;
  Options.m_Incarnation = Board.m_Incarnation;
  Options.m_Seed = Board.m_Incarnation.m_Low;
  Options.m_Quarantine = Evidence;
  Options.m_LeavingTargets = LeavingTargets;
  Options.m_MaxProofAge = Board.m_Settings.m_MaxProofAge;
  if (Board.m_Settings.m_ZonePrices) {
    Options.m_Strategy = "priced-zones";
    Options.m_ZonePrices = *Board.m_Settings.m_ZonePrices;
  }
  Options.m_QuotaTolerance =
      Board.m_Settings.m_Quota.value_or(core::QuotaTolerance{});
  Options.m_PullsAnswers = true;
  return Options;
}

core::GateOptions
gateOptions(const Blackboard &Board,
            const std::shared_ptr<core::Quarantine> &Evidence,
            const std::shared_ptr<core::LeavingTargets> &LeavingTargets) {
  const Settings &Config = Board.m_Settings;
  core::GateOptions Options;
  Options.m_Host = Config.m_Host;
  Options.m_Zone = Config.m_Zone;
  Options.m_Incarnation = Board.m_Incarnation;
  Options.m_Quarantine = Evidence;
  Options.m_LeavingTargets = LeavingTargets;
  Options.m_GateAddress = Config.m_LinkAddress;
  Options.m_QuotaTolerance = Config.m_Quota.value_or(core::QuotaTolerance{});
  if (needsProofs(Config))
    Options.m_MaxAccountProofAge = std::min(
        MaxAccountProofAge, Config.m_MaxProofAge.value_or(MaxAccountProofAge));
  if (Config.m_SourceProtocol == SourceProtocol::Store)
    Options.m_TargetAddress = Config.m_TargetAddress;
  else
    Options.m_Target = Config.m_TargetName;
  return Options;
}

net::HttpClientOptions targetOptions(const Blackboard &Board) {
  net::HttpClientOptions Options;
  Options.m_Address = Board.m_Settings.m_TargetAddress;
  // The gate does not exceed the target's published number of connections. This
  // limit is only a safeguard in case of a fault.
  Options.m_MaxConnections = 1024;
  Options.m_MaxBodyBytes = MaxResponseBytes;
  Options.m_ResponseMemory = Board.m_TargetResponses;
  Options.m_EchoField = Board.m_Dialect.m_RequestIdField;
  Options.m_AllowCloseDelimited = !Board.m_Dialect.m_SignatureField.empty();
  return Options;
}

} // namespace

TrafficDriver::Impl::Impl(boost::asio::io_context &Context, Blackboard &Board,
                          TrafficDriverHandlers Handlers)
    : m_Context(Context), m_Board(Board), m_Handlers(std::move(Handlers)),
      m_Quarantine(std::make_shared<core::Quarantine>(Board.m_Incarnation)),
      m_LeavingTargets(std::make_shared<core::LeavingTargets>()),
      m_Ingress(ingressOptions(Board, m_Quarantine, m_LeavingTargets)),
      m_Gate(gateOptions(Board, m_Quarantine, m_LeavingTargets)),
      m_Pulls(Board.m_CallerResponses, MaxResponseBytes, Context.get_executor(),
              [this](LinkId Link, const core::RequestId &Id) {
                pullAnswer(Link, Id);
              }),
      m_Timer(Context, [this] { onTimer(); }), m_DrainTimer(Context),
      m_SilentLinkTimer(Context) {
  startServer();
  closeSilentLinks();
  if (Board.m_Settings.m_TargetAddress.empty())
    return;
  net::HttpClientOptions Options = targetOptions(Board);
  // Targets on a platform with a store announce their cold starts, so a closed
  // connection need not be taken as a sign of one.
  if (Board.m_Settings.m_SourceProtocol != SourceProtocol::Store)
    Options.m_IdleClosedEarly = [this] {
      m_Gate.onTargetConnectionClosed(monotonicNow());
      performCommands();
    };
  m_Target.emplace(Context, Options);
}

void TrafficDriver::Impl::startServer() {
  net::HttpServerOptions Options;
  Options.m_Address = m_Board.m_Settings.m_CallerAddress;
  net::HttpServerHandlers ServerHandlers;
  ServerHandlers.m_Request =
      [this](core::CallId Call, std::shared_ptr<core::HttpRequest> Request) {
        onCall(Call, std::move(Request));
      };
  ServerHandlers.m_MayRunBeside = [this](const core::HttpRequest &Request) {
    return mayRunBeside(Request);
  };
  ServerHandlers.m_RunsBeside = [this](core::CallId) {
    m_Board.m_Metrics.add(Counter::CallsPipelined);
  };
  ServerHandlers.m_CallerDisconnected = [this](core::CallId Call) {
    onCallerDisconnected(Call);
  };
  Options.m_BodyBudget = m_Board.m_CallerBodies;
  ServerHandlers.m_MaxRoomWait = [this](const core::HttpRequest &Header) {
    const auto Deadline = parseCallerDeadline(m_Board.m_Dialect, Header);
    return Deadline ? std::min(std::chrono::ceil<std::chrono::milliseconds>(
                                   *Deadline / 2),
                               MaxRoomWait)
                    : MaxRoomWait;
  };
  ServerHandlers.m_NoRoom = [this](const core::HttpRequest &Header) {
    return refuseForRoom(Header);
  };
  ServerHandlers.m_Rejected = [this](const std::string &Fault) {
    reportCallerError(Fault);
  };
  ServerHandlers.m_Unsendable = [this](core::CallId Call,
                                       const std::string &Fault) {
    m_Board.m_Events.record(
        {core::EventId::MessageUnsendable,
         "call=" + std::to_string(Call) + " fault=\"" + Fault + "\""});
  };
  ServerHandlers.m_Undelivered = [this](std::size_t Bytes) {
    m_Board.m_Events.record(
        {core::EventId::ResponseUndelivered, "bytes=" + std::to_string(Bytes)});
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
    applyCallerLimits();
  }
  const core::HostListPtr Hosts = m_Board.m_Hosts.load();
  if (Hosts != nullptr) {
    core::HostNames Leaving = core::leavingHosts(*Hosts);
    m_Gate.setHostLeaving(Leaving.contains(m_Board.m_Settings.m_Host), Now);
    m_Ingress.onLeavingHosts(std::move(Leaving), Now);
  }
  performCommands();
}

void TrafficDriver::Impl::applyCallerLimits() {
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

void TrafficDriver::Impl::reserveBody(core::Dispatch &Message) {
  if (Message.m_Request == nullptr || Message.m_Request->m_Body.empty())
    return;
  auto Reserved = m_Board.m_GateBodies->tryReserve(
      core::bodyCost(Message.m_Request->m_Body.size()));
  if (Reserved.bytes() > 0) {
    Message.m_Request =
        core::tie(std::move(Message.m_Request), std::move(Reserved));
    return;
  }
  m_Board.m_Metrics.add(Counter::BodiesRefused);
  Message.m_NoRoom = true;
}

void TrafficDriver::Impl::onInboundLink(boost::asio::ip::tcp::socket Socket) {
  const LinkId Link = ++m_LastInboundLink;
  if (!m_LinkWatch.admit(Link, monotonicNow()))
    return;
  net::LinkHandlers Handlers;
  Handlers.m_Frame = [this, Link](std::string_view Bytes) {
    onFrame(Link, true, Bytes);
  };
  Handlers.m_Closed = [this, Link](const std::string &Reason) {
    onLinkClosed(Link, true, Reason);
  };
  boost::system::error_code AddressError;
  const auto Remote = Socket.remote_endpoint(AddressError);
  if (!AddressError)
    m_InboundIps.emplace(Link, Remote.address().to_string());
  m_InboundLinks.emplace(
      Link, net::Link::adopt(std::move(Socket), std::move(Handlers)));
}

void TrafficDriver::Impl::onFrame(LinkId Link, bool Inbound,
                                  std::string_view Bytes) {
  m_Board.m_Metrics.add(Counter::TrafficBytesReceived,
                        Bytes.size() + net::FrameHeaderBytes);
  // Throws core::Error for a malformed frame. The caller of this handler, the
  // link, catches it and closes itself.
  net::DecodedFrame Frame = net::decodeFrame(Bytes);
  m_Board.m_Clock.merge(Frame.m_LogicalTime);
  auto *Message = std::get_if<core::TrafficMessage>(&Frame.m_Message);
  if (Message == nullptr)
    throw core::Error(core::ErrorKind::MalformedMessage,
                      "control message on a traffic link",
                      "check that both nodes run compatible versions");
  const TimePoint Now = monotonicNow();
  if (Inbound) {
    m_LinkWatch.onFrame(Link, Now);
    if (!handleAsGate(Link, *Message))
      m_Gate.onMessage(Link, *Message, Now);
  } else if (!handleAsIngress(Link, *Message)) {
    m_Ingress.onMessage(Link, *Message, Now);
  }
  performCommands();
}

bool TrafficDriver::Impl::handleAsGate(LinkId Link,
                                       core::TrafficMessage &Message) {
  if (const auto *Hello = std::get_if<core::TrafficHello>(&Message)) {
    m_InboundHosts[Link] = Hello->m_Host;
    if (Hello->m_PullsAnswers)
      m_Offers.onHello(Link);
  } else if (auto *Dispatch = std::get_if<core::Dispatch>(&Message)) {
    reserveBody(*Dispatch);
  } else if (std::holds_alternative<core::CreditRequest>(Message)) {
    refreshProof();
  } else if (const auto *Settled = std::get_if<core::Settled>(&Message)) {
    for (const core::RequestId &Id : Settled->m_Ids)
      m_Offers.remove(Link, Id);
  } else if (const auto *Pull = std::get_if<core::AnswerPull>(&Message)) {
    sendOffered(Link, Pull->m_Id);
    return true;
  }
  return false;
}

bool TrafficDriver::Impl::handleAsIngress(LinkId Link,
                                          core::TrafficMessage &Message) {
  if (auto *Received = std::get_if<core::Answer>(&Message)) {
    m_Pulls.onAnswer(Link, *Received);
  } else if (const auto *Failed = std::get_if<core::Failure>(&Message)) {
    m_Pulls.remove(Link, Failed->m_Id);
  } else if (const auto *Offer = std::get_if<core::AnswerOffer>(&Message)) {
    if (m_Pulls.onOffer(Link, *Offer))
      return true;
    Message =
        core::Failure{Offer->m_Id, "the ingress has no memory for the answer",
                      Offer->m_Capacity};
  }
  return false;
}

void TrafficDriver::Impl::onLinkClosed(LinkId Link, bool Inbound,
                                       const std::string & /*Reason*/) {
  const TimePoint Now = monotonicNow();
  if (Inbound) {
    m_LinkWatch.onClosed(Link);
    m_InboundLinks.erase(Link);
    m_InboundHosts.erase(Link);
    m_InboundIps.erase(Link);
    m_Offers.onLinkClosed(Link);
    m_Gate.onLinkClosed(Link, Now);
  } else {
    m_OutboundLinks.erase(Link);
    m_Pulls.onLinkClosed(Link);
    m_Ingress.onLinkClosed(Link, Now);
  }
  performCommands();
}

void TrafficDriver::Impl::onTimer() {
  const TimePoint Now = monotonicNow();
  m_Ingress.onTick(Now);
  m_Gate.onTick(Now);
  performCommands();
}

void TrafficDriver::Impl::startDrain() {
  if (m_Draining)
    return;
  m_Draining = true;
  const TimePoint Now = monotonicNow();
  m_Server->disableKeepAlive();
  const core::Duration Grace = m_Board.m_Settings.m_Grace;
  core::Duration Linger =
      std::chrono::milliseconds(m_Board.m_Settings.m_LingerMs);
  if (Grace > core::Duration{0}) {
    m_DrainEnd = Now + Grace - EndMargin;
    m_Ingress.startDrain(*m_DrainEnd, Now);
    Linger = std::min(Linger, Grace / 2);
  }
  m_Gate.startDrain(Now, m_DrainEnd);
  m_DrainTimer.expires_after(Linger);
  m_DrainTimer.async_wait([this](boost::system::error_code Code) {
    if (!Code)
      stopAcceptingCalls();
  });
  performCommands();
}

// If a linger time is configured, the port stays open even after it: a late
// caller gets a response with outcome `not-run`, whereas a closed port would
// not state that its request was not run.
void TrafficDriver::Impl::stopAcceptingCalls() {
  m_RefusesCalls = true;
  if (m_Board.m_Settings.m_LingerMs == 0)
    m_Server->startDrain();
  performCommands();
}

void TrafficDriver::Impl::finishDrainIfDone() {
  if (!m_RefusesCalls || !m_GateDrained || m_DrainReported ||
      m_Ingress.openCalls() > 0)
    return;
  m_DrainReported = true;
  waitForLastWrites();
}

void TrafficDriver::Impl::waitForLastWrites() {
  if (m_Server->busyConnections() > 0)
    return pollDrain(&Impl::waitForLastWrites);
  m_Server->startDrain();
  waitForCallers();
}

// The last responses may still be in the buffers of the system. Without the
// process a caller's next request would reset the connection, and the caller
// would lose them.
void TrafficDriver::Impl::waitForCallers() {
  const std::size_t Open = m_Server->connections();
  const bool IsOver = m_DrainEnd && monotonicNow() >= *m_DrainEnd;
  if (Open > 0 && !IsOver)
    return pollDrain(&Impl::waitForCallers);
  if (Open > 0)
    m_Board.m_Events.record(
        {core::EventId::ResponseUndelivered,
         "connections=" + std::to_string(Open) + " cause=end-of-grace-time"});
  m_Handlers.m_Drained();
}

void TrafficDriver::Impl::pollDrain(void (Impl::*Next)()) {
  m_DrainTimer.expires_after(DrainPollInterval);
  m_DrainTimer.async_wait([this, Next](boost::system::error_code Code) {
    if (!Code)
      (this->*Next)();
  });
}

void TrafficDriver::Impl::closeSilentLinks() {
  for (const LinkId Link : m_LinkWatch.findSilent(monotonicNow()))
    onLinkClosed(Link, true, "silent");
  removeOldOffers();
  m_SilentLinkTimer.expires_after(SilentLinkInterval);
  m_SilentLinkTimer.async_wait([this](boost::system::error_code Code) {
    if (!Code)
      closeSilentLinks();
  });
}

void TrafficDriver::Impl::performCommands() {
  if (m_Performing)
    return;
  m_Performing = true;
  try {
    performPending();
  } catch (...) {
    m_Performing = false;
    throw;
  }
  m_Performing = false;
  m_Timer.arm(m_Ingress.nextWakeUp());
  m_Timer.arm(m_Gate.nextWakeUp());
  publishLoad();
  finishDrainIfDone();
}

void TrafficDriver::Impl::performPending() {
  const bool StepEvents = m_Board.m_StepEvents.load(std::memory_order_relaxed);
  m_Ingress.setStepEvents(StepEvents);
  m_Gate.setStepEvents(StepEvents);
  for (;;) {
    spreadEvidence();
    spreadLeavingTargets();
    const auto FromIngress = m_Ingress.takeCommands();
    const auto FromGate = m_Gate.takeCommands();
    if (FromIngress.empty() && FromGate.empty())
      break;
    for (const core::IngressCommand &Command : FromIngress)
      performIngress(Command);
    for (const core::GateCommand &Command : FromGate)
      performGate(Command);
  }
}

void TrafficDriver::Impl::spreadEvidence() {
  if (m_Quarantine->empty())
    return;
  for (const core::Event &Each : m_Quarantine->takeEvents())
    m_Board.m_Events.record(Each);
  const TimePoint Now = monotonicNow();
  const core::CrashNotice News{m_Quarantine->takeNews(Now)};
  if (News.m_Evidence.empty())
    return;
  m_Ingress.spread(News);
  m_Gate.spread(News, Now);
}

void TrafficDriver::Impl::spreadLeavingTargets() {
  const core::LeavingNotice News{m_LeavingTargets->takeNews()};
  if (News.m_Targets.empty())
    return;
  m_Ingress.spread(News);
  m_Gate.spread(News, monotonicNow());
}

void TrafficDriver::Impl::publishLoad() {
  const core::Capacity GateCapacity = m_Gate.capacity();
  TrafficLoad &Load = m_Board.m_Load;
  Load.m_InFlight.store(GateCapacity.m_InFlight, std::memory_order_relaxed);
  Load.m_Queued.store(GateCapacity.m_Queued, std::memory_order_relaxed);
  Load.m_Limit.store(GateCapacity.m_Limit, std::memory_order_relaxed);
  Load.m_OpenCalls.store(m_Ingress.openCalls(), std::memory_order_relaxed);
  publishZoneTraffic();
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
