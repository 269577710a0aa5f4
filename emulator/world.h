/// \file
/// Nodes, links, targets and calls of a deployment in virtual time. Ingresses
/// and gates are the real implementations.
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

/// Index of a node, from 0 in the order of addition.
using NodeId = std::size_t;

/// Direction of the messages on a link.
enum class Direction : std::uint8_t { ToGate, ToIngress };

/// A node and its local target.
struct NodeOptions {
  std::string m_Host;
  std::string m_Zone;
  /// Link address of its gate; empty for a node without a gate.
  std::string m_GateAddress;
  /// Name of the local target; empty for a node without a target.
  std::string m_Target;
  TargetBehaviour m_Behaviour;
  /// Whether the node has an ingress for callers.
  bool m_HasIngress = true;
  std::string m_Admission = "deadline";
  std::string m_Routing = "least-loaded-of-two";
  /// Seed of the ingress's random choices.
  std::uint64_t m_Seed = 1;
};

/// A call as the caller makes it.
struct CallOptions {
  std::string m_Method = "GET";
  std::string m_Path = "/";
  /// Service time on an unloaded target.
  Duration m_ServiceTime{0};
  /// Time until the caller's deadline, if it states one.
  std::optional<Duration> m_Deadline;
};

/// Outcome of a call.
struct CallRecord {
  CallOptions m_Options;
  /// When the node read the call; a frozen node reads it when it resumes.
  TimePoint m_ReadAt;
  /// Number of times that targets ran it.
  unsigned m_Runs = 0;
  /// Number of final answers; more than one is a fault.
  unsigned m_Answers = 0;
  TimePoint m_AnsweredAt;
  core::AnswerCaller m_Answer;
};

/// One-way latencies, and the seed.
struct WorldOptions {
  Duration m_SameZoneLatency = 100us;
  Duration m_OtherZoneLatency = 500us;
  /// Seed for the random faults of targets.
  std::uint64_t m_Seed = 1;
};

/// The emulated deployment. Faults take effect at the current virtual time.
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
  /// Delivers a version to a node. The node also applies it at each later
  /// start.
  void publish(NodeId Node, const core::ConfigurationPtr &Config);

  /// Makes a call through a node's ingress.
  /// \param Done receives the final answer, or a failure if the node is not
  /// running or is killed; may be empty.
  core::CallId call(NodeId Entry, CallOptions Options, AnswerHandler Done);
  /// Makes a call directly at a target, without ingress and gate.
  core::CallId callDirect(NodeId From, NodeId To, CallOptions Options,
                          AnswerHandler Done);
  /// Disconnects the caller of a call.
  void disconnectCaller(core::CallId Call);
  const CallRecord &record(core::CallId Call) const;
  const std::map<core::CallId, CallRecord> &records() const {
    return m_Records;
  }
  /// \returns the number of calls at a node without a final answer.
  std::size_t openCalls(NodeId Node) const;
  /// \returns the body that a target sends in response to a call.
  static std::string expectedBody(core::CallId Call);

  /// Whether a resumed process handles its timers before its messages.
  bool m_TimersFirst = false;
  /// If set, is called for each run of a call at a node's target.
  std::function<void(NodeId, core::CallId)> m_OnRun;
  /// \returns the number of collapses of targets.
  std::uint64_t collapses() const { return m_Collapses; }

  // Faults of processes.
  void kill(NodeId Node);
  void restart(NodeId Node);
  void freeze(NodeId Node, Duration Time);
  /// \returns the end of the node's last freeze.
  TimePoint frozenUntil(NodeId Node) const;
  /// Starts a planned stop of a node.
  void drain(NodeId Node);
  bool isAlive(NodeId Node) const;

  // Faults of links; silence and delay apply to the links to the gate that are
  // open now.
  /// Drops all messages of one direction permanently, also those in transit.
  void silenceLinks(NodeId Gate, Direction Dir);
  /// Holds back messages of one direction that arrive within a time, until its
  /// end.
  void delayLinks(NodeId Gate, Direction Dir, Duration Time);
  /// Closes all links of a node's ingress and gate.
  void breakLinks(NodeId Endpoint);
  /// Silences the open links to a gate in both directions. For a time, new
  /// connections to the gate are neither accepted nor refused.
  void isolateGate(NodeId Gate, Duration Time);

  // Faults of targets.
  TargetModel &target(NodeId Node);
  /// Aborts all requests that the target runs.
  void resetTarget(NodeId Node);
  /// The target refuses connections for a time.
  void refuseAtTarget(NodeId Node, Duration Time);
  /// The target fails with all requests that it runs, and starts cold after a
  /// time.
  void restartTarget(NodeId Node, Duration Down);

private:
  struct Node;
  struct Link;
  struct Running;
  /// Receives the end of a run: a response, or null with the kind of failure.
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
  void checkTarget(Node &TheNode);
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
