/// \file
/// The gate of a node: decides what the node's own target runs, and when.
#ifndef DANDELIONFALL_CORE_GATE_H
#define DANDELIONFALL_CORE_GATE_H

#include "dandelionfall/core/event.h"
#include "dandelionfall/core/traffic_message.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelionfall::core {

/// Sends a message on a link.
struct SendTraffic {
  LinkId m_Link = 0;
  TrafficMessage m_Message;
  friend bool operator==(const SendTraffic &, const SendTraffic &) = default;
};

/// Closes a link.
struct CloseTrafficLink {
  LinkId m_Link = 0;
  friend bool operator==(const CloseTrafficLink &,
                         const CloseTrafficLink &) = default;
};

/// Gives a request to the target; the result comes back as `onTargetAnswer` or
/// `onTargetFailure`.
struct StartTarget {
  RequestId m_Id;
  TimePoint m_Deadline;
  bool m_Idempotent = false;
  HttpRequestPtr m_Request;
  /// The target that the request is meant for.
  std::string m_Target;
  friend bool operator==(const StartTarget &, const StartTarget &) = default;
};

/// Abandons a request at the target.
struct CancelTarget {
  RequestId m_Id;
  friend bool operator==(const CancelTarget &, const CancelTarget &) = default;
};

/// Nothing admitted is left, and the gate may close.
struct GateDrained {
  friend bool operator==(const GateDrained &, const GateDrained &) = default;
};

/// An ingress has a newer version in force than the gate; the node should fetch
/// it.
struct PeerVersionSeen {
  Version m_Version = 0;
  /// Link that the version was seen on.
  LinkId m_Link = 0;
  friend bool operator==(const PeerVersionSeen &,
                         const PeerVersionSeen &) = default;
};

/// What a gate asks its driver to do, in order.
using GateCommand =
    std::variant<SendTraffic, CloseTrafficLink, StartTarget, CancelTarget,
                 GateDrained, Event, PeerVersionSeen>;

/// How a request at the target came to nothing.
enum class TargetFailure : std::uint8_t {
  NotSent,   ///< No byte of it reached the target: it did not run.
  Reset,     ///< The connection broke after bytes were sent: it may have run.
  TimedOut,  ///< No whole answer came before the deadline: it may have run.
  Abandoned, ///< It was cancelled after bytes were sent: it may have run.
};

/// What a gate is told about itself.
struct GateOptions {
  std::string m_Host;
  std::string m_Zone;
  /// Name of the target beside the node; empty for a node without a target, or
  /// whose target is known by its address.
  std::string m_Target;
  Incarnation m_Incarnation;
  /// Name of the admission strategy: `deadline`, `fcfs` or `bounded`.
  std::string m_Admission = "deadline";
  /// Address of the target beside the node, where targets publish it and change
  /// their names with each start; empty elsewhere.
  std::string m_TargetAddress{};
};

/// Decision logic of a gate. Not safe for use by several threads at once.
class Gate {
public:
  /// \param Options the node's own identity.
  /// \throws std::invalid_argument if there is no admission strategy of the
  /// name.
  explicit Gate(GateOptions Options);
  ~Gate();
  Gate(const Gate &) = delete;
  Gate &operator=(const Gate &) = delete;

  /// Takes a new version into force.
  void onConfiguration(ConfigurationPtr Config, TimePoint Now);
  /// Notes whether the platform is about to take the gate's host away; new work
  /// is refused then.
  void onHostLeaving(bool Leaving, TimePoint Now);
  /// Sets whether there is an event for each step of a request, beside those
  /// for its refusal; there is unless told otherwise.
  void setStepEvents(bool Enabled);
  /// Takes any message of an ingress; the first one of a link must be a hello.
  /// The time must be read after the message, for the process may have slept.
  void onMessage(LinkId Link, const TrafficMessage &Message, TimePoint Now);
  /// Notes that a link is gone; what runs goes on, for the ingress may inquire.
  void onLinkClosed(LinkId Link, TimePoint Now);
  /// Takes the target's whole answer.
  void onTargetAnswer(const RequestId &Id, HttpResponsePtr Response,
                      TimePoint Now);
  /// Takes the end of a request without an answer.
  void onTargetFailure(const RequestId &Id, TargetFailure Kind,
                       const std::string &Detail, TimePoint Now);
  /// Takes a target's word that it did not run a request.
  /// \param IsOtherTarget whether another target than the wanted one answered.
  /// \param RetryAfter when the target wants it again; 0 if it doesn't say.
  void onTargetRefused(const RequestId &Id, bool IsOtherTarget,
                       Duration RetryAfter, TimePoint Now);
  /// Notes that the target closed a connection that carried no request, as when
  /// it restarts between two requests; its cold start begins anew.
  void onTargetConnectionClosed(TimePoint Now);
  /// Stops admitting; `GateDrained` follows once nothing admitted is left.
  void startDrain(TimePoint Now);
  /// Does what is due.
  void onTick(TimePoint Now);
  /// \returns when `onTick` is next needed, if at all.
  std::optional<TimePoint> nextWakeUp() const;
  /// \returns the load as reported to ingresses.
  Capacity capacity() const;
  /// Takes the commands collected since the last call.
  std::vector<GateCommand> takeCommands();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_GATE_H
