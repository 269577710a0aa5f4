#include "contract/requests_world_parts.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

namespace {

constexpr Duration Latency = 1ms;
constexpr Duration RefusedAfter = 2ms;
/// Time from the end of a drain to the end of the process.
constexpr Duration ExitDelay = 5ms;

std::string addressOf(std::size_t Gate) {
  return "gate" + std::to_string(Gate);
}

} // namespace

RequestsWorld::RequestsWorld(std::size_t GateCount, std::uint64_t Seed) {
  m_IngressProcess = std::make_unique<Process>();
  m_Ingress = std::make_unique<Ingress>(
      IngressOptions{"h", "near", {1, 1}, Seed, "least-loaded-of-two"});
  m_IngressProcess->m_Perform = [this] { performIngress(); };
  m_IngressProcess->m_Tick = [this](TimePoint Time) {
    m_Ingress->onTick(Time);
  };
  m_IngressProcess->m_NextWakeUp = [this] { return m_Ingress->nextWakeUp(); };
  for (std::size_t Index = 0; Index < GateCount; ++Index) {
    m_Gates.push_back(std::make_unique<GateProcess>());
    GateProcess &Gate = *m_Gates.back();
    Gate.m_Index = Index;
    Gate.m_Perform = [this, &Gate] { performGate(Gate); };
    Gate.m_Tick = [&Gate](TimePoint Time) { Gate.m_Gate->onTick(Time); };
    Gate.m_NextWakeUp = [&Gate] { return Gate.m_Gate->nextWakeUp(); };
    startGate(Gate);
  }
  m_Ingress->onConfiguration(configuration(), m_Now);
  afterInput(*m_IngressProcess);
}

RequestsWorld::~RequestsWorld() = default;

ConfigurationPtr RequestsWorld::configuration() const {
  auto Config = std::make_shared<Configuration>();
  Config->m_Stamp.m_Version = m_Version;
  Config->m_Zones["near"] = {"near", "region", m_ZoneState};
  Config->m_Zones["next"] = {"next", "region", ZoneState::In};
  Profile Standard;
  Standard.m_Name = "standard";
  Standard.m_ColdStartLimit = 12;
  Standard.m_Deadline = 2s;
  Config->m_Profiles["standard"] = Standard;
  auto Desk = std::make_shared<Service>();
  Desk->m_Name = "desk";
  Desk->m_Profile = "standard";
  Desk->m_Routes.push_back({"/", "", Idempotency::ByMethod});
  for (std::size_t Index = 0; Index < m_Gates.size(); ++Index) {
    const bool Last = Index + 1 == m_Gates.size();
    Desk->m_Targets.push_back(
        {"t" + std::to_string(Index), "h" + std::to_string(Index),
         Last ? "next" : "near", addressOf(Index), 12, 24});
  }
  Config->m_Services["desk"] = Desk;
  return Config;
}

// Time and processes.

void RequestsWorld::schedule(TimePoint When, std::function<void()> Action) {
  m_Events.emplace(std::pair(std::max(When, m_Now), ++m_EventCount),
                   std::move(Action));
}

void RequestsWorld::at(Duration After, std::function<void()> Action) {
  schedule(m_Start + After, std::move(Action));
}

void RequestsWorld::runUntil(Duration After) {
  const TimePoint Until = m_Start + After;
  while (!m_Events.empty() && m_Events.begin()->first.first <= Until) {
    const auto First = m_Events.extract(m_Events.begin());
    m_Now = First.key().first;
    First.mapped()();
  }
  m_Now = Until;
}

void RequestsWorld::give(Process &To, std::function<void()> Input) {
  if (!To.m_Alive)
    return;
  if (m_Now < To.m_FrozenUntil) {
    To.m_Inbox.push_back(std::move(Input));
    return;
  }
  Input();
  afterInput(To);
}

void RequestsWorld::afterInput(Process &Of) {
  Of.m_Perform();
  const std::optional<TimePoint> Next = Of.m_NextWakeUp();
  if (!Next)
    return;
  schedule(*Next, [this, &Of, Generation = Of.m_Generation] {
    const bool Current = Of.m_Alive && Of.m_Generation == Generation;
    if (!Current || m_Now < Of.m_FrozenUntil)
      return;
    const std::optional<TimePoint> Due = Of.m_NextWakeUp();
    if (!Due || *Due > m_Now)
      return;
    Of.m_Tick(m_Now);
    afterInput(Of);
  });
}

