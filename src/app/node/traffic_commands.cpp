#include "app/node/caller_response.h"
#include "app/node/traffic_driver_impl.h"
#include "dandelionfall/net/codec.h"
#include "dandelionfall/net/connection_check.h"

#include <type_traits>
#include <utility>

namespace dandelionfall::app {

namespace {

using core::LinkId;
using core::TimePoint;

// Time after the deadline at which an exchange with a target times out by
// itself; the gate abandons it sooner.
constexpr core::Duration ExchangeGrace = std::chrono::seconds(1);

constexpr std::chrono::milliseconds TargetCheckTimeout{500};

core::TargetFailure failureOf(net::ExchangeOutcome End) {
  switch (End) {
  case net::ExchangeOutcome::NotSent:
  case net::ExchangeOutcome::Unsendable:
    return core::TargetFailure::NotSent;
  case net::ExchangeOutcome::TimedOut:
    return core::TargetFailure::TimedOut;
  case net::ExchangeOutcome::Cancelled:
    return core::TargetFailure::Abandoned;
  case net::ExchangeOutcome::Answered:
  case net::ExchangeOutcome::Reset:
  case net::ExchangeOutcome::Malformed:
    break;
  }
  return core::TargetFailure::Reset;
}

// The request itself is not needed once it is being sent.
core::StartTarget withoutRequest(core::StartTarget Started) {
  Started.m_Request.reset();
  return Started;
}

// Scans all targets; called at most once for each newer version seen.
std::string findGateAddress(const core::Configuration &Config,
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
  case core::CallOutcome::UnknownKey:
    return Counter::CallsUnknownKey;
  case core::CallOutcome::OverQuota:
    return Counter::CallsOverQuota;
  case core::CallOutcome::NoRoute:
    break;
  }
  return Counter::CallsNoRoute;
}

} // namespace

// Sending and closing differ between ingress and gate. All other command types
// must have an overload of `perform`.
template <typename Command>
void TrafficDriver::Impl::performOther(const Command &Any) {
  std::visit(
      [&](const auto &Each) {
        using Type = std::decay_t<decltype(Each)>;
        if constexpr (!std::is_same_v<Type, core::SendTraffic> &&
                      !std::is_same_v<Type, core::CloseTrafficLink>)
          perform(Each);
      },
      Any);
}

void TrafficDriver::Impl::performIngress(const core::IngressCommand &Command) {
  if (const auto *Send = std::get_if<core::SendTraffic>(&Command))
    return sendAsIngress(*Send);
  if (const auto *Close = std::get_if<core::CloseTrafficLink>(&Command))
    return closeAsIngress(Close->m_Link);
  performOther(Command);
}

void TrafficDriver::Impl::performGate(const core::GateCommand &Command) {
  if (const auto *Send = std::get_if<core::SendTraffic>(&Command))
    return sendAsGate(*Send);
  if (const auto *Close = std::get_if<core::CloseTrafficLink>(&Command))
    return closeAsGate(Close->m_Link);
  performOther(Command);
}

void TrafficDriver::Impl::perform(const core::OpenTrafficLink &Command) {
  const LinkId Link = Command.m_Link;
  if (Command.m_GateAddress == m_Board.m_Settings.m_LinkAddress)
    return openLocalLink(Link);
  net::LinkHandlers Handlers;
  Handlers.m_Opened = [this, Link] {
    m_Ingress.onLinkOpened(Link, monotonicNow());
    performCommands();
  };
  Handlers.m_Frame = [this, Link](std::string_view Bytes) {
    onFrame(Link, false, Bytes);
  };
  Handlers.m_Closed = [this, Link](const std::string &Reason) {
    onLinkClosed(Link, false, Reason);
  };
  m_OutboundLinks.emplace(
      Link,
      net::Link::open(m_Context, Command.m_GateAddress, net::LinkKind::Traffic,
                      std::move(Handlers), m_Board.m_Settings.m_LinkAddress));
}

