/// \file
/// Plays callers and a target against a gate in virtual time.
#ifndef DANDELIONFALL_TESTS_UNIT_GATE_LOAD_PLAY_H
#define DANDELIONFALL_TESTS_UNIT_GATE_LOAD_PLAY_H

#include "gate_harness.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <unordered_map>

namespace dandelionfall::core::testing {

/// Callers of one kind of request.
struct Flow {
  std::string m_Kind;
  double m_PerSecond = 0;
  std::uint32_t m_Priority = 0;
  Duration m_SoftDeadline = ms(500);
  Duration m_Deadline = ms(1000);
  bool m_Idempotent = true;
};

/// What became of the requests of one flow.
struct FlowResult {
  int m_Asked = 0;
  int m_InTime = 0;
  int m_Late = 0;
  int m_Refused = 0;
  int m_Failed = 0;
  /// Refusals after the arrival.
  int m_Waited = 0;
  /// Longest time from the arrival to a refusal.
  Duration m_LongestRefusal{0};
  double inTimeShare() const { return share(m_InTime); }
  double share(int Count) const {
    return m_Asked == 0 ? 0 : static_cast<double>(Count) / m_Asked;
  }
};

/// Requests arrive at random with the rates of their flows.
class LoadPlay {
public:
  using Work = std::function<Duration(const Flow &, TimePoint)>;

  LoadPlay(const GateSettings &Settings, Work Service)
      : m_Harness(Settings), m_Work(std::move(Service)) {
    m_Harness.hello(1, 1);
  }

  /// Plays flows for a while, without a pause after the previous ones.
  void run(const std::vector<Flow> &Flows, Duration Time) {
    const TimePoint End = m_Harness.now() + Time;
    m_Results.assign(Flows.size(), {});
    ++m_Run;
    std::vector<TimePoint> Next;
    Next.reserve(Flows.size());
    for (const Flow &Each : Flows)
      Next.push_back(m_Harness.now() + gap(Each));
    while (true) {
      const auto Earliest = std::min_element(Next.begin(), Next.end());
      if (*Earliest >= End)
        break;
      advanceTo(*Earliest);
      const auto Index = static_cast<std::size_t>(Earliest - Next.begin());
      arrive(Flows, Index);
      *Earliest += gap(Flows[Index]);
    }
    advanceTo(End);
  }

  /// Plays flows for a while and waits for the end of the last requests.
  /// \returns what became of the requests that arrived meanwhile.
  std::vector<FlowResult> measure(const std::vector<Flow> &Flows,
                                  Duration Time) {
    run(Flows, Time);
    advanceTo(m_Harness.now() + ms(2000));
    return m_Results;
  }

  GateHarness &harness() { return m_Harness; }

private:
  struct Sent {
    int m_Run = 0;
    std::size_t m_Index = 0;
    Flow m_Flow;
    TimePoint m_Arrival;
  };

  Duration gap(const Flow &Of) {
    const double Uniform =
        (static_cast<double>(m_Random() >> 11U) + 0.5) / 9007199254740992.0;
    return Duration(static_cast<Duration::rep>(-std::log(Uniform) * 1e6 /
                                               Of.m_PerSecond)) +
           Duration{1};
  }

  void arrive(const std::vector<Flow> &Flows, std::size_t Index) {
    const Flow &From = Flows[Index];
    Dispatch Message =
        GateHarness::makeDispatch(++m_Sequence, 1, From.m_Deadline);
    Message.m_Kind = From.m_Kind;
    Message.m_Priority = From.m_Priority;
    Message.m_SoftDeadlineIn = From.m_SoftDeadline;
    Message.m_Idempotent = From.m_Idempotent;
    m_Requests[m_Sequence] = {m_Run, Index, From, m_Harness.now()};
    ++m_Results[Index].m_Asked;
    m_Harness.message(1, Message);
    handleCommands();
  }

  void advanceTo(TimePoint Until) {
    while (m_Harness.now() < Until) {
      TimePoint Step = Until;
      if (const auto Wake = m_Harness.gate().nextWakeUp())
        Step = std::min(Step, std::max(*Wake, m_Harness.now() + Duration{1}));
      if (!m_Running.empty())
        Step = std::min(Step, m_Running.begin()->first);
      m_Harness.advanceTime(Step - m_Harness.now());
      handleCommands();
      while (!m_Running.empty() &&
             m_Running.begin()->first <= m_Harness.now()) {
        const std::uint64_t Ended = m_Running.begin()->second;
        m_Running.erase(m_Running.begin());
        m_Harness.answer(Ended);
        handleCommands();
      }
    }
  }

  void handleCommands() {
    for (const GateCommand &Each : m_Harness.takeAll()) {
      if (const auto *Start = std::get_if<StartTarget>(&Each)) {
        const Sent &Request = m_Requests.at(Start->m_Id.m_Sequence);
        m_Running.emplace(m_Harness.now() +
                              m_Work(Request.m_Flow, m_Harness.now()),
                          Start->m_Id.m_Sequence);
      }
      if (const auto *Send = std::get_if<SendTraffic>(&Each))
        handleReply(Send->m_Message);
    }
  }

  void handleReply(const TrafficMessage &Message) {
    if (const auto *Reply = std::get_if<Refusal>(&Message)) {
      const Sent Request = take(Reply->m_Id);
      FlowResult &Result = resultOf(Request);
      ++Result.m_Refused;
      Result.m_Waited += m_Harness.now() > Request.m_Arrival ? 1 : 0;
      Result.m_LongestRefusal = std::max(Result.m_LongestRefusal,
                                         m_Harness.now() - Request.m_Arrival);
    }
    if (const auto *Reply = std::get_if<Answer>(&Message)) {
      const Sent Request = take(Reply->m_Id);
      FlowResult &Result = resultOf(Request);
      const bool InTime =
          m_Harness.now() - Request.m_Arrival <= Request.m_Flow.m_SoftDeadline;
      ++(InTime ? Result.m_InTime : Result.m_Late);
      m_Harness.message(1, Settled{{Reply->m_Id}});
    }
    if (const auto *Reply = std::get_if<Failure>(&Message))
      ++resultOf(take(Reply->m_Id)).m_Failed;
  }

  Sent take(const RequestId &Id) {
    Sent Taken = m_Requests.at(Id.m_Sequence);
    m_Requests.erase(Id.m_Sequence);
    return Taken;
  }

  FlowResult &resultOf(const Sent &Request) {
    return Request.m_Run == m_Run ? m_Results[Request.m_Index] : m_Earlier;
  }

  GateHarness m_Harness;
  Work m_Work;
  std::mt19937_64 m_Random{48};
  std::uint64_t m_Sequence = 0;
  int m_Run = 0;
  std::vector<FlowResult> m_Results;
  /// Requests of earlier runs that ended during the present one.
  FlowResult m_Earlier;
  std::unordered_map<std::uint64_t, Sent> m_Requests;
  std::multimap<TimePoint, std::uint64_t> m_Running;
};

} // namespace dandelionfall::core::testing

#endif // DANDELIONFALL_TESTS_UNIT_GATE_LOAD_PLAY_H
