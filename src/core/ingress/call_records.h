/// \file
/// Calls and their attempts.
#ifndef DANDELIONFALL_CORE_INGRESS_CALL_RECORDS_H
#define DANDELIONFALL_CORE_INGRESS_CALL_RECORDS_H

#include "core/ingress/gate_peer.h"
#include "dandelionfall/core/http_message.h"

#include <optional>
#include <string>
#include <vector>

namespace dandelionfall::core::ingress {

/// One sending of a call's request to one gate, under its own `RequestId`.
struct Attempt {
  RequestId m_Id;
  /// The call; 0 once the call has ended.
  CallId m_Call = 0;
  GatePeer *m_Peer = nullptr;
  TargetInstance m_Target;
  /// Number of this repeat; 0 if the request has not been run before.
  unsigned m_Repeat = 0;
  bool m_Sent = false;
  /// Whether it was sent as suspect.
  bool m_AsSuspect = false;
  /// Incarnation of the gate that received it, the link, and the time of
  /// sending.
  Incarnation m_Gate;
  LinkId m_Link = 0;
  TimePoint m_SentAt;

  /// Its gate is unreachable, so the call no longer waits for this attempt
  /// alone.
  bool m_Hedged = false;
};

/// Who sent a request.
struct CallerIdentity {
  /// Id that the caller gave the request, for the log; empty if none.
  const std::string &m_Id;
  /// Key of the caller's team; empty if none.
  const std::string &m_Key;
};

/// A caller's request that has no final response yet.
struct Call {
  CallId m_Id = 0;
  /// Id that the caller gave the request; empty if none.
  std::string m_CallerId;
  TimePoint m_OpenedAt;
  /// Outcome of each attempt, for the log.
  std::string m_History;
  HttpRequestPtr m_Request;
  std::string m_Service;
  TimePoint m_Deadline;
  /// Time after the deadline for which the call still waits for an answer that
  /// may be on its way.
  Duration m_AnswerGrace{0};
  bool m_Idempotent = false;
  /// Whether this ingress may repeat the request after it may have run.
  bool m_MayRetry = false;
  /// Maximum number of attempts that reach a target.
  unsigned m_MaxTargetAttempts = 1;
  /// Attempts that reached a target, or may have.
  unsigned m_TargetAttempts = 0;
  /// Properties of the route that are sent to the gates: kind, priority and
  /// soft deadline.
  std::string m_Kind;
  std::uint32_t m_Priority = 0;
  TimePoint m_SoftDeadline;
  /// Team of the caller; empty if the route needs none.
  std::string m_Team;
  /// Whether the call waits for a credit of its team's quota.
  bool m_AwaitsCredit = false;
  /// End of the lease of its credit, if it took one.
  std::optional<TimePoint> m_CreditUntil;
  /// Time after which another attempt is made for a repeatable request.
  Duration m_AttemptTimeout{0};
  /// Complete response with a server error; returned if no other attempt
  /// succeeds.
  HttpResponsePtr m_ServerErrorResponse;
  /// Attempts that have not ended.
  std::vector<AttemptNumber> m_OpenAttempts;
  /// Gates that were selected for the request.
  std::vector<std::string> m_TriedGates;
  unsigned m_Repeats = 0;
  /// Whether an ended attempt may have run.
  bool m_MayHaveRun = false;
  /// A gate refused the request because it crashes targets, or may do so while
  /// a copy runs.
  bool m_IsConfined = false;
  /// Shortest delay given by a refusing gate; 0 if none gave one.
  Duration m_RetryAfter{0};
  std::string m_LastFault;
  /// Set once a gate refused the request because its target has left: until
  /// then, another target may become known.
  std::optional<TimePoint> m_TargetsAwaitedUntil;
  /// Whether the call waits for that now.
  bool m_AwaitsTargets = false;
  /// The attempt that ended last; 0 if none has ended.
  AttemptNumber m_LastAttempt = 0;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_CALL_RECORDS_H
