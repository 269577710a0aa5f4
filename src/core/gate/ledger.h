/// \file
/// The dispatch ledger: what became of every request that was handed to the
/// gate.
///
/// A request is queued, then running, then done until the ingress settles it;
/// or it is refused and never runs. An id leaves the ledger only by
/// `settle`, `refuse` or `forget`, and each of them keeps it from running
/// again.
#ifndef DANDELIONFALL_CORE_GATE_LEDGER_H
#define DANDELIONFALL_CORE_GATE_LEDGER_H

#include "core/gate/limits.h"
#include "core/gate/retired_ids.h"
#include "dandelionfall/core/traffic_message.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace dandelionfall::core::gate {

/// What the ledger knows of a request.
enum class RequestState : std::uint8_t {
  Unknown,   ///< Never seen.
  Queued,    ///< Admitted, not yet given to the target.
  Running,   ///< Given to the target.
  Done,      ///< Ended, with the answer or failure on hand.
  NeverRuns, ///< Refused or fenced.
  Settled,   ///< Ended and acknowledged by the ingress.
  Forgotten, ///< Perhaps ended long ago; the record was dropped.
};

/// A request from its admission until it is settled.
struct LedgerEntry {
  RequestState m_State = RequestState::Queued;
  TimePoint m_Deadline;
  bool m_Idempotent = false;
  /// Name of the target that it is meant for.
  std::string m_Target;
  /// Place in the queue while it waits.
  std::uint64_t m_Arrival = 0;
  /// Null once the target has it.
  HttpRequestPtr m_Request;
  /// Null unless done with an answer.
  HttpResponsePtr m_Response;
  /// Set if done without an answer.
  std::string m_FailureDetail;
};

/// Records of all requests of all ingresses.
class Ledger {
public:
  /// \param MaxAnswerBytes bytes of answers kept at most; beyond them the
  /// oldest becomes a failure, since it may have run and can't be sent again.
  explicit Ledger(std::size_t MaxAnswerBytes = MaxHeldAnswerBytes)
      : m_MaxAnswerBytes(MaxAnswerBytes) {}

  /// \returns what is known of a request.
  RequestState lookUp(const RequestId &Id) const;
  /// \returns the entry of a queued, running or done request, or null.
  const LedgerEntry *find(const RequestId &Id) const;
  /// \returns why a request never runs; only for `NeverRuns`.
  RefusalReason refusalReason(const RequestId &Id) const;
  /// \returns the entries of an ingress.
  std::size_t entryCount(const Incarnation &Ingress) const;
  /// \returns the entries in a state.
  std::size_t count(RequestState State) const;
  /// \returns whether there is any entry.
  bool empty() const { return m_Entries.empty(); }
  /// \returns the bytes of the answers that are kept.
  std::size_t heldAnswerBytes() const { return m_HeldAnswerBytes; }

  /// Enters an unknown request as queued.
  void admit(const RequestId &Id, LedgerEntry Entry);
  /// Turns a queued request into a running one.
  /// \returns the request, which the ledger no longer needs.
  HttpRequestPtr start(const RequestId &Id);
  /// Ends a running request with the target's answer.
  void finish(const RequestId &Id, HttpResponsePtr Response);
  /// Ends a running request without an answer.
  void fail(const RequestId &Id, std::string Detail);
  /// Notes that a queued or unknown request never runs, or that a running one
  /// was not sent to the target after all.
  void refuse(const RequestId &Id, RefusalReason Reason);
  /// Fences an unknown request off for good.
  void fence(const RequestId &Id);
  /// Drops a done request that the ingress has settled.
  void settle(const RequestId &Id);
  /// Drops all done requests of an ingress that is gone; a later inquiry for
  /// them is answered with `Forgotten`.
  void forget(const Incarnation &Ingress);
  /// \returns the queued requests of an ingress.
  std::vector<RequestId> queuedRequests(const Incarnation &Ingress) const;
  /// \returns the ingresses that have entries.
  std::vector<Incarnation> ingresses() const;
  /// Drops the memory of an ingress whose epoch is dropped, too.
  void erase(const Incarnation &Ingress);

private:
  LedgerEntry *findRunning(const RequestId &Id);
  void setState(LedgerEntry &Entry, RequestState State);
  void remove(const RequestId &Id);
  void dropOldAnswers();

  std::size_t m_MaxAnswerBytes;
  std::size_t m_HeldAnswerBytes = 0;
  std::size_t m_Queued = 0;
  std::size_t m_Running = 0;
  std::unordered_map<RequestId, LedgerEntry> m_Entries;
  std::unordered_map<Incarnation, std::set<std::uint64_t>> m_ByIngress;
  /// Highest sequence number that was dropped unsettled.
  std::unordered_map<Incarnation, std::uint64_t> m_ForgottenUpTo;
  std::deque<RequestId> m_Answers;
  RetiredIds m_Retired{MaxRetiredIds};
  RetiredIds m_Fenced{MaxFencedIds};
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_LEDGER_H
