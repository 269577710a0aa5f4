/// \file
/// The gate of a node: admits requests for the local target and decides when
/// each one starts.
#ifndef DANDELIONFALL_CORE_GATE_H
#define DANDELIONFALL_CORE_GATE_H

#include "dandelionfall/core/event.h"
#include "dandelionfall/core/freshness.h"
#include "dandelionfall/core/leaving_targets.h"
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

/// Sends a request to the target. The outcome is reported through
/// `Gate::onTargetAnswer`, `Gate::onTargetFailure` or `Gate::onTargetRefused`.
struct StartTarget {
  RequestId m_Id;
  TimePoint m_Deadline;
  bool m_Idempotent = false;
  HttpRequestPtr m_Request;
  /// Name of the target that the request is addressed to.
  std::string m_Target;
  /// Team whose key the caller sent; empty if there is none.
  std::string m_Team{};
  friend bool operator==(const StartTarget &, const StartTarget &) = default;
};

/// Cancels a request at the target.
struct CancelTarget {
  RequestId m_Id;
  friend bool operator==(const CancelTarget &, const CancelTarget &) = default;
};

/// Checks whether the target accepts connections. The outcome is reported
/// through `Gate::onTargetCheck`.
struct CheckTarget {
  friend bool operator==(const CheckTarget &, const CheckTarget &) = default;
};

/// No admitted request is left; the gate may shut down.
struct GateDrained {
  friend bool operator==(const GateDrained &, const GateDrained &) = default;
};

/// An ingress has applied a newer version than the gate; the node should fetch
/// it.
struct PeerVersionSeen {
  Version m_Version = 0;
  /// Link on which the version was reported.
  LinkId m_Link = 0;
  friend bool operator==(const PeerVersionSeen &,
                         const PeerVersionSeen &) = default;
};

/// A command to the driver; commands are executed in order.
using GateCommand =
    std::variant<SendTraffic, CloseTrafficLink, StartTarget, CancelTarget,
                 CheckTarget, GateDrained, Event, PeerVersionSeen>;

/// Why a request at the target ended without a complete response.
enum class TargetFailure : std::uint8_t {
  NotSent,   ///< No byte reached the target: it did not run.
  Reset,     ///< The connection broke after bytes were sent: it may have run.
  TimedOut,  ///< No complete response before the deadline: it may have run.
  Abandoned, ///< Cancelled after bytes were sent: it may have run.
};

/// Identity and settings of a gate.
struct GateOptions {
  std::string m_Host;
  std::string m_Zone;
  /// Name of the local target; empty if the node has no target or the target is
  /// identified by its address.
  std::string m_Target;
  Incarnation m_Incarnation;
  /// Name of the admission strategy: `deadline`, `fcfs` or `bounded`.
  std::string m_Admission = "deadline";
  /// Address of the local target, for platforms that publish it and give
  /// targets a new name at each start; empty elsewhere.
  std::string m_TargetAddress{};
  /// Requests that crash targets, shared with the ingress of the node; the gate
  /// has its own if null.
  std::shared_ptr<Quarantine> m_Quarantine{};
  /// Targets that stated that they are leaving, shared with the ingress of the
  /// node; the gate has its own if null.
  std::shared_ptr<LeavingTargets> m_LeavingTargets{};
  /// Address of the gate, by which accountants of quotas are chosen; empty if
  /// the node accounts for none.
  std::string m_GateAddress{};
  /// By how much all nodes together may exceed the quota of a team; equal on
  /// all nodes.
  QuotaTolerance m_QuotaTolerance{};
  /// Age of the proof that the configuration is the newest one up to which the
  /// node grants credit of quotas; unset if the source gives no proofs.
  std::optional<Duration> m_MaxAccountProofAge{};
};

/// Decision logic of a gate. Does no I/O: the driver passes in messages,
/// results and the time, and executes the commands. Not thread-safe.
class Gate {
public:
  /// \param Options identity of the node.
  /// \throws std::invalid_argument if no admission strategy has the given name.
  explicit Gate(GateOptions Options);
  ~Gate();
  Gate(const Gate &) = delete;
  Gate &operator=(const Gate &) = delete;

  /// Applies a new version of the configuration.
  void onConfiguration(ConfigurationPtr Config, TimePoint Now);
  /// Adds a proof that a configuration was the newest one.
  void onFreshness(const FreshnessProof &Proof);
  /// Sets whether the platform is about to remove the gate's host. New work is
  /// refused while it is.
  void setHostLeaving(bool Leaving, TimePoint Now);
  /// Sets whether an event is reported when a request starts and when it
  /// finishes; on by default. Refusals are always reported.
  void setStepEvents(bool Enabled);
  /// Handles a message of an ingress. The first message of a link must be a
  /// hello.
  /// \param Now time read after the message, because the process may have been
  /// suspended in between.
  void onMessage(LinkId Link, const TrafficMessage &Message, TimePoint Now);
  /// Handles the end of a link. Running requests continue, because the ingress
  /// may inquire about them on a new link.
  void onLinkClosed(LinkId Link, TimePoint Now);
  /// Handles what the target states about itself in a response. Called before
  /// the method that handles the response itself.
  /// \param Id the request that the response belongs to.
  void onTargetStatement(const RequestId &Id, const TargetStatement &Statement,
                         TimePoint Now);
  /// Handles the complete response of the target.
  void onTargetAnswer(const RequestId &Id, HttpResponsePtr Response,
                      TimePoint Now);
  /// Handles the end of a request without a complete response.
  void onTargetFailure(const RequestId &Id, TargetFailure Kind,
                       const std::string &Detail, TimePoint Now);
  /// Handles the target's statement that it did not run a request.
  /// \param IsOtherTarget whether a target other than the addressed one
  /// replied.
  /// \param RetryAfter when the target asks for a retry; 0 if it doesn't say.
  void onTargetRefused(const RequestId &Id, bool IsOtherTarget,
                       Duration RetryAfter, TimePoint Now);
  /// Handles a request that HTTP can't carry to the target.
  /// \param Response the caller's response; it says nothing about the target.
  void onUnsendable(const RequestId &Id, HttpResponsePtr Response,
                    TimePoint Now);
  /// Handles the outcome of a `CheckTarget` command.
  /// \param Refused whether the target refused the connection: it has ended.
  void onTargetCheck(bool Refused, TimePoint Now);
  /// Handles the close of an idle connection by the target, as when it restarts
  /// between two requests. Restarts the cold start.
  void onTargetConnectionClosed(TimePoint Now);
  /// Sends a notice to all ingresses, and cancels running requests that are
  /// quarantined by now.
  void spread(const TrafficMessage &Notice, TimePoint Now);
  /// Stops admitting requests; `GateDrained` follows once no admitted request
  /// is left.
  /// \param End when the process ends, if that is known. Waiting requests that
  /// can't be done by then are refused.
  void startDrain(TimePoint Now, std::optional<TimePoint> End = std::nullopt);
  /// Runs timers that have expired.
  void onTick(TimePoint Now);
  /// \returns when `onTick` must be called next, if at all.
  std::optional<TimePoint> nextWakeUp() const;
  /// \returns the current load, as reported to ingresses.
  Capacity capacity() const;
  /// Removes and returns the commands collected since the last call.
  std::vector<GateCommand> takeCommands();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_GATE_H
