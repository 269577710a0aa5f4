/// \file
/// Nodes, links, targets and calls of a deployment in virtual time, with the
/// real ingresses and gates inside.
#ifndef DANDELIONFALL_EMULATOR_WORLD_H
#define DANDELIONFALL_EMULATOR_WORLD_H

#include "dandelionfall/core/gate.h"
#include "dandelionfall/core/ingress.h"
#include "emulator/target_model.h"
#include "emulator/virtual_time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace dandelionfall::emulator {

/// Number of a node, from 0 in the order in which they are added.
using NodeId = std::size_t;

/// Direction of the messages on a link.
enum class Direction : std::uint8_t { ToGate, ToIngress };

/// A node and the target beside it.
struct NodeOptions {
  std::string m_Host;
  std::string m_Zone;
  /// Link address of its gate; empty for a node without one.
  std::string m_GateAddress;
  /// Name of the target beside it; empty for a node without one.
  std::string m_Target;
  TargetBehaviour m_Behaviour;
  /// Whether callers call it.
  bool m_HasIngress = true;
  std::string m_Admission = "deadline";
  std::string m_Routing = "least-loaded-of-two";
  /// Seed of the ingress's choices.
  std::uint64_t m_Seed = 1;
};

/// A call as its caller makes it.
struct CallOptions {
  std::string m_Method = "GET";
  std::string m_Path = "/";
  /// Time that it takes on an unloaded target.
  Duration m_ServiceTime{0};
  /// Time that the caller allows, if it names one.
  std::optional<Duration> m_Deadline;
};

/// What became of a call.
struct CallRecord {
  CallOptions m_Options;
  /// When the node read it: a frozen one does once it is awake.
  TimePoint m_ReadAt;
  /// Targets that ran it.
  unsigned m_Runs = 0;
  /// Final answers given.
  unsigned m_Answers = 0;
  TimePoint m_AnsweredAt;
  core::AnswerCaller m_Answer;
};

/// Latencies, one way.
struct WorldOptions {
  Duration m_SameZoneLatency = 100us;
  Duration m_OtherZoneLatency = 500us;
  /// Seed of the targets' shares.
  std::uint64_t m_Seed = 1;
};

/// The emulated deployment. Faults take effect at the present time.
class World {
public:
  using AnswerHandler = std::function<void(const core::AnswerCaller &)>;

  explicit World(WorldOptions Options);
  ~World();
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  VirtualTime &time() { return m_Time; }
  NodeId addNode(NodeOptions Options);
  std::size_t nodeCount() const { return m_Nodes.size(); }
  /// Gives a node a version, which it also starts with from now on.
  void publish(NodeId Node, const core::ConfigurationPtr &Config);

  /// Makes a call at a node.
  /// \param Done gets the final answer, if the node lives to give it.
  core::CallId call(NodeId Entry, CallOptions Options, AnswerHandler Done);
  /// Makes a call at a target itself, without ingress and gate.
  core::CallId callDirect(NodeId From, NodeId To, CallOptions Options,
                          AnswerHandler Done);
  /// The caller of a call leaves.
  void disconnectCaller(core::CallId Call);
  const CallRecord &record(core::CallId Call) const;
  const std::map<core::CallId, CallRecord> &records() const {
    return m_Records;
  }
  /// \returns the calls without a final answer at a node.
  std::size_t openCalls(NodeId Node) const;
  /// \returns the body of a target's answer to a call.
  static std::string expectedBody(core::CallId Call);

  /// Whether a process that wakes up sees its timers before its messages.
  bool m_TimersFirst = false;
  /// Is told of each run of a call at a node's target, if set.
  std::function<void(NodeId, core::CallId)> m_OnRun;
  /// \returns how often targets have collapsed.
  std::uint64_t collapses() const { return m_Collapses; }

  // Faults of processes.
  void kill(NodeId Node);
  void restart(NodeId Node);
  void freeze(NodeId Node, Duration Time);
  /// \returns when the node's last freeze ends or ended.
  TimePoint frozenUntil(NodeId Node) const;
  /// Stops a node as planned.
  void drain(NodeId Node);
  bool isAlive(NodeId Node) const;

  // Faults of the links to a node's gate that are open now.
  /// Messages are lost for good.
  void silenceLinks(NodeId Gate, Direction Dir);
  /// Messages arrive late.
  void delayLinks(NodeId Gate, Direction Dir, Duration Time);
  void breakLinks(NodeId Endpoint);
  /// Connections to the gate are neither made nor refused.
  void isolateGate(NodeId Gate, Duration Time);

  // Faults of targets.
  TargetModel &target(NodeId Node);
  /// Breaks off all that the target runs.
  void resetTarget(NodeId Node);
  /// The target takes no connection for a time.
  void refuseAtTarget(NodeId Node, Duration Time);
  /// The target ends with all that it runs, and starts cold after a time.
  void restartTarget(NodeId Node, Duration Down);

private:
  struct Node;
  struct Link;
  struct Running;
  /// How a run came to an end: an answer, or a failure without one.
  using RunHandler = std::function<void(const core::HttpResponsePtr &Response,
                                        core::TargetFailure Kind)>;

  Node &node(NodeId Id) { return *m_Nodes[Id]; }
  Duration latency(const Node &From, const Node &To) const;
  void start(Node &TheNode);
  void deliver(Node &To, std::function<void()> Input);
  void afterInput(Node &TheNode);
  void wake(Node &TheNode);
  void performCommands(Node &TheNode);
  void performIngressCommands(Node &TheNode);
  void performGateCommands(Node &TheNode);

  static core::LinkId linkId(const Node &TheNode, core::LinkId Number);
  void openLink(Node &From, core::LinkId Number, const std::string &Address);
  void transmit(core::LinkId Id, Direction Dir, std::function<void()> Arrival);
  void arrive(core::LinkId Id, Direction Dir, std::function<void()> Arrival);
  void closeAtIngress(core::LinkId Id);
  void closeAtGate(core::LinkId Id);
  template <typename Action> void forEachLink(NodeId Gate, Action Do);

  void runFromGate(Node &TheNode, const core::StartTarget &Start);
  void run(Node &TheNode, const core::RequestId &Id, core::CallId Call,
           TimePoint Deadline, RunHandler Done);
  void endRun(Node &TheNode, const core::RequestId &Id,
              const core::HttpResponsePtr &Response, core::TargetFailure Kind);
  void resetRuns(Node &TheNode);
  void recordAnswer(core::CallId Call, const core::AnswerCaller &Answer);
  void abort(core::CallId Call, core::CallOutcome Outcome,
             const std::string &Detail);
  void notifyCaller(core::CallId Call, const core::AnswerCaller &Answer);

  WorldOptions m_Options;
  VirtualTime m_Time;
  std::mt19937_64 m_Random;
  std::vector<std::unique_ptr<Node>> m_Nodes;
  std::unordered_map<std::string, NodeId> m_NodesByAddress;
  std::map<core::LinkId, Link> m_Links;
  std::map<core::CallId, CallRecord> m_Records;
  std::map<core::CallId, std::pair<NodeId, AnswerHandler>> m_OpenCalls;
  std::uint64_t m_RunCount = 0;
  std::uint64_t m_Collapses = 0;
};

} // namespace dandelionfall::emulator

#endif // DANDELIONFALL_EMULATOR_WORLD_H
