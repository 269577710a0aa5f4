/// \file
/// Maintains a copy of a shared store: lists all records once, then watches for
/// changes.
#ifndef DANDELIONFALL_CORE_STORE_READER_H
#define DANDELIONFALL_CORE_STORE_READER_H

#include "dandelionfall/core/event.h"
#include "dandelionfall/core/missing_revisions.h"
#include "dandelionfall/core/published.h"
#include "dandelionfall/core/repetitions.h"
#include "dandelionfall/core/revision_proof.h"
#include "dandelionfall/core/store_history.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace dandelionfall::core {

/// How current a reply of the store must be.
enum class ReadConsistency : std::uint8_t {
  Linearizable, ///< As of a moment during the call.
  /// As of any moment; nothing bounds its age. Costs the store a fraction of a
  /// linearizable call.
  Serializable,
};

/// Requests one page of all records, or of those below a prefix.
struct ListRecords {
  std::uint64_t m_Call = 0;
  /// Key after which the page begins; empty for the first page.
  std::string m_After;
  /// Time without a byte of the reply after which the driver abandons the call.
  Duration m_Timeout{0};
  ReadConsistency m_Consistency = ReadConsistency::Linearizable;
  /// Prefix of the listed keys; empty for all.
  std::string m_Prefix;
  friend bool operator==(const ListRecords &, const ListRecords &) = default;
};

/// Requests the changes after a counter of the store (long poll).
struct WatchRecords {
  std::uint64_t m_Call = 0;
  StoreCounter m_After = 0;
  /// How long the store may wait for a change before it answers.
  Duration m_Wait{0};
  /// Time without a byte of the reply after which the driver abandons the call.
  Duration m_Timeout{0};
  ReadConsistency m_Consistency = ReadConsistency::Linearizable;
  /// Prefix of the watched keys; empty for all.
  std::string m_Prefix;
  friend bool operator==(const WatchRecords &, const WatchRecords &) = default;
};

/// Abandons a call that another one replaces; its reply is ignored.
struct AbandonCall {
  std::uint64_t m_Call = 0;
  friend bool operator==(const AbandonCall &, const AbandonCall &) = default;
};

/// How a reader watches the store.
enum class WatchMode : std::uint8_t {
  Alone,      ///< Linearizable; only this node depends on the result.
  Publishing, ///< Linearizable; other nodes rely on regular confirmations.
  Following,  ///< Serializable; other nodes tell which revision is current.
  Fed,        ///< No watch; other nodes send all changes.
};

/// \returns the mode's name, for logs.
const char *nameOf(WatchMode Mode);

/// Outcome of a call to the store.
enum class StoreOutcome : std::uint8_t {
  Answered,
  HistoryCompacted, ///< The store no longer holds changes that old.
  TooLarge,         ///< The reply exceeds the driver's limit.
  Failed,           ///< Refused, disconnected, timed out or unreadable.
};

/// Reply to a `ListRecords` or `WatchRecords` call.
struct StoreReply {
  std::uint64_t m_Call = 0;
  StoreOutcome m_Outcome = StoreOutcome::Failed;
  /// Records with the store's counters as their revisions.
  std::vector<StoreRecord> m_Records;
  /// Counter of the store when it answered.
  StoreCounter m_AsOf = 0;
  /// Whether further pages follow.
  bool m_HasMore = false;
  /// Number that rises each time the store is restored from a copy; empty if
  /// the store states none.
  std::optional<std::uint64_t> m_Era;
  /// Reason of a failure.
  std::string m_Fault;
};

/// Reports all records of the store as of a revision.
struct RecordsRead {
  std::vector<StoreRecord> m_Records;
  Revision m_AsOf = 0;
  /// Revision that this node held when it asked for them.
  Revision m_HeldBefore = 0;
};

/// Reports the records changed since the last report.
struct RecordsChanged {
  std::vector<StoreRecord> m_Records;
  Revision m_AsOf = 0;
};

/// Reports that the store became reachable or unreachable.
struct StoreReachability {
  bool m_Reachable = false;
};

/// Command from a reader to its driver; executed in order.
using StoreReaderCommand =
    std::variant<ListRecords, WatchRecords, AbandonCall, RecordsRead,
                 RecordsChanged, StoreReachability, Event>;

