#include "dandelionfall/core/ingress.h"

#include "core/ingress/call_table.h"
#include "core/ingress/limits.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

using namespace ingress;

namespace {

IngressOptions withSharedState(IngressOptions Options) {
  if (Options.m_Quarantine == nullptr)
    Options.m_Quarantine = std::make_shared<Quarantine>(Options.m_Incarnation);
  if (Options.m_LeavingTargets == nullptr)
    Options.m_LeavingTargets = std::make_shared<LeavingTargets>();
  return Options;
}

} // namespace

class Ingress::Impl {
public:
  explicit Impl(IngressOptions Options)
      : m_Options(withSharedState(std::move(Options))),
        m_Links(m_Options, m_Out), m_Services(m_Options, m_Links),
        m_Calls(m_Options, m_Links, m_Services, m_Out) {
    m_Links.setListener(m_Calls);
  }

  void handleMessage(LinkId Link, const TrafficMessage &Message, TimePoint Now);
  void reportNewerVersion(Version Seen, const GatePeer &Peer, TimePoint Now);

  IngressOptions m_Options;
  Outbox m_Out;
  GateLinks m_Links;
  ServiceTable m_Services;
  CallTable m_Calls;
  Version m_ReportedVersion = 0;
  TimePoint m_ReportedAt;
};

void Ingress::Impl::handleMessage(LinkId Link, const TrafficMessage &Message,
                                  TimePoint Now) {
  GatePeer *Peer = m_Links.findByLink(Link);
  if (Peer == nullptr)
    return;
  // A response or refusal that has already arrived is more useful to a waiting
  // caller than an unknown outcome, even past the deadline.
  if (const auto *Result = std::get_if<Answer>(&Message)) {
    m_Calls.onAnswer(*Peer, Link, *Result, Now);
    return m_Calls.expire(Now);
  }
  if (const auto *Refused = std::get_if<Refusal>(&Message)) {
    reportNewerVersion(Refused->m_Version, *Peer, Now);
    m_Calls.onRefusal(*Peer, Link, *Refused, Now);
    return m_Calls.expire(Now);
  }
  m_Calls.expire(Now);
  if (const auto *Failed = std::get_if<Failure>(&Message)) {
    m_Calls.onFailure(*Peer, Link, *Failed, Now);
  } else if (const auto *Reply = std::get_if<InquiryReply>(&Message)) {
    m_Calls.onInquiryReply(*Peer, Link, *Reply, Now);
  } else if (const auto *Welcome = std::get_if<TrafficWelcome>(&Message)) {
    reportNewerVersion(Welcome->m_Version, *Peer, Now);
    m_Links.onWelcome(Link, *Welcome, Now);
  } else if (const auto *Pong = std::get_if<TrafficPong>(&Message)) {
    reportNewerVersion(Pong->m_Version, *Peer, Now);
    m_Links.onPong(Link, *Pong, Now);
  } else if (std::holds_alternative<TrafficGoAway>(Message)) {
    Peer->m_Draining = true;
  } else if (const auto *Notice = std::get_if<CrashNotice>(&Message)) {
    m_Options.m_Quarantine->merge(Notice->m_Evidence, Now);
  } else if (const auto *Leaving = std::get_if<LeavingNotice>(&Message)) {
    m_Calls.onLeavingNotice(*Leaving);
  } else if (const auto *Granted = std::get_if<CreditGrant>(&Message)) {
    m_Calls.onCreditGrant(*Peer, *Granted, Now);
  }
}

void Ingress::Impl::reportNewerVersion(Version Seen, const GatePeer &Peer,
                                       TimePoint Now) {
  const Configuration *Config = m_Services.configuration();
  if (Config != nullptr && Seen <= Config->m_Stamp.m_Version)
    return;
  const bool Newer = Seen > m_ReportedVersion;
  if (Seen == 0 || (!Newer && Now < m_ReportedAt + NewerVersionInterval))
    return;
  m_ReportedVersion = std::max(m_ReportedVersion, Seen);
  m_ReportedAt = Now;
  m_Out.reportVersion(Seen, Peer.m_Address);
}

Ingress::Ingress(IngressOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options))) {}

Ingress::~Ingress() = default;

void Ingress::onConfiguration(ConfigurationPtr Config, TimePoint Now) {
  m_Impl->m_Calls.expire(Now);
  m_Impl->m_Links.setVersion(Config->m_Stamp.m_Version);
  m_Impl->m_Services.setConfiguration(std::move(Config), Now);
  m_Impl->m_Calls.onConfiguration(Now);
}

void Ingress::onLeavingHosts(HostNames Hosts, TimePoint Now) {
  m_Impl->m_Calls.expire(Now);
  if (m_Impl->m_Services.setLeavingHosts(std::move(Hosts), Now))
    m_Impl->m_Calls.onConfiguration(Now);
}

void Ingress::setStepEvents(bool Enabled) {
  m_Impl->m_Calls.setStepEvents(Enabled);
}

void Ingress::onCall(CallId Call, HttpRequestPtr Request,
                     std::optional<Duration> CallerDeadline, TimePoint Now,
                     const std::string &CallerId, const std::string &Key) {
  m_Impl->m_Calls.expire(Now);
  m_Impl->m_Calls.open(Call, std::move(Request), CallerDeadline,
                       {CallerId, Key}, Now);
}

void Ingress::onFreshness(const FreshnessProof &Proof) {
  m_Impl->m_Calls.addProof(Proof);
}

void Ingress::startDrain(TimePoint End, TimePoint Now) {
  m_Impl->m_Calls.expire(Now);
  m_Impl->m_Calls.setEnd(End, Now);
}

void Ingress::onCallerDisconnected(CallId Call, TimePoint Now) {
  m_Impl->m_Calls.abandon(Call, Now);
}

void Ingress::onLinkOpened(LinkId Link, TimePoint Now) {
  m_Impl->m_Calls.expire(Now);
  m_Impl->m_Links.onLinkOpened(Link, Now);
}

void Ingress::onLinkClosed(LinkId Link, TimePoint Now) {
  m_Impl->m_Calls.expire(Now);
  m_Impl->m_Links.onLinkClosed(Link, Now);
}

void Ingress::onMessage(LinkId Link, const TrafficMessage &Message,
                        TimePoint Now) {
  m_Impl->handleMessage(Link, Message, Now);
}

void Ingress::spread(const TrafficMessage &Notice) {
  for (const LinkId Link : m_Impl->m_Links.readyLinks())
    m_Impl->m_Out.send(Link, Notice);
}

void Ingress::onTick(TimePoint Now) {
  m_Impl->m_Calls.expire(Now);
  m_Impl->m_Calls.onTick(Now);
  m_Impl->m_Links.onTick(Now);
}

std::optional<TimePoint> Ingress::nextWakeUp() const {
  const std::optional<TimePoint> Calls = m_Impl->m_Calls.nextWakeUp();
  const std::optional<TimePoint> Links = m_Impl->m_Links.nextWakeUp();
  if (!Calls || !Links)
    return Calls ? Calls : Links;
  return std::min(*Calls, *Links);
}

std::size_t Ingress::openCalls() const { return m_Impl->m_Calls.size(); }

const ZoneTrafficCounts &Ingress::zoneTraffic() const {
  return m_Impl->m_Calls.zoneTraffic();
}

std::vector<IngressCommand> Ingress::takeCommands() {
  return m_Impl->m_Out.take();
}

} // namespace dandelionfall::core
