#include "fleet.h"

#include <utility>

namespace dandelionfall::benchmark {

namespace {

constexpr Duration SameZoneLatency = 100us;
/// Makes the numbers of links of different ingresses differ at a gate.
constexpr std::uint64_t LinksPerNode = 1ULL << 32U;

std::string bodyOf(std::uint64_t Call) { return std::to_string(Call); }

} // namespace

struct Fleet::Node {
  std::size_t m_Index = 0;
  std::size_t m_Service = 0;
  std::size_t m_Zone = 0;
  std::unique_ptr<core::Ingress> m_Ingress;
  std::unique_ptr<core::Gate> m_Gate;
  SimulatedTarget m_Target;
  core::ConfigurationPtr m_Config;
  std::uint64_t m_Turn = 0;
  std::unordered_map<core::LinkId, Node *> m_Links;
  TimePoint m_WakeUp = TimePoint::max();
};

struct Fleet::CallState {
  bool m_Booking = false;
  bool m_Counts = false;
  Duration m_Work{0};
  TimePoint m_Deadline;
  unsigned m_Runs = 0;
  bool m_ToldNotRun = false;
};

double RoutingResult::inTimePercent() const {
  return m_Calls == 0 ? 0.0
                      : 100.0 * static_cast<double>(m_InTime) /
                            static_cast<double>(m_Calls);
}

Fleet::Fleet(const Deployment &Of, Mode How, Work Distribution,
             std::uint64_t Seed)
    : m_Of(Of), m_How(How), m_Work(Distribution), m_Random(Seed) {
  for (std::size_t Service = 0; Service < Of.m_Services.size(); ++Service) {
    for (std::size_t Zone = 0; Zone < Of.m_Zones.size(); ++Zone) {
      auto Added = std::make_unique<Node>();
      Added->m_Index = m_Nodes.size();
      Added->m_Service = Service;
      Added->m_Zone = Zone;
      Added->m_Target = SimulatedTarget(Of.m_Slots);
      const std::string Address = gateAddress(Service, Zone);
      const std::string Host = "h" + Address;
      const std::uint64_t Number = Added->m_Index + 1;
      Added->m_Ingress = std::make_unique<core::Ingress>(
          core::IngressOptions{Host,
                               Of.m_Zones[Zone],
                               {1, Number},
                               m_Random(),
                               "least-loaded-of-two"});
      Added->m_Gate = std::make_unique<core::Gate>(core::GateOptions{
          Host, Of.m_Zones[Zone], "t" + Address, {2, Number}, "deadline"});
      m_ByAddress[Address] = Added.get();
      m_Nodes.push_back(std::move(Added));
    }
  }
}

Fleet::~Fleet() = default;

void Fleet::at(TimePoint When, std::function<void()> Action) {
  m_Timers.push({When, ++m_TimerCount, std::move(Action)});
}

RoutingResult Fleet::run() {
  for (const std::unique_ptr<Node> &Each : m_Nodes) {
    Each->m_Config = makeConfiguration(m_Of, 1, core::ZoneState::In);
    Each->m_Ingress->onConfiguration(Each->m_Config, m_Now);
    Each->m_Gate->onConfiguration(Each->m_Config, m_Now);
    pump(*Each);
  }
  at(m_Start + ZoneLeaves, [this] { publish(2, core::ZoneState::Out); });
  at(m_Start + ZoneReturns, [this] {
    // What runs in the availability zone was started anew in the meantime.
    for (const std::unique_ptr<Node> &Each : m_Nodes) {
      if (Each->m_Zone == 0)
        Each->m_Target.restart(m_Now);
    }
    publish(3, core::ZoneState::In);
  });
  for (std::size_t Service = 0; Service < m_Of.m_Services.size(); ++Service)
    scheduleNextCall(Service);
  while (!m_Timers.empty() && m_Timers.top().m_When < m_Start + RunEnd) {
    const Timer Next = m_Timers.top();
    m_Timers.pop();
    m_Now = Next.m_When;
    Next.m_Action();
  }
  for (const CallState &Call : m_Calls) {
    if (Call.m_Booking && Call.m_Runs > 1)
      ++m_Result.m_RanTwice;
    if (Call.m_ToldNotRun && Call.m_Runs > 0)
      ++m_Result.m_FalseNotRun;
  }
  return m_Result;
}

void Fleet::publish(core::Version Number, core::ZoneState FirstZone) {
  const core::ConfigurationPtr Config =
      makeConfiguration(m_Of, Number, FirstZone);
  std::uniform_int_distribution<Duration::rep> Delay(
      0, LongestConvergence.count());
  for (const std::unique_ptr<Node> &Each : m_Nodes) {
    at(m_Now + Duration(Delay(m_Random)), [this, Config, On = Each.get()] {
      On->m_Config = Config;
      On->m_Ingress->onConfiguration(Config, m_Now);
      On->m_Gate->onConfiguration(Config, m_Now);
      pump(*On);
    });
  }
}

// Callers.

void Fleet::scheduleNextCall(std::size_t Service) {
  const double Left = static_cast<double>(m_Of.m_Zones.size() - 1) *
                      static_cast<double>(m_Of.m_Slots);
  const double PerMicrosecond =
      LoadShare * Left / static_cast<double>(MeanWork.count());
  std::exponential_distribution<double> Gap(PerMicrosecond);
  at(m_Now + Duration(static_cast<Duration::rep>(Gap(m_Random))),
     [this, Service] {
       if (m_Now > m_Start + LastCall)
         return;
       makeCall(Service);
       scheduleNextCall(Service);
     });
}

void Fleet::makeCall(std::size_t Service) {
  const std::uint64_t Id = m_Calls.size();
  CallState Call;
  Call.m_Booking = std::bernoulli_distribution(BookingShare)(m_Random);
  Call.m_Counts = m_Now >= m_Start + CountFrom;
  Call.m_Work = drawWork();
  Call.m_Deadline = m_Now + CallDeadline;
  m_Calls.push_back(Call);
  if (Call.m_Counts)
    ++m_Result.m_Calls;
  Node &From = *m_Nodes[m_Random() % m_Nodes.size()];
  if (m_How == Mode::Baseline)
    return baselineCall(Id, Service, From);
  core::HttpRequest Request;
  Request.m_Method = Call.m_Booking ? "POST" : "GET";
  Request.m_Path = std::string("/") + m_Of.m_Services[Service];
  Request.m_Body = bodyOf(Id);
  From.m_Ingress->onCall(
      Id, std::make_shared<core::HttpRequest>(std::move(Request)), std::nullopt,
      m_Now);
  pump(From);
}

Duration Fleet::drawWork() {
  const auto Mean = static_cast<double>(MeanWork.count());
  const double Drawn =
      m_Work == Work::Exponential
          ? std::exponential_distribution<double>(1.0 / Mean)(m_Random)
          : std::uniform_real_distribution<double>(Mean / 2,
                                                   Mean * 3 / 2)(m_Random);
  return Duration(static_cast<Duration::rep>(Drawn) + 1);
}

void Fleet::finishCall(std::uint64_t Id, core::CallOutcome Outcome,
                       const std::string &Body) {
  CallState &Call = m_Calls[Id];
  if (Outcome == core::CallOutcome::NotRun)
    Call.m_ToldNotRun = true;
  if (Outcome == core::CallOutcome::Answered && Body != bodyOf(Id))
    ++m_Result.m_NotWhole;
  if (!Call.m_Counts)
    return;
  if (Outcome == core::CallOutcome::Answered && m_Now <= Call.m_Deadline)
    ++m_Result.m_InTime;
  if (Outcome == core::CallOutcome::NotRun)
    ++m_Result.m_NotRun;
  if (Outcome == core::CallOutcome::Unknown)
    ++m_Result.m_Unknown;
}

void Fleet::baselineCall(std::uint64_t Id, std::size_t Service, Node &From) {
  std::vector<Node *> In;
  for (std::size_t Zone = 0; Zone < m_Of.m_Zones.size(); ++Zone) {
    if (core::isZoneIn(*From.m_Config, m_Of.m_Zones[Zone]))
      In.push_back(m_ByAddress.at(gateAddress(Service, Zone)));
  }
  Node &To = *In[From.m_Turn++ % In.size()];
  const Duration Way = latency(From, To);
  at(m_Now + Way, [this, Id, Way, &To] {
    if (!To.m_Target.isUp(m_Now))
      return finishCall(Id, core::CallOutcome::NotRun, "");
    runAtTarget(To, Id, [this, Id, Way](bool Reset) {
      at(m_Now + Way, [this, Id, Reset] {
        finishCall(Id,
                   Reset ? core::CallOutcome::Unknown
                         : core::CallOutcome::Answered,
                   bodyOf(Id));
      });
    });
  });
}

// Targets.

void Fleet::runAtTarget(Node &On, std::uint64_t Id,
                        std::function<void(bool Reset)> Done) {
  CallState &Call = m_Calls[Id];
  ++Call.m_Runs;
  const bool Out = On.m_Zone == 0 && m_Now > m_Start + ZoneLeaves + 3s &&
                   m_Now < m_Start + ZoneReturns;
  if (Out)
    ++m_Result.m_DispatchedAfter3s;
  const Duration Work = On.m_Target.start(Call.m_Work, m_Now);
  if (Work == Duration{0}) {
    ++m_Result.m_OverLimit;
    return Done(true);
  }
  at(m_Now + Work,
     [&On, Generation = On.m_Target.generation(), Done = std::move(Done)] {
       const bool Reset = On.m_Target.generation() != Generation;
       if (!Reset)
         On.m_Target.finish();
       Done(Reset);
     });
}

void Fleet::startTarget(Node &On, const core::StartTarget &Start) {
  const core::RequestId Id = Start.m_Id;
  if (!On.m_Target.isUp(m_Now)) {
    at(m_Now, [this, &On, Id] {
      On.m_Gate->onTargetFailure(Id, core::TargetFailure::NotSent, "refused",
                                 m_Now);
      pump(On);
    });
    return;
  }
  const std::string Body = Start.m_Request->m_Body;
  runAtTarget(On, std::stoull(Body), [this, &On, Id, Body](bool Reset) {
    at(m_Now, [this, &On, Id, Body, Reset] {
      if (Reset) {
        On.m_Gate->onTargetFailure(Id, core::TargetFailure::Reset, "reset",
                                   m_Now);
      } else {
        On.m_Gate->onTargetAnswer(Id,
                                  std::make_shared<core::HttpResponse>(
                                      core::HttpResponse{200, {}, Body}),
                                  m_Now);
      }
      pump(On);
    });
  });
}

// Nodes.

Duration Fleet::latency(const Node &From, const Node &To) const {
  return From.m_Zone == To.m_Zone ? SameZoneLatency : m_Of.m_Latency;
}

void Fleet::pump(Node &On) {
  performIngress(On);
  performGate(On);
  wakeUpLater(On);
}

void Fleet::wakeUpLater(Node &On) {
  TimePoint Next = On.m_Ingress->nextWakeUp().value_or(TimePoint::max());
  Next = std::min(Next, On.m_Gate->nextWakeUp().value_or(TimePoint::max()));
  Next = std::max(Next, m_Now);
  if (Next >= On.m_WakeUp)
    return;
  On.m_WakeUp = Next;
  at(Next, [this, &On, Next] {
    if (On.m_WakeUp != Next)
      return;
    On.m_WakeUp = TimePoint::max();
    On.m_Ingress->onTick(m_Now);
    On.m_Gate->onTick(m_Now);
    pump(On);
  });
}

void Fleet::openLink(Node &From, core::LinkId Link,
                     const std::string &Address) {
  Node &To = *m_ByAddress.at(Address);
  From.m_Links[Link] = &To;
  To.m_Links[From.m_Index * LinksPerNode + Link] = &From;
  at(m_Now + 2 * latency(From, To), [this, &From, Link] {
    From.m_Ingress->onLinkOpened(Link, m_Now);
    pump(From);
  });
}

void Fleet::performIngress(Node &On) {
  for (const core::IngressCommand &Command : On.m_Ingress->takeCommands()) {
    if (const auto *Open = std::get_if<core::OpenTrafficLink>(&Command)) {
      openLink(On, Open->m_Link, Open->m_GateAddress);
    } else if (const auto *Send = std::get_if<core::SendTraffic>(&Command)) {
      Node &To = *On.m_Links.at(Send->m_Link);
      const core::LinkId Link = On.m_Index * LinksPerNode + Send->m_Link;
      at(m_Now + latency(On, To), [this, &To, Link, Message = Send->m_Message] {
        To.m_Gate->onMessage(Link, Message, m_Now);
        pump(To);
      });
    } else if (const auto *Final = std::get_if<core::AnswerCaller>(&Command)) {
      finishCall(Final->m_Call, Final->m_Outcome,
                 Final->m_Response ? Final->m_Response->m_Body : "");
    }
  }
}

void Fleet::performGate(Node &On) {
  for (const core::GateCommand &Command : On.m_Gate->takeCommands()) {
    if (const auto *Send = std::get_if<core::SendTraffic>(&Command)) {
      Node &To = *On.m_Links.at(Send->m_Link);
      const core::LinkId Link = Send->m_Link % LinksPerNode;
      at(m_Now + latency(On, To), [this, &To, Link, Message = Send->m_Message] {
        To.m_Ingress->onMessage(Link, Message, m_Now);
        pump(To);
      });
    } else if (const auto *Start = std::get_if<core::StartTarget>(&Command)) {
      startTarget(On, *Start);
    }
  }
}

} // namespace dandelionfall::benchmark
