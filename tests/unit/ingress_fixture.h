/// \file
/// Drives an ingress against fake gates with simulated time.
#ifndef DANDELIONFALL_TESTS_UNIT_INGRESS_FIXTURE_H
#define DANDELIONFALL_TESTS_UNIT_INGRESS_FIXTURE_H

#include "dandelionfall/core/ingress.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dandelionfall::core {

using namespace std::chrono_literals;

/// Builds a configuration with one service, `desk`, at `/desk`, and one target
/// in each of the named availability zones. The zones are in one region, except
/// those in `m_FarZones`.
struct ConfigurationBuilder {
  Version m_Version = 1;
  std::vector<std::string> m_TargetZones = {"a", "b", "c"};
  std::set<std::string> m_ZonesOut;
  std::set<std::string> m_FarZones;
  Profile m_Profile;
  Idempotency m_Idempotency = Idempotency::ByMethod;

  /// Start of each target.
  std::int64_t m_StartedAtMs = 0;

  ConfigurationPtr build() const {
    auto Config = std::make_shared<Configuration>();
    Config->m_Stamp.m_Version = m_Version;
    auto Desk = std::make_shared<Service>();
    Desk->m_Name = "desk";
    Desk->m_Profile = "standard";
    Desk->m_Routes.push_back({"/desk", "", m_Idempotency});
    for (const std::string &ZoneName : m_TargetZones) {
      const std::string Number = std::to_string(Desk->m_Targets.size() + 1);
      const ZoneState State =
          m_ZonesOut.contains(ZoneName) ? ZoneState::Out : ZoneState::In;
      Config->m_Zones[ZoneName] = {
          ZoneName, m_FarZones.contains(ZoneName) ? "far" : "near", State};
      Desk->m_Targets.push_back(
          {"t" + Number, "h" + Number, ZoneName, "gate" + Number, 4, 8});
      Desk->m_Targets.back().m_StartedAtMs = m_StartedAtMs;
    }
    Profile Standard = m_Profile;
    Standard.m_Name = "standard";
    Config->m_Profiles["standard"] = Standard;
    Config->m_Services["desk"] = Desk;
    return Config;
  }
};

inline HttpRequestPtr makeRequest(const std::string &Method,
                                  const std::string &Body = "") {
  return std::make_shared<HttpRequest>(
      HttpRequest{Method, "/desk", "host", {}, Body});
}

inline HttpResponsePtr makeResponse(const std::string &Body) {
  return std::make_shared<HttpResponse>(HttpResponse{200, {}, Body});
}

/// A dispatch as received by a fake gate.
struct ReceivedDispatch {
  std::string m_Gate;
  LinkId m_Link = 0;
  Dispatch m_Message;
};

/// An ingress, its time, and fake gates that open links and reply to hellos,
/// pings and inquiries automatically.
class IngressFixture {
public:
  explicit IngressFixture(
      IngressOptions Options = {"h0", "a", {7, 7}, 1, "least-loaded-of-two"})
      : m_Ingress(std::move(Options)) {}

  void configure(const ConfigurationBuilder &Builder) {
    m_Ingress.onConfiguration(Builder.build(), m_Now);
    performCommands();
  }

  void call(CallId Id, const std::string &Method,
            std::optional<Duration> Deadline = std::nullopt) {
    m_Ingress.onCall(Id, makeRequest(Method, std::to_string(Id)), Deadline,
                     m_Now);
    performCommands();
  }

  void reply(const ReceivedDispatch &To, const TrafficMessage &Message) {
    m_Ingress.onMessage(To.m_Link, Message, m_Now);
    performCommands();
  }

  void answer(const ReceivedDispatch &To) {
    reply(To,
          Answer{To.m_Message.m_Id, makeResponse("done"), m_Load[To.m_Gate]});
  }

  void answer(const ReceivedDispatch &To, const TargetStatement &Statement) {
    reply(To, Answer{To.m_Message.m_Id, makeResponse("done"), m_Load[To.m_Gate],
                     Statement});
  }

  void refuse(const ReceivedDispatch &To, Duration RetryAfter = 0ms,
              RefusalReason Reason = RefusalReason::Overload) {
    reply(To, Refusal{To.m_Message.m_Id, Reason, RetryAfter, m_GateVersion,
                      m_Load[To.m_Gate]});
  }

  void fail(const ReceivedDispatch &To) {
    reply(To, Failure{To.m_Message.m_Id, "reset", m_Load[To.m_Gate]});
  }

  /// Breaks all links to a gate.
  void breakLinks(const std::string &Gate) {
    for (const auto &[Link, Address] : std::map(m_Links)) {
      if (Address != Gate)
        continue;
      m_Links.erase(Link);
      m_Ingress.onLinkClosed(Link, m_Now);
    }
    performCommands();
  }