void RequestsWorld::freeze(Process &Of, Duration Time) {
  Of.m_FrozenUntil = std::max(Of.m_FrozenUntil, m_Now + Time);
  schedule(Of.m_FrozenUntil, [this, &Of] { wake(Of); });
}

void RequestsWorld::wake(Process &Of) {
  if (!Of.m_Alive || m_Now < Of.m_FrozenUntil)
    return;
  const auto Inputs = std::exchange(Of.m_Inbox, {});
  if (m_TimersFirst)
    Of.m_Tick(m_Now);
  for (const std::function<void()> &Input : Inputs)
    Input();
  if (!m_TimersFirst)
    Of.m_Tick(m_Now);
  afterInput(Of);
}

void RequestsWorld::startGate(GateProcess &Gate) {
  ++Gate.m_Generation;
  Gate.m_Alive = true;
  Gate.m_FrozenUntil = m_Now;
  const std::string Number = std::to_string(Gate.m_Index);
  const bool Last = Gate.m_Index + 1 == m_Gates.size();
  Gate.m_Gate = std::make_unique<core::Gate>(
      GateOptions{"h" + Number,
                  Last ? "next" : "near",
                  "t" + Number,
                  {Gate.m_Index + 10, Gate.m_Generation},
                  "deadline"});
  // The configuration lists all gates, also while they are being made.
  schedule(m_Now, [this, &Gate] {
    give(Gate, [this, &Gate] {
      Gate.m_Gate->onConfiguration(configuration(), m_Now);
    });
  });
}

// Links.

void RequestsWorld::openLink(LinkId Id, const std::string &Address) {
  std::size_t Index = 0;
  while (addressOf(Index) != Address)
    ++Index;
  schedule(m_Now + RefusedAfter, [this, Id, Index] {
    GateProcess &Gate = gate(Index);
    if (m_Now < Gate.m_CutOffUntil)
      return;
    if (!Gate.m_Alive)
      return give(*m_IngressProcess,
                  [this, Id] { m_Ingress->onLinkClosed(Id, m_Now); });
    m_Links[Id] = Link{Index, Gate.m_Generation, true, true, {}, {}};
    give(*m_IngressProcess, [this, Id] { m_Ingress->onLinkOpened(Id, m_Now); });
  });
}

void RequestsWorld::carry(LinkId Id, Direction Way,
                          std::function<void()> Arrival) {
  const auto Found = m_Links.find(Id);
  if (Found == m_Links.end())
    return;
  schedule(m_Now + Latency, [this, Id, Way, Arrival = std::move(Arrival)] {
    arrive(Id, Way, Arrival);
  });
}

void RequestsWorld::arrive(LinkId Id, Direction Way,
                           std::function<void()> Arrival) {
  Link &On = m_Links.at(Id);
  const auto Index = static_cast<std::size_t>(Way);
  if (On.m_Silent[Index])
    return;
  if (m_Now < On.m_HeldUntil[Index])
    return schedule(On.m_HeldUntil[Index],
                    [this, Id, Way, Arrival = std::move(Arrival)] {
                      arrive(Id, Way, Arrival);
                    });
  if (Way == Direction::ToIngress) {
    if (On.m_OpenAtIngress)
      give(*m_IngressProcess, std::move(Arrival));
    return;
  }
  GateProcess &Gate = gate(On.m_Gate);
  if (On.m_OpenAtGate && Gate.m_Generation == On.m_Generation)
    give(Gate, std::move(Arrival));
}

// Commands.

void RequestsWorld::performIngress() {
  for (const IngressCommand &Command : m_Ingress->takeCommands()) {
    if (const auto *Open = std::get_if<OpenTrafficLink>(&Command)) {
      openLink(Open->m_Link, Open->m_GateAddress);
    } else if (const auto *Send = std::get_if<SendTraffic>(&Command)) {
      const LinkId Id = Send->m_Link;
      carry(Id, Direction::ToGate, [this, Id, Message = Send->m_Message] {
        gate(m_Links.at(Id).m_Gate).m_Gate->onMessage(Id, Message, m_Now);
      });
    } else if (const auto *Close = std::get_if<CloseTrafficLink>(&Command)) {
      const LinkId Id = Close->m_Link;
      if (!m_Links.contains(Id))
        continue;
      m_Links.at(Id).m_OpenAtIngress = false;
      carry(Id, Direction::ToGate, [this, Id] {
        m_Links.at(Id).m_OpenAtGate = false;
        gate(m_Links.at(Id).m_Gate).m_Gate->onLinkClosed(Id, m_Now);
      });
    } else if (const auto *Final = std::get_if<AnswerCaller>(&Command)) {
      CallerRecord &Caller = m_Callers.at(Final->m_Call);
      ++Caller.m_Answers;
      Caller.m_AnsweredAt = m_Now;
      Caller.m_Answer = *Final;
    }
  }
}

