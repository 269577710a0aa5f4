/// \file
/// The ingress of a node: decides where a caller's request goes and what the
/// caller is told.
#ifndef DANDELIONFALL_CORE_INGRESS_H
#define DANDELIONFALL_CORE_INGRESS_H

#include "dandelionfall/core/event.h"
#include "dandelionfall/core/gate.h"
#include "dandelionfall/core/host_list.h"
#include "dandelionfall/core/traffic_message.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelionfall::core {

/// What became of a call.
enum class CallOutcome : std::uint8_t {
  Answered, ///< The target's whole answer.
  NotRun,   ///< The request did not run and never will.
  Unknown,  ///< The request may have run.
  NoRoute,  ///< No route fits; nothing was tried.
};

/// Opens a link to a gate; the driver reports `onLinkOpened` or `onLinkClosed`
/// with the same number.
struct OpenTrafficLink {
  LinkId m_Link = 0;
  std::string m_GateAddress;
  friend bool operator==(const OpenTrafficLink &,
                         const OpenTrafficLink &) = default;
};

/// Gives the caller its final answer. For other outcomes than `Answered` the
/// response is null.
struct AnswerCaller {
  CallId m_Call = 0;
  CallOutcome m_Outcome = CallOutcome::Answered;
  HttpResponsePtr m_Response;
  /// When to come back; 0 if unknown.
  Duration m_RetryAfter{0};
  /// What went wrong, for the body of an error answer.
  std::string m_Detail;
  friend bool operator==(const AnswerCaller &, const AnswerCaller &) = default;
};

/// A gate knows a newer version than the one in force here.
struct NewerVersionSeen {
  Version m_Version = 0;
  std::string m_GateAddress;
  friend bool operator==(const NewerVersionSeen &,
                         const NewerVersionSeen &) = default;
};

/// What an ingress asks its driver to do, in order.
using IngressCommand =
    std::variant<OpenTrafficLink, SendTraffic, CloseTrafficLink, AnswerCaller,
                 NewerVersionSeen, Event>;

/// What an ingress is told about itself.
struct IngressOptions {
  std::string m_Host;
  std::string m_Zone;
  Incarnation m_Incarnation;
  /// Seed of the choices that are random.
  std::uint64_t m_Seed = 0;
  /// Strategy that chooses targets: `least-loaded-of-two` or `round-robin`.
  std::string m_Strategy = "least-loaded-of-two";
};

/// Decision logic of an ingress. Not safe for use by several threads at once.
class Ingress {
public:
  /// \param Options the node's own identity.
  /// \throws Error if the strategy's name is unknown.
  explicit Ingress(IngressOptions Options);
  ~Ingress();
  Ingress(const Ingress &) = delete;
  Ingress &operator=(const Ingress &) = delete;

  /// Takes a new version into force.
  void onConfiguration(ConfigurationPtr Config, TimePoint Now);
  /// Takes the hosts that the platform is about to take away; their targets
  /// get no new work.
  void onLeavingHosts(HostNames Hosts, TimePoint Now);
  /// Sets whether there is an event for each step of a call, beside the one for
  /// its end; there is unless told otherwise.
  void setStepEvents(bool Enabled);
  /// Takes a caller's request.
  /// \param Call the call's number.
  /// \param Request the request.
  /// \param CallerDeadline the time the caller allows, if it named one.
  /// \param Now the time.
  /// \param CallerId id by which the caller knows it, for the log.
  void onCall(CallId Call, HttpRequestPtr Request,
              std::optional<Duration> CallerDeadline, TimePoint Now,
              const std::string &CallerId = "");
  /// Notes that a caller no longer waits.
  void onCallerDisconnected(CallId Call, TimePoint Now);
  /// Notes that an asked-for link can carry messages.
  void onLinkOpened(LinkId Link, TimePoint Now);
  /// Notes that a link broke or could not be opened.
  void onLinkClosed(LinkId Link, TimePoint Now);
  /// Takes a gate's message. A whole answer or a refusal counts even if the
  /// deadline has passed in the meantime, as long as the call is open. The time
  /// must be read after the message, for the process may have slept.
  void onMessage(LinkId Link, const TrafficMessage &Message, TimePoint Now);
  /// Does what is due.
  void onTick(TimePoint Now);
  /// \returns when `onTick` is next needed, if at all.
  std::optional<TimePoint> nextWakeUp() const;
  /// \returns the calls that have no final answer yet.
  std::size_t openCalls() const;
  /// Takes the commands collected since the last call.
  std::vector<IngressCommand> takeCommands();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_INGRESS_H
