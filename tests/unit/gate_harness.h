/// \file
/// Drives a gate in virtual time and collects its commands by type.
#ifndef DANDELIONFALL_TESTS_UNIT_GATE_HARNESS_H
#define DANDELIONFALL_TESTS_UNIT_GATE_HARNESS_H

#include "dandelionfall/core/gate.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dandelionfall::core::testing {

inline Duration ms(std::int64_t Count) {
  return std::chrono::milliseconds(Count);
}

inline constexpr Incarnation GateIncarnation{7, 7};

struct GateSettings {
  Version m_Version = 1;
  ZoneState m_Zone = ZoneState::In;
  std::uint32_t m_Slots = 4;
  std::uint32_t m_ColdLimit = 4;
  std::uint32_t m_ColdRequests = 0;
  std::uint32_t m_QueueLimit = 8;
  bool m_Listed = true;
  bool m_Draining = false;
  std::int64_t m_StartedAtMs = 0;
  std::string m_Service = "escortdesk";
  std::string m_Target = "escortdesk-1";
  /// If set, the gate finds its target by the address.
  std::string m_Address{};
};

inline ConfigurationPtr makeGateConfiguration(const GateSettings &Settings) {
  auto Config = std::make_shared<Configuration>();
  Config->m_Stamp = {Settings.m_Version, Settings.m_Version};
  Config->m_Zones["sindos"] = {"sindos", "gr-north", Settings.m_Zone};
  Profile Policy;
  Policy.m_Name = "booking";
  Policy.m_QueueLimit = Settings.m_QueueLimit;
  Policy.m_ColdStartLimit = Settings.m_ColdLimit;
  Policy.m_ColdStartRequests = Settings.m_ColdRequests;
  Config->m_Profiles["booking"] = Policy;
  auto Desk = std::make_shared<Service>();
  Desk->m_Name = Settings.m_Service;
  Desk->m_Profile = "booking";
  if (Settings.m_Listed)
    Desk->m_Targets.push_back({Settings.m_Target, "host-1", "sindos",
                               "127.0.0.1:9001", Settings.m_Slots, 120,
                               Settings.m_Address, std::nullopt,
                               Settings.m_Draining, Settings.m_StartedAtMs});
  Config->m_Services[Settings.m_Service] = Desk;
  return Config;
}

/// A gate with a virtual clock; ingress N has the incarnation {N, N}.
class GateHarness {
public:
  /// \param Leaving targets that the node knows to be leaving; the gate has
  /// its own if null.
  explicit GateHarness(const GateSettings &Settings = {},
                       const std::string &Admission = "deadline",
                       std::shared_ptr<LeavingTargets> Leaving = nullptr)
      : m_Gate({"host-1", "sindos", "escortdesk-1", GateIncarnation, Admission,
                Settings.m_Address, nullptr, std::move(Leaving)}) {
    configure(Settings);
  }

  void configure(const GateSettings &Settings) {
    m_Gate.onConfiguration(makeGateConfiguration(Settings), m_Now);
    collect();
  }

  static RequestId id(std::uint64_t Sequence, std::uint64_t Ingress = 1) {
    return {{Ingress, Ingress}, Sequence};
  }

  void hello(LinkId Link, Epoch Epoch, std::uint64_t Ingress = 1) {
    message(Link, TrafficHello{"ingress-" + std::to_string(Ingress),
                               {Ingress, Ingress},
                               Epoch,
                               1});
  }

  static Dispatch makeDispatch(std::uint64_t Sequence, Epoch Epoch = 1,
                               Duration Remaining = ms(1000),
                               std::uint64_t Ingress = 1) {
    Dispatch Message;
    Message.m_Id = id(Sequence, Ingress);
    Message.m_Epoch = Epoch;
    Message.m_Gate = GateIncarnation;
    Message.m_Remaining = Remaining;
    Message.m_Version = 1;
    Message.m_Service = "escortdesk";
    Message.m_Target = "escortdesk-1";
    Message.m_Request = std::make_shared<const HttpRequest>();
    return Message;
  }

  void dispatch(LinkId Link, std::uint64_t Sequence, Epoch Epoch = 1,
                Duration Remaining = ms(1000), std::uint64_t Ingress = 1) {
    message(Link, makeDispatch(Sequence, Epoch, Remaining, Ingress));
  }

  void message(LinkId Link, const TrafficMessage &Message) {
    m_Gate.onMessage(Link, Message, m_Now);
    collect();
  }