/// State machine that reads a store; performs no I/O itself. A watch returns
/// each value written since, also those that were replaced; while large records
/// change faster than they are read, the records are listed instead.
///
/// A store that comes back from an older copy, or counts its revisions anew,
/// begins another history; its records are listed anew and replace those of
/// the earlier one. This is the case if the store states another era, if a
/// linearizable listing is below a revision that was known before the call, or
/// if a record that this node holds is not as the store has it. After a failed
/// call, or the loss of the last feed, one record is compared, unless the store
/// states its era. Not thread-safe.
class StoreReader {
public:
  /// \param Seed seed of the random jitter between calls.
  /// \param KeepsWrites whether the store never loses what it has acknowledged,
  /// unless it raises its era.
  explicit StoreReader(std::uint64_t Seed, bool KeepsWrites = false)
      : m_Random(Seed), m_KeepsWrites(KeepsWrites) {}

  /// Issues the first call.
  void start(TimePoint Now);
  /// Handles the reply to the pending call; replies to other calls are ignored.
  void onReply(StoreReply Reply, TimePoint Now);
  /// Continues from the revision of records received from a peer if it is later
  /// than this reader's own; the next watch starts there.
  void onPeerRecords(Revision AsOf, TimePoint Now);
  /// Sets how the store is watched. A pending watch that is less current than
  /// the mode demands is replaced at once.
  void setMode(WatchMode Mode, TimePoint Now);
  /// Handles the observation that another node follows a later history of the
  /// store, and lists the records soon.
  void onLaterHistory(HistoryNumber Found, TimePoint Now);
  /// Handles a listing that contradicts the records held: the store has begun
  /// another history.
  /// \returns the listing as one of that history.
  RecordsRead restart(RecordsRead Contradicting, TimePoint Now);
  /// Lists the records if the store has disproved a revision.
  /// \param Claimed revision that another node claims to hold.
  /// \returns whether it has; the claim is then of an earlier history.
  bool checkClaim(Revision Claimed, TimePoint Now);
  /// Sets the last change held. While unverified it is compared with the
  /// store's; a removal, or a large record, is compared by a listing.
  /// \param AsOf revision up to which all changes are held.
  void setEvidence(StoreRecord Newest, Revision AsOf);
  /// Sets the key that no complete listing lacks; empty for none.
  void setRequiredKey(const std::string &Key) { m_RequiredKey = Key; }
  /// Handles the loss of the last feed. Calls tell when the store was away; a
  /// node that relied on feeds and made none can't know.
  void onFeedsLost() { m_IsUnverified = true; }
  /// \returns whether a call has failed, or the last feed was lost, since the
  /// store was last known to continue the history.
  bool isUnverified() const { return m_IsUnverified; }
  /// Handles the observation that the store has reached a revision. If the own
  /// watch does not bring it within `CatchUpDelay`, a new linearizable call
  /// reads it: the watch sees an old state or was lost.
  void onNewerRevision(Revision Seen, TimePoint Now);
  /// Does not count a time for which this node was occupied or stood still as
  /// time in which a revision could have arrived.
  void onDelay(Duration Delay) { m_Missing.postpone(Delay); }
  /// Issues the next call if it is due.
  void onTick(TimePoint Now);
  /// \returns when `onTick` must be called next, if at all.
  std::optional<TimePoint> nextWakeUp() const;
  /// \returns how the store is watched.
  WatchMode mode() const { return m_Mode; }
  /// \returns when the store last answered a linearizable call, if ever.
  std::optional<TimePoint> confirmedAt() const { return m_ConfirmedAt; }
  /// \returns which revision the store last proved to be the newest, if ever.
  /// It was so when the call was issued, or later: when its reply is read says
  /// nothing, since it may have waited while this process stood still.
  const std::optional<RevisionProof> &proof() const { return m_Proof; }
  /// \returns whether the last completed call was answered.
  bool isAnswered() const { return m_Failures == 0; }
  /// \returns whether the store counts as reachable.
  bool isReachable() const { return m_Reachable; }
  /// \returns the number of calls issued since the start.
  std::uint64_t calls() const { return m_LastCall; }
  /// \returns the history of the store that is followed.
  const StoreHistory &history() const { return m_History; }
  /// \returns the commands collected since the last call.
  std::vector<StoreReaderCommand> takeCommands();

private:
  /// Purpose of the pending call.
  enum class Purpose : std::uint8_t { List, Watch, CompareRecord };

