/// \file
/// Calls and the tries made for them.
#ifndef DANDELIONFALL_CORE_INGRESS_CALL_RECORDS_H
#define DANDELIONFALL_CORE_INGRESS_CALL_RECORDS_H

#include "core/ingress/gate_peer.h"
#include "dandelionfall/core/http_message.h"

#include <string>
#include <vector>

namespace dandelionfall::core::ingress {

/// One hand-over of a call's request to one gate, under a `RequestId` of its
/// own.
struct Attempt {
  RequestId m_Id;
  /// The call; 0 once the call is over.
  CallId m_Call = 0;
  GatePeer *m_Peer = nullptr;
  std::string m_Target;
  /// Number of this repeat; 0 if the request has not been run before.
  unsigned m_Repeat = 0;
  bool m_Sent = false;
  /// Start of the gate that it was sent to, on which link, and when.
  Incarnation m_Gate;
  LinkId m_Link = 0;
  TimePoint m_SentAt;

  /// Another try has already been made because this one's gate is out of reach.
  bool m_Hedged = false;
};

/// A caller's request without a final answer.
struct Call {
  CallId m_Id = 0;
  /// Id by which the caller knows the request; empty if it names none.
  std::string m_CallerId;
  TimePoint m_OpenedAt;
  /// What became of each try, for the log.
  std::string m_History;
  HttpRequestPtr m_Request;
  std::string m_Service;
  TimePoint m_Deadline;
  /// How long after the deadline an answer that is on its way is waited for.
  Duration m_AnswerGrace{0};
  bool m_Idempotent = false;
  /// Whether this ingress may repeat it after it may have run.
  bool m_MayRetry = false;
  /// Most targets that it may reach.
  unsigned m_MaxTargetAttempts = 1;
  /// Tries that reached a target, or may have.
  unsigned m_TargetAttempts = 0;
  /// What the gates are told of the route: its kind, its rank, and when the
  /// answer is wanted.
  std::string m_Kind;
  std::uint32_t m_Priority = 0;
  TimePoint m_SoftDeadline;
  /// Time after which a try that may be repeated is tried elsewhere.
  Duration m_AttemptTimeout{0};
  /// Whole answer of a target that failed; given if no other try does better.
  HttpResponsePtr m_ServerErrorResponse;
  /// Tries without an end.
  std::vector<AttemptNumber> m_OpenAttempts;
  /// Gates that were given the request.
  std::vector<std::string> m_TriedGates;
  unsigned m_Repeats = 0;
  /// Whether an ended try may have run.
  bool m_MayHaveRun = false;
  /// Least time that a refusing gate named; 0 if none did.
  Duration m_RetryAfter{0};
  std::string m_LastFault;
  /// The try that ended last; 0 before any has.
  AttemptNumber m_LastAttempt = 0;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_CALL_RECORDS_H
