#include "dandelionfall/core/gate.h"

#include <deque>
#include <unordered_map>
#include <utility>

namespace dandelionfall::core {

// Thin first version: runs what it is sent, up to the target's slots.
class Gate::Impl {
public:
  explicit Impl(GateOptions Options) : m_Options(std::move(Options)) {}

  void hello(LinkId Link, const TrafficHello &Message) {
    TrafficWelcome Reply;
    Reply.m_Host = m_Options.m_Host;
    Reply.m_Gate = m_Options.m_Incarnation;
    Reply.m_Epoch = Message.m_Epoch;
    Reply.m_Version = version();
    Reply.m_Capacity = capacity();
    send(Link, Reply);
  }

  void dispatch(LinkId Link, const Dispatch &Message, TimePoint Now) {
    if (m_Draining)
      return refuse(Link, Message.m_Id, RefusalReason::Draining);
    if (Message.m_Gate != m_Options.m_Incarnation)
      return refuse(Link, Message.m_Id, RefusalReason::WrongIncarnation);
    if (Message.m_Target != m_Options.m_Target)
      return refuse(Link, Message.m_Id, RefusalReason::UnknownTarget);
    if (m_Config != nullptr && !isZoneIn(*m_Config, m_Options.m_Zone))
      return refuse(Link, Message.m_Id, RefusalReason::ZoneOut);
    m_Requests.emplace(Message.m_Id,
                       Entry{Link, Now + Message.m_Remaining, Message});
    m_Queue.push_back(Message.m_Id);
    startQueued();
  }

  void finish(const RequestId &Id, TrafficMessage Message) {
    const auto Found = m_Requests.find(Id);
    if (Found == m_Requests.end())
      return;
    send(Found->second.m_Link, std::move(Message));
    m_Requests.erase(Found);
    --m_InFlight;
    startQueued();
    checkDrained();
  }

  void checkDrained() {
    if (m_Draining && m_Requests.empty())
      m_Commands.emplace_back(GateDrained{});
  }

  Capacity capacity() const {
    Capacity Value;
    Value.m_InFlight = m_InFlight;
    Value.m_Queued = static_cast<std::uint32_t>(m_Queue.size());
    Value.m_Limit = m_Slots;
    return Value;
  }

  Version version() const {
    return m_Config == nullptr ? 0 : m_Config->m_Stamp.m_Version;
  }

  void send(LinkId Link, TrafficMessage Message) {
    m_Commands.emplace_back(SendTraffic{Link, std::move(Message)});
  }

  void refuse(LinkId Link, const RequestId &Id, RefusalReason Reason) {
    send(Link, Refusal{Id, Reason, Duration{0}, version(), capacity()});
  }

  void startQueued() {
    while (!m_Queue.empty() && m_InFlight < m_Slots) {
      const Entry &Next = m_Requests.at(m_Queue.front());
      m_Queue.pop_front();
      ++m_InFlight;
      m_Commands.emplace_back(StartTarget{Next.m_Dispatch.m_Id, Next.m_Deadline,
                                          Next.m_Dispatch.m_Idempotent,
                                          Next.m_Dispatch.m_Request});
    }
  }

  void readSlots() {
    for (const auto &[Name, ServicePtr] : m_Config->m_Services) {
      for (const Target &Candidate : ServicePtr->m_Targets) {
        if (Candidate.m_Name == m_Options.m_Target)
          m_Slots = Candidate.m_Slots;
      }
    }
  }

  struct Entry {
    LinkId m_Link;
    TimePoint m_Deadline;
    Dispatch m_Dispatch;
  };

  GateOptions m_Options;
  ConfigurationPtr m_Config;
  std::unordered_map<RequestId, Entry> m_Requests;
  std::deque<RequestId> m_Queue;
  std::uint32_t m_InFlight = 0;
  std::uint32_t m_Slots = 1;
  bool m_Draining = false;
  std::vector<GateCommand> m_Commands;
};

Gate::Gate(GateOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options))) {}

Gate::~Gate() = default;

void Gate::onConfiguration(ConfigurationPtr Config, TimePoint /*Now*/) {
  m_Impl->m_Config = std::move(Config);
  m_Impl->readSlots();
}

void Gate::onMessage(LinkId Link, const TrafficMessage &Message,
                     TimePoint Now) {
  if (const auto *Hello = std::get_if<TrafficHello>(&Message))
    return m_Impl->hello(Link, *Hello);
  if (const auto *Request = std::get_if<Dispatch>(&Message))
    return m_Impl->dispatch(Link, *Request, Now);
  if (const auto *Ping = std::get_if<TrafficPing>(&Message))
    return m_Impl->send(Link, TrafficPong{Ping->m_Sequence, m_Impl->version(),
                                          m_Impl->capacity()});
}

void Gate::onLinkClosed(LinkId /*Link*/, TimePoint /*Now*/) {}

void Gate::onTargetAnswer(const RequestId &Id, HttpResponsePtr Response,
                          TimePoint /*Now*/) {
  m_Impl->finish(Id, Answer{Id, std::move(Response), m_Impl->capacity()});
}

void Gate::onTargetFailure(const RequestId &Id, TargetFailure Kind,
                           const std::string &Detail, TimePoint /*Now*/) {
  if (Kind == TargetFailure::NotSent)
    return m_Impl->finish(Id,
                          Refusal{Id, RefusalReason::TargetDown, Duration{0},
                                  m_Impl->version(), m_Impl->capacity()});
  m_Impl->finish(Id, Failure{Id, Detail, m_Impl->capacity()});
}

void Gate::startDrain(TimePoint /*Now*/) {
  m_Impl->m_Draining = true;
  m_Impl->checkDrained();
}

void Gate::onTick(TimePoint /*Now*/) {}

std::optional<TimePoint> Gate::nextWakeUp() const { return std::nullopt; }

Capacity Gate::capacity() const { return m_Impl->capacity(); }

std::vector<GateCommand> Gate::takeCommands() {
  return std::exchange(m_Impl->m_Commands, {});
}

} // namespace dandelionfall::core
