/// \file
/// Messages on the traffic links between an ingress and a gate.
#ifndef DANDELIONFALL_CORE_TRAFFIC_MESSAGE_H
#define DANDELIONFALL_CORE_TRAFFIC_MESSAGE_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/http_message.h"
#include "dandelionfall/core/identity.h"
#include "dandelionfall/core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dandelionfall::core {

/// Load that a gate reports of its target.
struct Capacity {
  /// Requests running at the target.
  std::uint32_t m_InFlight = 0;
  /// Requests admitted and waiting.
  std::uint32_t m_Queued = 0;
  /// Requests that the target may run at once now; below its slots during cold
  /// start.
  std::uint32_t m_Limit = 0;
  /// Smoothed service time of the target.
  Duration m_ServiceTime{0};
  friend bool operator==(const Capacity &, const Capacity &) = default;
};

/// First message of an ingress on a new link.
struct TrafficHello {
  std::string m_Host;
  Incarnation m_Ingress;
  Epoch m_Epoch = 0;
  Version m_Version = 0;
  friend bool operator==(const TrafficHello &, const TrafficHello &) = default;
};

/// A gate's reply to a hello; from here on it runs nothing of the ingress's
/// older epochs.
struct TrafficWelcome {
  std::string m_Host;
  Incarnation m_Gate;
  Epoch m_Epoch = 0;
  Version m_Version = 0;
  Capacity m_Capacity;
  friend bool operator==(const TrafficWelcome &,
                         const TrafficWelcome &) = default;
};

/// Hands a request to a gate.
struct Dispatch {
  RequestId m_Id;
  Epoch m_Epoch = 0;
  /// Incarnation of the gate that the ingress means; another one refuses.
  Incarnation m_Gate;
  /// Time left until the deadline when the message was sent.
  Duration m_Remaining{0};
  /// Version in force at the ingress.
  Version m_Version = 0;
  std::string m_Service;
  std::string m_Target;
  bool m_Idempotent = false;
  HttpRequestPtr m_Request;
  /// Kind of the request: requests of one route take about the same time.
  std::string m_Kind{};
  /// Rank of the route; 0 is the highest.
  std::uint32_t m_Priority = 0;
  /// Time left until the answer is later than wanted; not above 0 if it is, and
  /// the longest one if no time is named.
  Duration m_SoftDeadlineIn = Duration::max();
  friend bool operator==(const Dispatch &, const Dispatch &) = default;
};

/// A target's whole answer.
struct Answer {
  RequestId m_Id;
  HttpResponsePtr m_Response;
  Capacity m_Capacity;
  friend bool operator==(const Answer &, const Answer &) = default;
};

/// Why a gate did not run a request.
enum class RefusalReason : std::uint8_t {
  Overload,  ///< It would miss its deadline or make an admitted one miss its
             ///< own.
  QueueFull, ///< The queue is at its limit.
  DeadlinePassed,   ///< No time is left.
  ZoneOut,          ///< The gate's availability zone is out.
  Draining,         ///< The gate is on its way out.
  WrongIncarnation, ///< The dispatch means an earlier start of the gate.
  OldEpoch,         ///< A newer link of the same ingress has replaced this one.
  UnknownTarget,    ///< The gate does not serve the named target.
  TargetDown,       ///< The target takes no connection.
  Cancelled,        ///< The ingress withdrew it before it started.
  TargetRefused,    ///< The target said that it did not run it.
  OtherTarget,      ///< Another target answers at the address.
};

/// \returns the name of a reason in event details.
std::string_view nameOf(RefusalReason Reason);

/// A refusal: the request did not run here and never will; a later try at the
/// same gate needs a new id.
struct Refusal {
  RequestId m_Id;
  RefusalReason m_Reason = RefusalReason::Overload;
  /// Earliest time from now at which the request could be admitted; 0 if
  /// unknown.
  Duration m_RetryAfter{0};
  Version m_Version = 0;
  Capacity m_Capacity;
  friend bool operator==(const Refusal &, const Refusal &) = default;
};

/// The target was given the request, but no whole answer came: it may have run.
struct Failure {
  RequestId m_Id;
  std::string m_Detail;
  Capacity m_Capacity;
  friend bool operator==(const Failure &, const Failure &) = default;
};

/// Most ids in one inquiry or acknowledgement; a gate closes a link that brings
/// more.
inline constexpr std::size_t MaxIdsPerMessage = 4096;

/// Asks what became of requests that were sent on an older link. Sent only
/// after the welcome of the same gate incarnation that they were dispatched to:
/// another one knows nothing of them, and its `NeverRuns` would be about
/// itself.
struct Inquiry {
  std::vector<RequestId> m_Ids;
  friend bool operator==(const Inquiry &, const Inquiry &) = default;
};

/// What a gate's ledger says of a request.
enum class LedgerState : std::uint8_t {
  NeverRuns, ///< Not run, and fenced off for good.
  Running,   ///< Queued or running; the answer comes on this link.
  Done,      ///< Finished; the answer or failure follows on this link.
};

/// Reply to an inquiry, one a request.
struct InquiryReply {
  RequestId m_Id;
  LedgerState m_State = LedgerState::NeverRuns;
  friend bool operator==(const InquiryReply &, const InquiryReply &) = default;
};

/// Tells a gate that it may forget finished requests.
struct Settled {
  std::vector<RequestId> m_Ids;
  friend bool operator==(const Settled &, const Settled &) = default;
};

/// Withdraws a request whose caller is gone.
struct Cancel {
  RequestId m_Id;
  friend bool operator==(const Cancel &, const Cancel &) = default;
};

/// Checks that a traffic link is alive.
struct TrafficPing {
  std::uint64_t m_Sequence = 0;
  Version m_Version = 0;
  friend bool operator==(const TrafficPing &, const TrafficPing &) = default;
};

/// Reply to a ping.
struct TrafficPong {
  std::uint64_t m_Sequence = 0;
  Version m_Version = 0;
  Capacity m_Capacity;
  friend bool operator==(const TrafficPong &, const TrafficPong &) = default;
};

/// The gate takes no new work on any link.
struct TrafficGoAway {
  friend bool operator==(const TrafficGoAway &,
                         const TrafficGoAway &) = default;
};

/// Any message of a traffic link.
using TrafficMessage =
    std::variant<TrafficHello, TrafficWelcome, Dispatch, Answer, Refusal,
                 Failure, Inquiry, InquiryReply, Settled, Cancel, TrafficPing,
                 TrafficPong, TrafficGoAway>;

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_TRAFFIC_MESSAGE_H
