#include "dandelionfall/core/ingress.h"

#include <map>
#include <random>
#include <unordered_map>
#include <utility>

namespace dandelionfall::core {

// Thin first version: a random target of an availability zone that is in, one
// try.
class Ingress::Impl {
public:
  explicit Impl(IngressOptions Options)
      : m_Options(std::move(Options)), m_Random(m_Options.m_Seed) {}

  struct Call {
    CallId m_Call = 0;
    std::string m_GateAddress;
    Dispatch m_Dispatch;
    TimePoint m_Deadline;
    bool m_Sent = false;
  };

  struct Link {
    LinkId m_Id = 0;
    bool m_Welcomed = false;
    Incarnation m_Gate;
    std::vector<RequestId> m_Waiting;
  };

  void call(CallId Id, HttpRequestPtr Request,
            std::optional<Duration> CallerDeadline, TimePoint Now) {
    const RouteMatch Match =
        m_Config == nullptr
            ? RouteMatch{}
            : findRoute(*m_Config, Request->m_HostName, Request->m_Path);
    if (Match.m_Service == nullptr)
      return answer(Id, CallOutcome::NoRoute, nullptr, "no route");
    const Target *Chosen = chooseTarget(*Match.m_Service);
    if (Chosen == nullptr)
      return answer(Id, CallOutcome::NotRun, nullptr, "no target takes work");
    const Profile &Policy = m_Config->m_Profiles.at(Match.m_Service->m_Profile);
    Call Entry;
    Entry.m_Call = Id;
    Entry.m_GateAddress = Chosen->m_GateAddress;
    Entry.m_Deadline = Now + CallerDeadline.value_or(Policy.m_Deadline);
    Entry.m_Dispatch.m_Id = {m_Options.m_Incarnation, ++m_Sequence};
    Entry.m_Dispatch.m_Service = Match.m_Service->m_Name;
    Entry.m_Dispatch.m_Target = Chosen->m_Name;
    Entry.m_Dispatch.m_Request = std::move(Request);
    const RequestId RequestKey = Entry.m_Dispatch.m_Id;
    m_Calls.emplace(RequestKey, std::move(Entry));
    dispatch(RequestKey, Now);
  }

  const Target *chooseTarget(const Service &Wanted) {
    std::vector<const Target *> Candidates;
    for (const Target &Candidate : Wanted.m_Targets) {
      if (!isZoneIn(*m_Config, Candidate.m_Zone))
        continue;
      Candidates.push_back(&Candidate);
    }
    if (Candidates.empty())
      return nullptr;
    return Candidates[m_Random() % Candidates.size()];
  }

  void dispatch(const RequestId &Id, TimePoint Now) {
    Call &Entry = m_Calls.at(Id);
    Link &Gate = m_Links[Entry.m_GateAddress];
    if (Gate.m_Id == 0) {
      Gate.m_Id = ++m_LastLink;
      m_Addresses[Gate.m_Id] = Entry.m_GateAddress;
      m_Commands.emplace_back(OpenTrafficLink{Gate.m_Id, Entry.m_GateAddress});
    }
    if (!Gate.m_Welcomed) {
      Gate.m_Waiting.push_back(Id);
      return;
    }
    Entry.m_Dispatch.m_Gate = Gate.m_Gate;
    Entry.m_Dispatch.m_Remaining = Entry.m_Deadline - Now;
    Entry.m_Dispatch.m_Version = m_Config->m_Stamp.m_Version;
    Entry.m_Sent = true;
    m_Commands.emplace_back(SendTraffic{Gate.m_Id, Entry.m_Dispatch});
  }

  void finish(const RequestId &Id, CallOutcome Outcome,
              HttpResponsePtr Response, const std::string &Detail,
              Duration RetryAfter = Duration{0}) {
    const auto Found = m_Calls.find(Id);
    if (Found == m_Calls.end())
      return;
    answer(Found->second.m_Call, Outcome, std::move(Response), Detail,
           RetryAfter);
    m_Calls.erase(Found);
  }