void TrafficDriver::Impl::openLocalLink(LinkId Link) {
  const LinkId GateSide = ++m_LastInboundLink;
  m_LocalToGate.emplace(Link, GateSide);
  m_LocalToIngress.emplace(GateSide, Link);
  m_Ingress.onLinkOpened(Link, monotonicNow());
}

void TrafficDriver::Impl::publishZoneTraffic() {
  using core::ZoneTrafficCounts;
  struct Row {
    Counter m_Counter;
    std::uint64_t ZoneTrafficCounts::*m_Member;
  };
  constexpr Row Rows[] = {
      {Counter::ZoneRequestsKept, &ZoneTrafficCounts::m_Kept},
      {Counter::ZoneRequestsSentForGain, &ZoneTrafficCounts::m_SentForGain},
      {Counter::ZoneRequestsSentForDeadline,
       &ZoneTrafficCounts::m_SentForDeadline},
      {Counter::ZoneRequestsSentForLackOfTargets,
       &ZoneTrafficCounts::m_SentForLackOfTargets}};
  const ZoneTrafficCounts &Counted = m_Ingress.zoneTraffic();
  if (Counted == m_PublishedZoneTraffic)
    return;
  for (const Row &Each : Rows)
    m_Board.m_Metrics.add(Each.m_Counter,
                          Counted.*Each.m_Member -
                              m_PublishedZoneTraffic.*Each.m_Member);
  m_PublishedZoneTraffic = Counted;
}

void TrafficDriver::Impl::sendAsIngress(const core::SendTraffic &Command) {
  if (std::holds_alternative<core::Dispatch>(Command.m_Message))
    m_Board.m_Metrics.add(Counter::DispatchesSent);
  else if (std::holds_alternative<core::CreditRequest>(Command.m_Message))
    m_Board.m_Metrics.add(Counter::CreditRequestsSent);
  const auto Local = m_LocalToGate.find(Command.m_Link);
  if (Local != m_LocalToGate.end())
    return m_Gate.onMessage(Local->second, Command.m_Message, monotonicNow());
  const auto Found = m_OutboundLinks.find(Command.m_Link);
  if (Found != m_OutboundLinks.end())
    Found->second->send(encode(Command.m_Message));
}

void TrafficDriver::Impl::sendAsGate(const core::SendTraffic &Command) {
  if (std::holds_alternative<core::Refusal>(Command.m_Message))
    m_Board.m_Metrics.add(Counter::Refusals);
  else if (const auto *Grant =
               std::get_if<core::CreditGrant>(&Command.m_Message))
    Grant->m_Granted > 0
        ? m_Board.m_Metrics.add(Counter::CreditsGranted, Grant->m_Granted)
        : m_Board.m_Metrics.add(Counter::CreditRequestsDenied);
  const auto Local = m_LocalToIngress.find(Command.m_Link);
  if (Local != m_LocalToIngress.end())
    return m_Ingress.onMessage(Local->second, Command.m_Message,
                               monotonicNow());
  const auto *Reply = std::get_if<core::Answer>(&Command.m_Message);
  if (Reply == nullptr)
    return sendToIngress(Command.m_Link, Command.m_Message);
  if (const auto Offer = m_Offers.add(Command.m_Link, *Reply, monotonicNow()))
    return sendToIngress(Command.m_Link, *Offer);
  sendToIngress(Command.m_Link, *Reply, Reply->m_Response);
}

void TrafficDriver::Impl::sendToIngress(LinkId Link,
                                        const core::TrafficMessage &Message,
                                        std::shared_ptr<const void> Content) {
  const auto Found = m_InboundLinks.find(Link);
  if (Found != m_InboundLinks.end())
    Found->second->send(encode(Message), std::move(Content));
}

void TrafficDriver::Impl::sendOffered(LinkId Link, const core::RequestId &Id) {
  if (const auto Offered = m_Offers.take(Link, Id))
    return sendToIngress(Link, *Offered, Offered->m_Response);
  sendToIngress(Link, core::Failure{Id, "the answer is no longer kept",
                                    m_Gate.capacity()});
}

