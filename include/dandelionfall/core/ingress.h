/// \file
/// The ingress of a node: selects a gate for each request of a caller, and
/// decides the response that the caller receives.
#ifndef DANDELIONFALL_CORE_INGRESS_H
#define DANDELIONFALL_CORE_INGRESS_H

#include "dandelionfall/core/event.h"
#include "dandelionfall/core/freshness.h"
#include "dandelionfall/core/gate.h"
#include "dandelionfall/core/host_list.h"
#include "dandelionfall/core/traffic_message.h"
#include "dandelionfall/core/zone_traffic.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelionfall::core {

/// Outcome of a call.
enum class CallOutcome : std::uint8_t {
  Answered,   ///< The target's complete response.
  NotRun,     ///< The request did not run and never will.
  Unknown,    ///< The request may have run.
  NoRoute,    ///< No route matches; no attempt was made.
  UnknownKey, ///< No team holds the caller's key; no attempt was made.
  OverQuota,  ///< The quota of the caller's team is used up; the request did
              ///< not run and never will.
};

/// Opens a link to a gate. The driver reports `onLinkOpened` or `onLinkClosed`
/// with the same number.
struct OpenTrafficLink {
  LinkId m_Link = 0;
  std::string m_GateAddress;
  friend bool operator==(const OpenTrafficLink &,
                         const OpenTrafficLink &) = default;
};

/// Sends the final response to the caller. The response is null for outcomes
/// other than `Answered`.
struct AnswerCaller {
  CallId m_Call = 0;
  CallOutcome m_Outcome = CallOutcome::Answered;
  HttpResponsePtr m_Response;
  /// Time after which the caller should retry; 0 if unknown.
  Duration m_RetryAfter{0};
  /// Cause of the failure, for the body of an error response.
  std::string m_Detail;
  friend bool operator==(const AnswerCaller &, const AnswerCaller &) = default;
};

/// A gate reported a newer version than the one applied here.
struct NewerVersionSeen {
  Version m_Version = 0;
  std::string m_GateAddress;
  friend bool operator==(const NewerVersionSeen &,
                         const NewerVersionSeen &) = default;
};

/// Commands of an ingress to its driver, in order.
using IngressCommand =
    std::variant<OpenTrafficLink, SendTraffic, CloseTrafficLink, AnswerCaller,
                 NewerVersionSeen, Event>;

/// Identity and options of an ingress.
struct IngressOptions {
  std::string m_Host;
  std::string m_Zone;
  Incarnation m_Incarnation;
  /// Seed of the random choices.
  std::uint64_t m_Seed = 0;
  /// Strategy that selects targets: `least-loaded-of-two`, `round-robin` or
  /// `priced-zones`.
  std::string m_Strategy = "least-loaded-of-two";
  /// Requests that crash targets, shared with the gate of the node; the ingress
  /// has its own if null.
  std::shared_ptr<Quarantine> m_Quarantine{};
  /// Targets that stated that they are leaving, shared with the gate of the
  /// node; the ingress has its own if null.
  std::shared_ptr<LeavingTargets> m_LeavingTargets{};
  /// Age of the proof that the configuration is the newest up to which keys are
  /// accepted, so that a withdrawn key is out of force after this time at
  /// nodes that are cut off, too. Unset if keys need no proof.
  std::optional<Duration> m_MaxProofAge{};
  /// Prices for the strategy `priced-zones`.
  ZonePrices m_ZonePrices{};
  /// By how much all nodes together may exceed the quota of a team; equal on
  /// all nodes.
  QuotaTolerance m_QuotaTolerance{};
  /// Whether gates should offer large answers instead of sending them at once;
  /// the driver then asks for them.
  bool m_PullsAnswers = false;
};

/// Decision logic of an ingress. Not thread-safe.
class Ingress {
public:
  /// \param Options identity of the node.
  /// \throws Error if the name of the strategy is unknown.
  explicit Ingress(IngressOptions Options);
  ~Ingress();
  Ingress(const Ingress &) = delete;
  Ingress &operator=(const Ingress &) = delete;

  /// Applies a new version of the configuration.
  void onConfiguration(ConfigurationPtr Config, TimePoint Now);
  /// Sets the hosts that the platform is about to remove; their targets get no
  /// new requests.
  void onLeavingHosts(HostNames Hosts, TimePoint Now);
  /// Sets whether an event is emitted for each step of a call, in addition to
  /// the one for its end. Enabled by default.
  void setStepEvents(bool Enabled);
  /// Handles a request of a caller.
  /// \param Call number of the call.
  /// \param CallerDeadline time allowed by the caller, if it gave one.
  /// \param Now the current time.
  /// \param CallerId id that the caller gave the request, for the log.
  /// \param Key key that the caller sent, which the request itself must not
  /// contain; empty if it sent none.
  void onCall(CallId Call, HttpRequestPtr Request,
              std::optional<Duration> CallerDeadline, TimePoint Now,
              const std::string &CallerId = "", const std::string &Key = "");
  /// Adds a proof that a configuration was the newest one.
  void onFreshness(const FreshnessProof &Proof);
  /// Announces the end of the process. From now on, calls whose deadline is
  /// later are rejected unless the latest calls of their kind were answered in
  /// less than the time left; the others, and those that are open, are finished
  /// by then.
  void startDrain(TimePoint End, TimePoint Now);
  /// Handles the disconnection of a caller.
  void onCallerDisconnected(CallId Call, TimePoint Now);
  /// Handles the opening of a requested link, which can now carry messages.
  void onLinkOpened(LinkId Link, TimePoint Now);
  /// Handles a link that broke or could not be opened.
  void onLinkClosed(LinkId Link, TimePoint Now);
  /// Handles a message from a gate. A complete response or a refusal counts
  /// even if the deadline has passed, as long as the call is open. `Now` must
  /// be read after the message, because the process may have been suspended.
  void onMessage(LinkId Link, const TrafficMessage &Message, TimePoint Now);
  /// Sends a notice to all gates.
  void spread(const TrafficMessage &Notice);
  /// Performs the work that is due.
  void onTick(TimePoint Now);
  /// \returns the time at which `onTick` is next needed, if any.
  std::optional<TimePoint> nextWakeUp() const;
  /// \returns the number of calls without a final response.
  std::size_t openCalls() const;
  /// \returns the requests so far by availability zone; only the strategy
  /// `priced-zones` counts them.
  const ZoneTrafficCounts &zoneTraffic() const;
  /// Returns the commands collected since the last call, and clears them.
  std::vector<IngressCommand> takeCommands();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_INGRESS_H