  /// Advances the time, running every wake-up on the way.
  void advance(Duration Time) {
    const TimePoint End = m_Now + Time;
    while (m_Ingress.nextWakeUp() && *m_Ingress.nextWakeUp() <= End) {
      m_Now = std::max(m_Now, *m_Ingress.nextWakeUp());
      m_Ingress.onTick(m_Now);
      performCommands();
    }
    m_Now = End;
  }

  /// Advances the time as if the process were suspended.
  void suspend(Duration Time) { m_Now += Time; }

  /// Performs commands until there are none left.
  void performCommands() {
    for (std::vector<IngressCommand> Commands = m_Ingress.takeCommands();
         !Commands.empty(); Commands = m_Ingress.takeCommands()) {
      for (const IngressCommand &Command : Commands)
        std::visit([this](const auto &Kind) { perform(Kind); }, Command);
    }
  }

  std::optional<CallOutcome> outcome(CallId Id) const {
    const auto Found = m_Answers.find(Id);
    if (Found == m_Answers.end())
      return std::nullopt;
    return Found->second.m_Outcome;
  }

  template <typename Kind> std::vector<Kind> sent(LinkId Link = 0) const {
    std::vector<Kind> Found;
    for (const SendTraffic &Next : m_Sends) {
      const Kind *Message = std::get_if<Kind>(&Next.m_Message);
      if (Message != nullptr && (Link == 0 || Next.m_Link == Link))
        Found.push_back(*Message);
    }
    return Found;
  }

  Ingress m_Ingress;
  TimePoint m_Now{1s};
  /// Gates that refuse connections, gates that do not answer them, and open
  /// links that lose what is sent on them.
  std::set<std::string> m_Refusing;
  std::set<std::string> m_Unreachable;
  std::set<LinkId> m_Silent;
  std::map<std::string, Incarnation> m_Incarnations;
  std::map<std::string, Capacity> m_Load = {{"gate1", {0, 0, 4, 1ms}},
                                            {"gate2", {0, 0, 4, 1ms}},
                                            {"gate3", {0, 0, 4, 1ms}},
                                            {"gate4", {0, 0, 4, 1ms}}};
  Version m_GateVersion = 0;
  /// State that the ledgers of the gates report.
  LedgerState m_Ledger = LedgerState::NeverRuns;

  std::vector<ReceivedDispatch> m_Dispatches;
  std::map<LinkId, std::string> m_Links;
  std::vector<std::pair<LinkId, std::string>> m_Opens;
  std::vector<SendTraffic> m_Sends;
  std::vector<LinkId> m_Closes;
  std::map<CallId, AnswerCaller> m_Answers;
  std::size_t m_AnswerCount = 0;
  std::vector<NewerVersionSeen> m_NewerVersions;
  std::vector<Event> m_Events;

private:
  void perform(const OpenTrafficLink &Open) {
    m_Opens.emplace_back(Open.m_Link, Open.m_GateAddress);
    if (m_Unreachable.contains(Open.m_GateAddress))
      return;
    if (m_Refusing.contains(Open.m_GateAddress))
      return m_Ingress.onLinkClosed(Open.m_Link, m_Now);
    m_Links[Open.m_Link] = Open.m_GateAddress;
    m_Ingress.onLinkOpened(Open.m_Link, m_Now);
  }

  void perform(const SendTraffic &Send) {
    m_Sends.push_back(Send);
    if (m_Silent.contains(Send.m_Link) || !m_Links.contains(Send.m_Link))
      return;
    const std::string &Gate = m_Links.at(Send.m_Link);
    const TrafficMessage &Message = Send.m_Message;
    if (const auto *Hello = std::get_if<TrafficHello>(&Message)) {
      m_Ingress.onMessage(Send.m_Link,
                          TrafficWelcome{Gate, m_Incarnations[Gate],
                                         Hello->m_Epoch, m_GateVersion,
                                         m_Load[Gate]},
                          m_Now);
    } else if (const auto *Ping = std::get_if<TrafficPing>(&Message)) {
      m_Ingress.onMessage(
          Send.m_Link,
          TrafficPong{Ping->m_Sequence, m_GateVersion, m_Load[Gate]}, m_Now);
    } else if (const auto *Request = std::get_if<Dispatch>(&Message)) {
      m_Dispatches.push_back({Gate, Send.m_Link, *Request});
    } else if (const auto *Question = std::get_if<Inquiry>(&Message)) {
      for (const RequestId &Id : Question->m_Ids)
        m_Ingress.onMessage(Send.m_Link, InquiryReply{Id, m_Ledger}, m_Now);
    }
  }

  void perform(const CloseTrafficLink &Close) {
    m_Closes.push_back(Close.m_Link);
    m_Links.erase(Close.m_Link);
  }

  void perform(const AnswerCaller &Answer) {
    ++m_AnswerCount;
    m_Answers[Answer.m_Call] = Answer;
  }

  void perform(const NewerVersionSeen &Seen) {
    m_NewerVersions.push_back(Seen);
  }
  void perform(const Event &Seen) { m_Events.push_back(Seen); }
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_TESTS_UNIT_INGRESS_FIXTURE_H
