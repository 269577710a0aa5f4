/// \file
/// Messages on the traffic links between an ingress and a gate.
#ifndef DANDELIONFALL_CORE_TRAFFIC_MESSAGE_H
#define DANDELIONFALL_CORE_TRAFFIC_MESSAGE_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/http_message.h"
#include "dandelionfall/core/identity.h"
#include "dandelionfall/core/quarantine.h"
#include "dandelionfall/core/target_statement.h"
#include "dandelionfall/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dandelionfall::core {

/// Load of a target, as reported by its gate.
struct Capacity {
  /// Requests that are running at the target.
  std::uint32_t m_InFlight = 0;
  /// Requests that are admitted and waiting.
  std::uint32_t m_Queued = 0;
  /// Requests that the target can run concurrently at present; less than its
  /// slots during a cold start.
  std::uint32_t m_Limit = 0;
  /// Smoothed service time of the target.
  Duration m_ServiceTime{0};
  /// Rate that the target states at present; unset if it states none.
  std::optional<double> m_StatedRate{};
  friend bool operator==(const Capacity &, const Capacity &) = default;
};

/// First message of an ingress on a new link.
struct TrafficHello {
  std::string m_Host;
  Incarnation m_Ingress;
  Epoch m_Epoch = 0;
  Version m_Version = 0;
  /// Whether the gate should offer large answers, see `AnswerOffer`.
  bool m_PullsAnswers = false;
  friend bool operator==(const TrafficHello &, const TrafficHello &) = default;
};

/// Reply of a gate to a hello. From then on the gate runs no request from older
/// epochs of the ingress.
struct TrafficWelcome {
  std::string m_Host;
  Incarnation m_Gate;
  Epoch m_Epoch = 0;
  Version m_Version = 0;
  Capacity m_Capacity;
  friend bool operator==(const TrafficWelcome &,
                         const TrafficWelcome &) = default;
};

/// Sends a request to a gate.
struct Dispatch {
  RequestId m_Id;
  Epoch m_Epoch = 0;
  /// Incarnation of the gate that the request is meant for; any other one
  /// refuses it.
  Incarnation m_Gate;
  /// Time left until the deadline, at the time of sending.
  Duration m_Remaining{0};
  /// Version applied at the ingress.
  Version m_Version = 0;
  std::string m_Service;
  std::string m_Target;
  bool m_Idempotent = false;
  HttpRequestPtr m_Request;
  /// Kind of the request. Requests of one route are expected to take about the
  /// same time.
  std::string m_Kind{};
  /// Priority of the route; 0 is the highest.
  std::uint32_t m_Priority = 0;
  /// Time left until the soft deadline, after which an answer counts as late.
  /// Zero or negative once it has passed; the maximum if there is none.
  Duration m_SoftDeadlineIn = Duration::max();
  /// Rate that the target stated in its latest response to this ingress; unset
  /// if it stated none. A gate that has restarted relies on it.
  std::optional<double> m_StatedRate{};
  /// Whether the ingress knows the request as suspect, see `Quarantine`. All
  /// copies of a suspect are sent to the same target.
  bool m_AsSuspect = false;
  /// Whether the ingress may send the request once more after it has run.
  bool m_Repeatable = false;
  /// Team whose key the caller sent; empty if the route needs none.
  std::string m_Team{};
  /// Set by the receiving node if it has no memory for the body: the gate
  /// refuses the request. Not transferred.
  bool m_NoRoom = false;
  friend bool operator==(const Dispatch &, const Dispatch &) = default;
};

/// Complete response of a target.
struct Answer {
  RequestId m_Id;
  HttpResponsePtr m_Response;
  Capacity m_Capacity;
  TargetStatement m_Statement{};
  friend bool operator==(const Answer &, const Answer &) = default;
};

/// Announces an answer with a large body, which the gate sends when the ingress
/// asks for it.
struct AnswerOffer {
  RequestId m_Id;
  std::uint64_t m_BodyBytes = 0;
  Capacity m_Capacity;
  friend bool operator==(const AnswerOffer &, const AnswerOffer &) = default;
};

/// Asks for an offered answer, for which the ingress has memory now. The gate
/// replies with a `Failure` if it no longer has it.
struct AnswerPull {
  RequestId m_Id;
  friend bool operator==(const AnswerPull &, const AnswerPull &) = default;
};

/// Reason why a gate did not run a request.
enum class RefusalReason : std::uint8_t {
  Overload,  ///< It would miss its deadline, or cause an admitted request to
             ///< miss its deadline.
  QueueFull, ///< The queue has reached its limit.
  DeadlinePassed,   ///< No time is left.
  ZoneOut,          ///< The gate's availability zone is out.
  Draining,         ///< The gate is draining.
  WrongIncarnation, ///< The dispatch names an earlier incarnation of the gate.
  OldEpoch,         ///< A newer link of the same ingress has replaced this one.
  UnknownTarget,    ///< The gate does not serve the named target.
  TargetDown,       ///< The target accepts no connection.
  Cancelled,        ///< The ingress cancelled it before it started.
  TargetRefused,    ///< The target stated that it did not run it.
  OtherTarget,      ///< Another target answers at the address.
  TargetLeaving,    ///< The target is about to stop.
  Quarantined,      ///< Targets ended whenever they ran the request.
  Suspect,          ///< A target ended while it ran a copy of the request. The
                    ///< ingress didn't know this, or a copy occupies this gate
                    ///< and there is no room for another.
};

