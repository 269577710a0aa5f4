/// \file
/// One ingress, several gates and their fake targets, joined by fake links in
/// virtual time, with the faults that may befall them.
#ifndef DANDELIONFALL_TESTS_CONTRACT_REQUESTS_WORLD_H
#define DANDELIONFALL_TESTS_CONTRACT_REQUESTS_WORLD_H

#include "dandelionfall/core/gate.h"
#include "dandelionfall/core/ingress.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandelionfall::core {

using namespace std::chrono_literals;

/// What a caller asked and was told.
struct CallerRecord {
  std::string m_Method;
  std::string m_Body;
  Duration m_Work{0};
  TimePoint m_Deadline;
  unsigned m_Answers = 0;
  TimePoint m_AnsweredAt;
  AnswerCaller m_Answer;
};

/// Direction of the messages on a link.
enum class Direction : std::uint8_t { ToGate, ToIngress };

/// The fakes, their time and their faults.
class RequestsWorld {
public:
  /// \param GateCount gates and targets; all are of the ingress's availability
  /// zone but the last.
  /// \param Seed of the ingress's choices.
  explicit RequestsWorld(std::size_t GateCount = 3, std::uint64_t Seed = 1);
  ~RequestsWorld();

  /// Runs something at a time after the start.
  void at(Duration After, std::function<void()> Action);
  /// Makes a call at a time after the start; its body is its own.
  void callAt(Duration After, const std::string &Method, Duration Work);
  /// Lets time pass.
  void runUntil(Duration After);

  // Faults; each takes effect now.
  void killGate(std::size_t Gate);
  void restartGate(std::size_t Gate);
  void freezeGate(std::size_t Gate, Duration Time);
  void freezeIngress(Duration Time);
  /// Messages on the links that are open now are lost for good.
  void silenceLinks(std::size_t Gate, Direction Way);
  /// Messages on the links that are open now arrive late.
  void holdLinks(std::size_t Gate, Direction Way, Duration Time);
  void breakLinks(std::size_t Gate);
  /// Connections to the gate are neither made nor refused.
  void cutOff(std::size_t Gate, Duration Time);
  void resetTarget(std::size_t Gate);
  /// The target takes no connection for a time.
  void refuseAtTarget(std::size_t Gate, Duration Time);
  /// Takes the availability zone of the first gates out, or back in.
  void publishZone(ZoneState State);
  void drainGate(std::size_t Gate);

  /// Runs the rest and tells what was promised and not kept; empty if nothing.
  std::string verdict();

  /// \returns how many calls of a method ended with an outcome.
  std::size_t count(const std::string &Method, CallOutcome Outcome) const;

  /// Whether a process that wakes up sees its timers before its messages.
  bool m_TimersFirst = false;

private:
  struct Process;
  struct GateProcess;
  struct Link;
  struct Running;

  TimePoint now() const { return m_Now; }
  void schedule(TimePoint When, std::function<void()> Action);
  void give(Process &To, std::function<void()> Input);
  void afterInput(Process &Of);
  void wake(Process &Of);
  void freeze(Process &Of, Duration Time);
  GateProcess &gate(std::size_t Index) { return *m_Gates[Index]; }
  void startGate(GateProcess &Gate);
  void carry(LinkId Id, Direction Way, std::function<void()> Arrival);
  void arrive(LinkId Id, Direction Way, std::function<void()> Arrival);
  void performIngress();
  void performGate(GateProcess &Gate);
  void openLink(LinkId Id, const std::string &Address);
  void runAtTarget(GateProcess &Gate, const StartTarget &Start);
  void endAtTarget(GateProcess &Gate, const RequestId &Id,
                   std::optional<TargetFailure> Kind);
  template <typename Action> void eachLink(std::size_t Gate, Action Do);
  ConfigurationPtr configuration() const;
  std::string fault(const CallerRecord &Caller) const;

  TimePoint m_Start{1000s};
  TimePoint m_Now = m_Start;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_Events;
  std::uint64_t m_EventCount = 0;
  Version m_Version = 1;
  ZoneState m_ZoneState = ZoneState::In;
  std::unique_ptr<Process> m_IngressProcess;
  std::unique_ptr<Ingress> m_Ingress;
  std::vector<std::unique_ptr<GateProcess>> m_Gates;
  std::map<LinkId, Link> m_Links;
  std::map<CallId, CallerRecord> m_Callers;
  /// Runs of each request body.
  std::map<std::string, unsigned> m_Runs;
  TimePoint m_IngressThawed;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_TESTS_CONTRACT_REQUESTS_WORLD_H
