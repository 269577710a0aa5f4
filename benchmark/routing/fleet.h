/// \file
/// Callers, nodes and targets of a deployment in virtual time.
#ifndef DANDELIONFALL_BENCHMARK_ROUTING_FLEET_H
#define DANDELIONFALL_BENCHMARK_ROUTING_FLEET_H

#include "dandelionfall/core/gate.h"
#include "dandelionfall/core/ingress.h"
#include "deployment.h"
#include "simulated_target.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace dandelionfall::benchmark {

using core::TimePoint;

/// What a run came to.
struct RoutingResult {
  std::uint64_t m_Calls = 0;
  std::uint64_t m_InTime = 0;
  std::uint64_t m_NotRun = 0;
  std::uint64_t m_Unknown = 0;
  std::uint64_t m_DispatchedAfter3s = 0;
  std::uint64_t m_NotWhole = 0;
  std::uint64_t m_RanTwice = 0;
  std::uint64_t m_FalseNotRun = 0;
  std::uint64_t m_OverLimit = 0;

  /// \returns the share of calls with a whole answer in time, in percent.
  double inTimePercent() const;
};

/// How requests get to targets.
enum class Mode : std::uint8_t {
  Nodes,    ///< By ingresses and gates.
  Baseline, ///< Round robin over the targets, with no admission and no ramp.
};

/// Distribution of the work of requests.
enum class Work : std::uint8_t {
  Exponential,
  Uniform, ///< From half to one and a half of the mean.
};

/// One run of a deployment while its first availability zone leaves and
/// returns.
class Fleet {
public:
  Fleet(const Deployment &Of, Mode How, Work Distribution, std::uint64_t Seed);
  ~Fleet();
  /// Runs from start to end.
  RoutingResult run();

private:
  struct Node;
  struct CallState;
  struct Timer {
    TimePoint m_When;
    std::uint64_t m_Number;
    std::function<void()> m_Action;
    bool operator<(const Timer &Other) const {
      return std::pair(m_When, m_Number) >
             std::pair(Other.m_When, Other.m_Number);
    }
  };

  void at(TimePoint When, std::function<void()> Action);
  void publish(core::Version Number, core::ZoneState FirstZone);
  void scheduleNextCall(std::size_t Service);
  void makeCall(std::size_t Service);
  void pump(Node &On);
  void wakeUpLater(Node &On);
  void performIngress(Node &On);
  void performGate(Node &On);
  void openLink(Node &From, core::LinkId Link, const std::string &Address);
  Duration latency(const Node &From, const Node &To) const;
  void runAtTarget(Node &On, std::uint64_t Call,
                   std::function<void(bool Reset)> Done);
  void startTarget(Node &On, const core::StartTarget &Start);
  void baselineCall(std::uint64_t Call, std::size_t Service, Node &From);
  Duration drawWork();
  void finishCall(std::uint64_t Call, core::CallOutcome Outcome,
                  const std::string &Body);

  const Deployment &m_Of;
  Mode m_How;
  Work m_Work;
  std::mt19937_64 m_Random;
  TimePoint m_Start{1000s};
  TimePoint m_Now = m_Start;
  std::priority_queue<Timer> m_Timers;
  std::uint64_t m_TimerCount = 0;
  std::vector<std::unique_ptr<Node>> m_Nodes;
  std::unordered_map<std::string, Node *> m_ByAddress;
  std::vector<CallState> m_Calls;
  RoutingResult m_Result;
};

} // namespace dandelionfall::benchmark

#endif // DANDELIONFALL_BENCHMARK_ROUTING_FLEET_H