void RequestsWorld::performGate(GateProcess &Gate) {
  for (const GateCommand &Command : Gate.m_Gate->takeCommands()) {
    if (const auto *Send = std::get_if<SendTraffic>(&Command)) {
      const LinkId Id = Send->m_Link;
      carry(Id, Direction::ToIngress, [this, Id, Message = Send->m_Message] {
        m_Ingress->onMessage(Id, Message, m_Now);
      });
    } else if (const auto *Close = std::get_if<CloseTrafficLink>(&Command)) {
      const LinkId Id = Close->m_Link;
      m_Links.at(Id).m_OpenAtGate = false;
      carry(Id, Direction::ToIngress, [this, Id] {
        m_Links.at(Id).m_OpenAtIngress = false;
        m_Ingress->onLinkClosed(Id, m_Now);
      });
    } else if (const auto *Start = std::get_if<StartTarget>(&Command)) {
      runAtTarget(Gate, *Start);
    } else if (const auto *Cancelled = std::get_if<CancelTarget>(&Command)) {
      endAtTarget(Gate, Cancelled->m_Id, TargetFailure::Abandoned);
    } else if (std::holds_alternative<GateDrained>(Command)) {
      schedule(m_Now + ExitDelay, [this, &Gate] { killGate(Gate.m_Index); });
    }
  }
}

// Targets.

void RequestsWorld::runAtTarget(GateProcess &Gate, const StartTarget &Start) {
  const RequestId Id = Start.m_Id;
  if (m_Now < Gate.m_TargetDownUntil) {
    schedule(m_Now, [this, &Gate, Id] {
      give(Gate, [this, &Gate, Id] {
        Gate.m_Gate->onTargetFailure(Id, TargetFailure::NotSent, "refused",
                                     m_Now);
      });
    });
    return;
  }
  const std::string &Body = Start.m_Request->m_Body;
  ++m_Runs[Body];
  const std::uint64_t Number = ++m_EventCount;
  Gate.m_Running[Id] = {Body, Number};
  const Duration Work = m_Callers.at(std::stoull(Body)).m_Work;
  const bool TooLong = m_Now + Work > Start.m_Deadline;
  schedule(std::min(m_Now + Work, Start.m_Deadline), [this, &Gate, Id, Number,
                                                      TooLong] {
    const auto Found = Gate.m_Running.find(Id);
    if (Found == Gate.m_Running.end() || Found->second.m_Number != Number)
      return;
    endAtTarget(Gate, Id,
                TooLong ? std::optional(TargetFailure::TimedOut)
                        : std::nullopt);
  });
}

void RequestsWorld::endAtTarget(GateProcess &Gate, const RequestId &Id,
                                std::optional<TargetFailure> Kind) {
  const auto Found = Gate.m_Running.find(Id);
  if (Found == Gate.m_Running.end())
    return;
  const std::string Body = Found->second.m_Body;
  Gate.m_Running.erase(Found);
  schedule(m_Now, [this, &Gate, Id, Body, Kind,
                   Generation = Gate.m_Generation] {
    if (Gate.m_Generation != Generation)
      return;
    give(Gate, [this, &Gate, Id, Body, Kind] {
      if (Kind)
        Gate.m_Gate->onTargetFailure(Id, *Kind, "fault", m_Now);
      else
        Gate.m_Gate->onTargetAnswer(Id,
                                    std::make_shared<HttpResponse>(
                                        HttpResponse{200, {}, answerTo(Body)}),
                                    m_Now);
    });
  });
}

// Callers.

void RequestsWorld::callAt(Duration After, const std::string &Method,
                           Duration Work) {
  const CallId Id = m_Callers.size() + 1;
  CallerRecord &Caller = m_Callers[Id];
  Caller.m_Method = Method;
  Caller.m_Body = std::to_string(Id);
  Caller.m_Work = Work;
  at(After, [this, Id] {
    // A frozen ingress reads the call, and starts its deadline, once awake.
    give(*m_IngressProcess, [this, Id] {
      CallerRecord &Own = m_Callers.at(Id);
      Own.m_Deadline = m_Now + 2s;
      m_Ingress->onCall(Id,
                        std::make_shared<HttpRequest>(
                            HttpRequest{Own.m_Method, "/", "", {}, Own.m_Body}),
                        std::nullopt, m_Now);
    });
  });
}

} // namespace dandelionfall::core