void TrafficDriver::Impl::pullAnswer(LinkId Link, const core::RequestId &Id) {
  const auto Found = m_OutboundLinks.find(Link);
  if (Found != m_OutboundLinks.end())
    Found->second->send(encode(core::AnswerPull{Id}));
}

void TrafficDriver::Impl::removeOldOffers() {
  if (m_Board.m_TargetResponses->waiting() > 0)
    m_Offers.removeOld(monotonicNow());
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
  const auto Found = m_OutboundLinks.find(Link);
  if (Found == m_OutboundLinks.end())
    return;
  Found->second->close();
  m_OutboundLinks.erase(Found);
  m_Pulls.onLinkClosed(Link);
}

void TrafficDriver::Impl::closeAsGate(LinkId Link) {
  const auto Local = m_LocalToIngress.find(Link);
  if (Local != m_LocalToIngress.end()) {
    const LinkId IngressSide = Local->second;
    m_LocalToGate.erase(IngressSide);
    m_LocalToIngress.erase(Local);
    return m_Ingress.onLinkClosed(IngressSide, monotonicNow());
  }
  const auto Found = m_InboundLinks.find(Link);
  if (Found == m_InboundLinks.end())
    return;
  Found->second->close();
  m_LinkWatch.onClosed(Link);
  m_InboundLinks.erase(Found);
  m_InboundHosts.erase(Link);
  m_InboundIps.erase(Link);
  m_Offers.onLinkClosed(Link);
}

void TrafficDriver::Impl::perform(const core::AnswerCaller &Command) {
  const auto Start = m_CallStarts.find(Command.m_Call);
  if (Start != m_CallStarts.end()) {
    m_Board.m_Metrics.observe(Timing::CallTotal,
                              monotonicNow() - Start->second);
    m_CallStarts.erase(Start);
  }
  m_Board.m_Metrics.add(counterOf(Command.m_Outcome));
  m_Server->respond(Command.m_Call,
                    makeCallerResponse(m_Board.m_Dialect, Command),
                    Command.m_Response);
}

void TrafficDriver::Impl::perform(const core::NewerVersionSeen &Command) {
  m_Board.m_PeerVersions.push({Command.m_Version, Command.m_GateAddress});
  m_Handlers.m_VersionSeen();
}

void TrafficDriver::Impl::perform(const core::PeerVersionSeen &Command) {
  const std::string Address = peerAddressOf(Command.m_Link);
  if (!Address.empty())
    perform(core::NewerVersionSeen{Command.m_Version, Address});
}

// With a store as source, all nodes accept links at the same port, so a peer's
// address is known before any configuration lists it.
std::string TrafficDriver::Impl::peerAddressOf(LinkId Inbound) const {
  if (m_Board.m_Settings.m_SourceProtocol == SourceProtocol::Store) {
    const auto Ip = m_InboundIps.find(Inbound);
    if (Ip == m_InboundIps.end())
      return {};
    const std::string &Own = m_Board.m_Settings.m_LinkAddress;
    return Ip->second + Own.substr(Own.rfind(':'));
  }
  const auto Host = m_InboundHosts.find(Inbound);
  if (Host == m_InboundHosts.end() || m_Configuration == nullptr)
    return {};
  return findGateAddress(*m_Configuration, Host->second);
}

void TrafficDriver::Impl::perform(const core::StartTarget &Command) {
  const TimePoint Now = monotonicNow();
  m_Board.m_Metrics.add(Counter::TargetStarts);
  if (!m_Target.has_value())
    return m_Gate.onTargetFailure(Command.m_Id, core::TargetFailure::NotSent,
                                  "the node has no target", Now);
  const core::Duration Remaining = Command.m_Deadline - Now;
  m_Exchanges[Command.m_Id] = m_Target->send(
      makeTargetRequest(m_Board.m_Dialect, *Command.m_Request, Remaining,
                        Command.m_Target, Command.m_Team),
      Remaining + ExchangeGrace, Command.m_Idempotent,
      [this, Started = withoutRequest(Command), Now,
       Reserved = Command.m_Request](const net::HttpResult &Result) {
        onTargetResult(Started, Now, Result);
      });
}