  void answer(CallId Id, CallOutcome Outcome, HttpResponsePtr Response,
              const std::string &Detail, Duration RetryAfter = Duration{0}) {
    m_Commands.emplace_back(
        AnswerCaller{Id, Outcome, std::move(Response), RetryAfter, Detail});
  }

  void linkClosed(LinkId Id) {
    const auto Found = m_Addresses.find(Id);
    if (Found == m_Addresses.end())
      return;
    const std::string Address = Found->second;
    m_Addresses.erase(Found);
    m_Links.erase(Address);
    std::vector<RequestId> Lost;
    for (const auto &[Key, Entry] : m_Calls) {
      if (Entry.m_GateAddress == Address)
        Lost.push_back(Key);
    }
    for (const RequestId &Key : Lost)
      finish(Key,
             m_Calls.at(Key).m_Sent ? CallOutcome::Unknown
                                    : CallOutcome::NotRun,
             nullptr, "link lost");
  }

  IngressOptions m_Options;
  std::mt19937_64 m_Random;
  ConfigurationPtr m_Config;
  std::uint64_t m_Sequence = 0;
  LinkId m_LastLink = 0;
  std::unordered_map<RequestId, Call> m_Calls;
  std::map<std::string, Link> m_Links;
  std::map<LinkId, std::string> m_Addresses;
  std::vector<IngressCommand> m_Commands;
};

Ingress::Ingress(IngressOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options))) {}

Ingress::~Ingress() = default;

void Ingress::onConfiguration(ConfigurationPtr Config, TimePoint /*Now*/) {
  m_Impl->m_Config = std::move(Config);
}

void Ingress::onCall(CallId Call, HttpRequestPtr Request,
                     std::optional<Duration> CallerDeadline, TimePoint Now) {
  m_Impl->call(Call, std::move(Request), CallerDeadline, Now);
}

void Ingress::onCallerGone(CallId /*Call*/, TimePoint /*Now*/) {}

void Ingress::onLinkOpened(LinkId Link, TimePoint /*Now*/) {
  TrafficHello Hello;
  Hello.m_Host = m_Impl->m_Options.m_Host;
  Hello.m_Ingress = m_Impl->m_Options.m_Incarnation;
  Hello.m_Epoch = Link;
  m_Impl->m_Commands.emplace_back(SendTraffic{Link, Hello});
}

void Ingress::onLinkClosed(LinkId Link, TimePoint /*Now*/) {
  m_Impl->linkClosed(Link);
}

void Ingress::onMessage(LinkId Link, const TrafficMessage &Message,
                        TimePoint Now) {
  if (const auto *Welcome = std::get_if<TrafficWelcome>(&Message)) {
    Impl::Link &Gate = m_Impl->m_Links[m_Impl->m_Addresses.at(Link)];
    Gate.m_Welcomed = true;
    Gate.m_Gate = Welcome->m_Gate;
    for (const RequestId &Id : std::exchange(Gate.m_Waiting, {}))
      m_Impl->dispatch(Id, Now);
  } else if (const auto *Result = std::get_if<Answer>(&Message)) {
    m_Impl->finish(Result->m_Id, CallOutcome::Answered, Result->m_Response, "");
  } else if (const auto *Refused = std::get_if<Refusal>(&Message)) {
    m_Impl->finish(Refused->m_Id, CallOutcome::NotRun, nullptr, "refused",
                   Refused->m_RetryAfter);
  } else if (const auto *Failed = std::get_if<Failure>(&Message)) {
    m_Impl->finish(Failed->m_Id, CallOutcome::Unknown, nullptr,
                   Failed->m_Detail);
  }
}

void Ingress::onTick(TimePoint /*Now*/) {}

std::optional<TimePoint> Ingress::nextWakeUp() const { return std::nullopt; }

std::size_t Ingress::openCalls() const { return m_Impl->m_Calls.size(); }

std::vector<IngressCommand> Ingress::takeCommands() {
  return std::exchange(m_Impl->m_Commands, {});
}

} // namespace dandelionfall::core