  bool needsNoCall() const;
  void endCall();
  void issueCall(TimePoint Now);
  void replaceCall(TimePoint Now);
  Purpose nextPurpose() const;
  bool mayReadEarlierHistory() const;
  WatchRecords makeWatch() const;
  void startListing(TimePoint Now);
  bool continuesHistory(const StoreReply &Reply, TimePoint Now);
  void onAnswer(TimePoint ConfirmedAt);
  void onCompared(const StoreReply &Reply, TimePoint Now);
  /// Handles the proof that the store continues the history that is known.
  void onVerified(TimePoint Now);
  void prove(Revision Newest, TimePoint CalledAt);
  void finishListing(const StoreReply &Last, TimePoint Now);
  bool provesNextHistory() const;
  void listSuspected(const StoreReply &Reply, TimePoint Now);
  /// Lists the records, with a delay from the second time in a row.
  void relist(unsigned Repetition, TimePoint Now);
  void reportHistory(const char *Cause, StoreCounter AsOf);
  std::optional<TimePoint> catchUpAt() const;
  void setKnownRevision(Revision Known);
  void catchUp(TimePoint Now);
  void dropDisproved(StoreCounter AsOf);
  void onPage(StoreReply Reply, TimePoint Now);
  void onChanges(StoreReply Reply, TimePoint Now);
  void reportCaughtUp(const StoreReply &Reply, TimePoint Now);
  void reportFailure(const StoreReply &Reply, TimePoint Now);
  /// \returns how many replies were dropped in succession.
  unsigned reportDropped(const StoreReply &Reply, TimePoint Now);
  void onFailure(const StoreReply &Reply, TimePoint Now);
  void setReachable(bool Reachable, const std::string &Cause);

  std::mt19937_64 m_Random;
  bool m_KeepsWrites;
  std::vector<StoreReaderCommand> m_Commands;
  /// Id of the last call; replies to earlier calls are ignored.
  std::uint64_t m_LastCall = 0;
  /// Whether the last call has no reply yet.
  bool m_CallPending = false;
  Purpose m_Purpose = Purpose::List;
  /// When the next call is issued; empty while a call is pending.
  std::optional<TimePoint> m_CallAt;
  WatchMode m_Mode = WatchMode::Alone;
  /// The last call if it was a watch.
  std::optional<WatchRecords> m_LastWatch;
  ReadConsistency m_LastConsistency = ReadConsistency::Linearizable;
  TimePoint m_CalledAt;
  std::optional<TimePoint> m_ConfirmedAt;
  std::optional<RevisionProof> m_Proof;
  /// Calls before that prove nothing.
  std::optional<TimePoint> m_ProvesFrom;
  MissingRevisions m_Missing;
  /// Announced revision that a later linearizable call disproved. Lower ones
  /// can still be true: the announcement may come from a faulty node.
  Revision m_DisprovedRevision = 0;
  /// Whether the next watch is linearizable in any mode.
  bool m_CatchingUp = false;
  /// Whether the call being issued asks for a reply without a wait.
  bool m_AnswerAtOnce = false;
  /// Whether the records are listed instead of watched, since large ones change
  /// faster than they are read.
  bool m_ListsInstead = false;
  /// Whether all records were listed and changes are being watched.
  bool m_Watching = false;
  /// Revision up to which all changes were received.
  Revision m_KnownRevision = 0;
  StoreHistory m_History;
  /// When the present history was found, if it replaced another one.
  std::optional<TimePoint> m_ReplacedAt;
  /// Revision that was known when the last call, or the first page of a
  /// listing, was requested.
  Revision m_KnownAtCall = 0;
  /// Last change held; compared with the store's after a failed call.
  std::optional<StoreRecord> m_Evidence;
  Revision m_EvidenceAsOf = 0;
  /// The same when the pending comparison was requested.
  StoreRecord m_Compared;
  Revision m_ComparedAsOf = 0;
  /// Key that no complete listing lacks; empty for none.
  std::string m_RequiredKey;
  /// Whether a call has failed, or the last feed was lost, since the store was
  /// last known to continue the history.
  bool m_IsUnverified = false;
  /// Disproved revision that another node holds: a listing that is below it,
  /// too, is of another history.
  std::optional<Revision> m_CheckedClaim;
  /// Records of the pages received so far by an unfinished listing.
  std::vector<StoreRecord> m_ListedRecords;
  /// Key after which the next page begins.
  std::string m_NextPageAfter;
  /// Counter of the first page. Pages are no consistent snapshot, so the watch
  /// starts from there.
  StoreCounter m_FirstPageAsOf = 0;
  /// When the first page was requested, and when it arrived.
  TimePoint m_FirstPageCalledAt;
  TimePoint m_FirstPageAt;
  /// Whether the next page is read again, because it was older than the first.
  bool m_PageWasStale = false;
  /// Consecutive failed calls.
  unsigned m_Failures = 0;
  /// Watches for which the store had no history. A listing ends no such
  /// succession, since the next watch can be refused, too.
  Repetitions m_Compactions;
  /// Later eras in quick succession.
  unsigned m_Replacements = 0;
  /// Since when listings lack the required key.
  std::optional<TimePoint> m_PartialSince;
  /// Replies that did not continue the known history.
  Repetitions m_Dropped;
  bool m_Reachable = true;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_STORE_READER_H