void TrafficDriver::Impl::onTargetResult(const core::StartTarget &Started,
                                         TimePoint StartedAt,
                                         const net::HttpResult &Result) {
  m_Exchanges.erase(Started.m_Id);
  const TimePoint Now = monotonicNow();
  if (Result.m_Outcome == net::ExchangeOutcome::Answered) {
    m_Board.m_Metrics.observe(Timing::TargetService, Now - StartedAt);
    onTargetResponse(Started, Result.m_Response, Now);
  } else if (Result.m_Outcome == net::ExchangeOutcome::Unsendable) {
    onUnsendable(Started.m_Id, Result.m_Detail, Now);
  } else {
    m_Gate.onTargetFailure(Started.m_Id, failureOf(Result.m_Outcome),
                           Result.m_Detail, Now);
  }
  performCommands();
}

// Answers the caller itself: a retry at another gate would fail to encode the
// request in the same way.
void TrafficDriver::Impl::onUnsendable(const core::RequestId &Id,
                                       const std::string &Fault,
                                       TimePoint Now) {
  constexpr std::uint32_t BadRequest = 400;
  m_Board.m_Events.record(
      {core::EventId::MessageUnsendable,
       "request=" + core::toString(Id) + " fault=\"" + Fault + "\""});
  core::HttpResponse Response{BadRequest,
                              {{"Content-Type", "text/plain"}},
                              "the request " + Fault + "\n"};
  m_Gate.onUnsendable(
      Id, std::make_shared<const core::HttpResponse>(std::move(Response)), Now);
}

void TrafficDriver::Impl::onTargetResponse(
    const core::StartTarget &Started, const core::HttpResponsePtr &Response,
    TimePoint Now) {
  const ResponseClass Class =
      classifyResponse(m_Board.m_Dialect, *Response, Started.m_Idempotent);
  if (Class == ResponseClass::Complete || Class == ResponseClass::NotRun)
    recordStatement(Started, *Response, Now);
  switch (Class) {
  case ResponseClass::Complete:
    return m_Gate.onTargetAnswer(Started.m_Id, Response, Now);
  case ResponseClass::NotRun:
    return m_Gate.onTargetRefused(Started.m_Id, false,
                                  parseRetryAfter(*Response), Now);
  case ResponseClass::OtherTarget:
    return m_Gate.onTargetRefused(Started.m_Id, true, core::Duration{0}, Now);
  case ResponseClass::Ambiguous:
    m_Gate.onTargetFailure(
        Started.m_Id, core::TargetFailure::TimedOut,
        "doubtful answer, status " + std::to_string(Response->m_Status), Now);
  }
}

void TrafficDriver::Impl::recordStatement(const core::StartTarget &Started,
                                          const core::HttpResponse &Response,
                                          TimePoint Now) {
  const auto Statement = parseStatement(m_Board.m_Dialect, Response);
  if (Statement)
    return m_Gate.onTargetStatement(Started.m_Id, *Statement, Now);
  m_Board.m_Events.record({core::EventId::StatementMalformed,
                           "request=" + core::toString(Started.m_Id) +
                               " target=" + Started.m_Target});
}

void TrafficDriver::Impl::perform(const core::CancelTarget &Command) {
  const auto Found = m_Exchanges.find(Command.m_Id);
  if (Found != m_Exchanges.end())
    m_Target->cancel(Found->second);
}

void TrafficDriver::Impl::perform(const core::CheckTarget & /*Command*/) {
  net::checkConnection(
      m_Context, m_Board.m_Settings.m_TargetAddress, TargetCheckTimeout,
      [Self = shared_from_this()](net::ConnectionCheck Result) {
        Self->m_Gate.onTargetCheck(Result == net::ConnectionCheck::Refused,
                                   monotonicNow());
        Self->performCommands();
      });
}

void TrafficDriver::Impl::perform(const core::GateDrained & /*Command*/) {
  m_GateDrained = true;
}

void TrafficDriver::Impl::perform(const core::Event &Command) {
  m_Board.m_Events.record(Command);
}

} // namespace dandelionfall::app