  void setHostLeaving(bool Leaving) {
    m_Gate.setHostLeaving(Leaving, m_Now);
    collect();
  }

  void closeLink(LinkId Link) {
    m_Gate.onLinkClosed(Link, m_Now);
    collect();
  }

  void answer(std::uint64_t Sequence, std::uint64_t Ingress = 1,
              const std::string &Body = "whole") {
    auto Response = std::make_shared<HttpResponse>();
    Response->m_Status = 200;
    Response->m_Body = Body;
    m_Gate.onTargetAnswer(id(Sequence, Ingress), Response, m_Now);
    collect();
  }

  void failure(std::uint64_t Sequence, TargetFailure Kind,
               std::uint64_t Ingress = 1) {
    m_Gate.onTargetFailure(id(Sequence, Ingress), Kind, "detail", m_Now);
    collect();
  }

  void unsendable(std::uint64_t Sequence) {
    auto Response = std::make_shared<HttpResponse>();
    Response->m_Status = 400;
    m_Gate.onUnsendable(id(Sequence), Response, m_Now);
    collect();
  }

  void check(bool Refused) {
    m_Gate.onTargetCheck(Refused, m_Now);
    collect();
  }

  /// \param EndsIn time until the end of the process, if it is known.
  void drain(std::optional<Duration> EndsIn = std::nullopt) {
    m_Gate.startDrain(m_Now,
                      EndsIn ? std::optional(m_Now + *EndsIn) : std::nullopt);
    collect();
  }

  /// Advances the clock, with a tick whenever the gate requests one.
  void advanceTime(Duration Time) {
    const TimePoint End = m_Now + Time;
    for (auto Next = m_Gate.nextWakeUp(); Next && *Next <= End;
         Next = m_Gate.nextWakeUp()) {
      m_Now = std::max(m_Now + Duration{1}, *Next);
      m_Gate.onTick(m_Now);
      collect();
    }
    m_Now = std::max(m_Now, End);
  }

  /// Advances the clock without a tick, as when the process is suspended.
  void sleep(Duration Time) { m_Now += Time; }

  void tick() {
    m_Gate.onTick(m_Now);
    collect();
  }

  /// Serves requests one after another, so that the gate has service time
  /// samples.
  void warmUp(LinkId Link, std::uint64_t FirstSequence, int Count,
              Duration ServiceTime) {
    for (int Index = 0; Index < Count; ++Index) {
      const std::uint64_t Sequence =
          FirstSequence + static_cast<std::uint64_t>(Index);
      dispatch(Link, Sequence);
      advanceTime(ServiceTime);
      answer(Sequence);
      message(Link, Settled{{id(Sequence)}});
    }
    takeAll();
  }

  template <typename Command> std::vector<Command> commands() const {
    std::vector<Command> Found;
    for (const GateCommand &Each : m_Commands) {
      if (const auto *Match = std::get_if<Command>(&Each))
        Found.push_back(*Match);
    }
    return Found;
  }

  /// Sent messages of one type, with their links.
  template <typename Message>
  std::vector<std::pair<LinkId, Message>> sent() const {
    std::vector<std::pair<LinkId, Message>> Found;
    for (const SendTraffic &Each : commands<SendTraffic>()) {
      if (const auto *Match = std::get_if<Message>(&Each.m_Message))
        Found.emplace_back(Each.m_Link, *Match);
    }
    return Found;
  }

  std::size_t starts(std::uint64_t Sequence, std::uint64_t Ingress = 1) const {
    std::size_t Count = 0;
    for (const StartTarget &Each : commands<StartTarget>())
      Count += Each.m_Id == id(Sequence, Ingress) ? 1 : 0;
    return Count;
  }

  std::size_t events(EventId Id) const {
    std::size_t Count = 0;
    for (const Event &Each : commands<Event>())
      Count += Each.m_Id == Id ? 1 : 0;
    return Count;
  }

  std::vector<GateCommand> takeAll() { return std::exchange(m_Commands, {}); }

  Gate &gate() { return m_Gate; }
  TimePoint now() const { return m_Now; }

private:
  void collect() {
    for (GateCommand &Each : m_Gate.takeCommands())
      m_Commands.push_back(std::move(Each));
  }

  TimePoint m_Now = TimePoint(std::chrono::hours(1));
  Gate m_Gate;
  std::vector<GateCommand> m_Commands;
};

} // namespace dandelionfall::core::testing

#endif // DANDELIONFALL_TESTS_UNIT_GATE_HARNESS_H
