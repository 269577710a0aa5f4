/// \file
/// The dispatch ledger: the state of every request that was dispatched to the
/// gate.
///
/// A request is queued, then running, then done until the ingress settles it;
/// or it is refused and never runs. An id leaves the ledger only through
/// `settle`, `refuse` or `forget`, each of which prevents it from running
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

/// State of a request in the ledger.
enum class RequestState : std::uint8_t {
  Unknown,   ///< Never seen.
  Queued,    ///< Admitted, not yet sent to the target.
  Running,   ///< Sent to the target.
  Done,      ///< Ended; the answer or failure is stored.
  NeverRuns, ///< Refused or fenced.
  Settled,   ///< Ended and acknowledged by the ingress.
  Forgotten, ///< May have ended long ago; the record was removed.
};

/// An admitted request that is not settled yet.
struct LedgerEntry {
  RequestState m_State = RequestState::Queued;
  TimePoint m_Deadline;
  bool m_Idempotent = false;
  /// See `Dispatch`.
  bool m_AsSuspect = false;
  bool m_Repeatable = false;
  /// The target that the request is addressed to, and its service.
  TargetInstance m_Target;
  std::string m_Service{};
  /// Team whose key the caller sent; empty if there is none.
  std::string m_Team{};
  /// Ascending number of the admission; part of the queue's order.
  std::uint64_t m_Arrival = 0;
  /// Null once it was sent to the target.
  HttpRequestPtr m_Request;
  /// Null unless done with a complete response that is still stored.
  HttpResponsePtr m_Response;
  /// Set if done without a stored response.
  std::string m_FailureDetail;
  /// End of the target, if it ended while it ran the request.
  std::optional<RequestId> m_TargetEnd;
};

/// State of all requests of all ingresses.
class Ledger {
public:
  /// \param MaxAnswerBytes limit on the bytes of stored responses. Beyond it
  /// the oldest response is replaced by a failure, since its request has run
  /// and must not be sent again.
  explicit Ledger(std::size_t MaxAnswerBytes = MaxHeldAnswerBytes)
      : m_MaxAnswerBytes(MaxAnswerBytes) {}

  /// \returns the state of a request.
  RequestState lookUp(const RequestId &Id) const;
  /// \returns the entry of a queued, running or done request, or null.
  const LedgerEntry *find(const RequestId &Id) const;
  /// \returns why a request never runs; meaningful only in state `NeverRuns`.
  RefusalReason refusalReason(const RequestId &Id) const;
  /// \returns the number of entries of an ingress.
  std::size_t entryCount(const Incarnation &Ingress) const;
  /// \returns the number of entries in a state.
  std::size_t count(RequestState State) const;
  /// \returns whether there is any entry.
  bool empty() const { return m_Entries.empty(); }
  /// \returns the bytes of the stored responses.
  std::size_t heldAnswerBytes() const { return m_HeldAnswerBytes; }

  /// Adds an unknown request as queued.
  void admit(const RequestId &Id, LedgerEntry Entry);
  /// Moves a queued request to running.
  /// \returns the request, which the ledger no longer stores.
  HttpRequestPtr start(const RequestId &Id);
  /// Ends a running request with the complete response of the target.
  void finish(const RequestId &Id, HttpResponsePtr Response);
  /// Ends a running request without a complete response.
  /// \param TargetEnd end of the target, if it ended meanwhile.
  void fail(const RequestId &Id, std::string Detail,
            const std::optional<RequestId> &TargetEnd = std::nullopt);
  /// Records that a queued or unknown request never runs, or that a running one
  /// was not sent to the target after all.
  void refuse(const RequestId &Id, RefusalReason Reason);
  /// Fences off an unknown request after an inquiry: it must never run.
  void fence(const RequestId &Id);
  /// Removes a done request that the ingress has settled.
  void settle(const RequestId &Id);
  /// Removes all done requests of a departed ingress; later lookups return
  /// `Forgotten`.
  void forget(const Incarnation &Ingress);
  /// \returns the queued requests of an ingress.
  std::vector<RequestId> queuedRequests(const Incarnation &Ingress) const;
  /// \returns the ingresses that have entries.
  std::vector<Incarnation> ingresses() const;
  /// Discards the highest forgotten sequence number of an ingress whose epoch
  /// was evicted from the link table.
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
  /// Highest sequence number that was removed without being settled.
  std::unordered_map<Incarnation, std::uint64_t> m_ForgottenUpTo;
  std::deque<RequestId> m_Answers;
  RetiredIds m_Retired{MaxRetiredIds};
  RetiredIds m_Fenced{MaxFencedIds};
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_LEDGER_H