/// \returns the name of the reason in event details.
std::string_view nameOf(RefusalReason Reason);

/// A refusal: the request did not run at this gate and never will. A later
/// attempt at the same gate needs a new id.
struct Refusal {
  RequestId m_Id;
  RefusalReason m_Reason = RefusalReason::Overload;
  /// Earliest time from now at which the request could be admitted; 0 if
  /// unknown.
  Duration m_RetryAfter{0};
  Version m_Version = 0;
  Capacity m_Capacity;
  /// Set if the target itself refused the request or is leaving.
  std::optional<TargetStatement> m_Statement{};
  friend bool operator==(const Refusal &, const Refusal &) = default;
};

/// The request was sent to the target, but no complete response came: it may
/// have run.
struct Failure {
  RequestId m_Id;
  std::string m_Detail;
  Capacity m_Capacity;
  /// End of the target, if it ended while it ran the request.
  std::optional<RequestId> m_TargetEnd{};
  friend bool operator==(const Failure &, const Failure &) = default;
};

/// Maximum number of ids in one `Inquiry` or `Settled` message; a gate closes a
/// link that exceeds it.
inline constexpr std::size_t MaxIdsPerMessage = 4096;

/// Asks for the state of requests that were sent on an older link. Sent only
/// after the welcome of the gate incarnation that they were dispatched to:
/// another incarnation has no record of them, so its `NeverRuns` would not
/// apply to the one that received them.
struct Inquiry {
  std::vector<RequestId> m_Ids;
  friend bool operator==(const Inquiry &, const Inquiry &) = default;
};

/// State of a request in a gate's ledger.
enum class LedgerState : std::uint8_t {
  NeverRuns, ///< Not run, and fenced: it never will run.
  Running,   ///< Queued or running; the answer follows on this link.
  Done,      ///< Finished; the answer or failure follows on this link.
};

/// Reply to an inquiry, one for each request.
struct InquiryReply {
  RequestId m_Id;
  LedgerState m_State = LedgerState::NeverRuns;
  friend bool operator==(const InquiryReply &, const InquiryReply &) = default;
};

/// Allows a gate to forget finished requests.
struct Settled {
  std::vector<RequestId> m_Ids;
  friend bool operator==(const Settled &, const Settled &) = default;
};

/// Cancels a request, for instance because its caller has disconnected.
struct Cancel {
  RequestId m_Id;
  friend bool operator==(const Cancel &, const Cancel &) = default;
};

/// Checks that a traffic link is alive.
struct TrafficPing {
  std::uint64_t m_Sequence = 0;
  Version m_Version = 0;
  /// Time from sending until the process of the ingress ends, if it is
  /// stopping. It can't pass on later answers.
  std::optional<Duration> m_EndsIn{};
  friend bool operator==(const TrafficPing &, const TrafficPing &) = default;
};

/// Reply to a ping.
struct TrafficPong {
  std::uint64_t m_Sequence = 0;
  Version m_Version = 0;
  Capacity m_Capacity;
  friend bool operator==(const TrafficPong &, const TrafficPong &) = default;
};

/// The gate accepts no new requests on any link.
struct TrafficGoAway {
  friend bool operator==(const TrafficGoAway &,
                         const TrafficGoAway &) = default;
};

/// Evidence against requests that crash targets; sent in both directions. A
/// node passes on what is new to it.
struct CrashNotice {
  std::vector<CrashEvidence> m_Evidence;
  friend bool operator==(const CrashNotice &, const CrashNotice &) = default;
};

/// Targets that stated that they are leaving; sent in both directions. A node
/// passes on what is new to it.
struct LeavingNotice {
  std::vector<TargetInstance> m_Targets;
  friend bool operator==(const LeavingNotice &,
                         const LeavingNotice &) = default;
};

/// Asks the gate's node, as one of the accountants of a team, for credit of its
/// quota: for each credit one request may run.
struct CreditRequest {
  /// Ascending number on the link; the reply repeats it.
  std::uint64_t m_Sequence = 0;
  std::string m_Team;
  std::uint32_t m_Wanted = 0;
  /// Credits of an earlier grant that this ingress has not used and never will.
  std::uint32_t m_Returned = 0;
  friend bool operator==(const CreditRequest &,
                         const CreditRequest &) = default;
};

/// Reply to a `CreditRequest`.
struct CreditGrant {
  std::uint64_t m_Sequence = 0;
  std::string m_Team;
  /// Credits granted; fewer than wanted if no more are left.
  std::uint32_t m_Granted = 0;
  /// Time for which they may be used, counted from when they were asked for.
  Duration m_Lease{0};
  /// Time after which further credit is expected; 0 if there is more now.
  Duration m_RetryAfter{0};
  friend bool operator==(const CreditGrant &, const CreditGrant &) = default;
};

/// Any message on a traffic link.
using TrafficMessage =
    std::variant<TrafficHello, TrafficWelcome, Dispatch, Answer, Refusal,
                 Failure, Inquiry, InquiryReply, Settled, Cancel, TrafficPing,
                 TrafficPong, TrafficGoAway, CrashNotice, LeavingNotice,
                 CreditRequest, CreditGrant, AnswerOffer, AnswerPull>;

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_TRAFFIC_MESSAGE_H
