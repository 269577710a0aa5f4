/// \file
/// Reads the platform's configuration service within this node's share of its
/// budget.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_SOURCE_READER_H
#define DANDELIONFALL_CORE_DISTRIBUTION_SOURCE_READER_H

#include "core/distribution/blackboard.h"
#include "core/distribution/source_budget.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace dandelionfall::core {

/// Calls the source as one of the elected readers, in their place if they have
/// not called for some time, or because this node holds no version and no
/// reachable peer provides one.
class SourceReader : public Controller {
public:
  void run(Blackboard &Board) override;
  TimePoint wakeUp(const Blackboard &Board) const override;
  void onReply(Blackboard &Board, const SourceReply &Reply);

private:
  struct PendingCall {
    CallSource m_Call;
    TimePoint m_Deadline;
  };
  using NextCall = std::optional<CallSource> (SourceReader::*)(Blackboard &);

  void start(Blackboard &Board);
  void updateElection(Blackboard &Board);
  void updateRole(Blackboard &Board);
  void expireCalls(Blackboard &Board);
  void call(Blackboard &Board, CallSource Call);
  std::optional<CallSource> nextCall(Blackboard &Board);
  std::optional<CallSource> nextPart(Blackboard &Board);
  std::optional<CallSource> nextHostList(Blackboard &Board);
  std::optional<CallSource> nextManifest(Blackboard &Board);
  bool mayRead(const Blackboard &Board) const;
  bool isWaitingForPeers(const Blackboard &Board) const;
  bool hasPending(SourceRequestKind Kind) const;
  void updateWatching(Blackboard &Board);

  void onFailure(Blackboard &Board, const CallSource &Call);
  void onSuccess(Blackboard &Board);
  void onManifest(Blackboard &Board, const SourceReply &Reply);
  void onPart(Blackboard &Board, const CallSource &Call,
              const SourceReply &Reply);
  void onHosts(Blackboard &Board, const SourceReply &Reply);

  std::optional<SourceBudget> m_Budget;
  std::map<std::uint64_t, PendingCall> m_Pending;
  std::uint64_t m_LastCall = 0;
  HostListPtr m_ElectionList;
  std::size_t m_Rank = 0;
  std::size_t m_Zones = 1;
  /// End of the time for which this node reads in place of elected readers.
  TimePoint m_TakeoverUntil;
  bool m_SourceDown = false;
  unsigned m_Failures = 0;
  TimePoint m_RetryAt;
  TimePoint m_NextHostListRead;
  TimePoint m_NextManifestRead;
  /// Since when a peer has held a newer version; the greatest time if none has.
  TimePoint m_PeerNewerSince = TimePoint::max();
  bool m_HostListAttempted = false;
  /// The manifest has to be read again before more parts, because a part could
  /// not be read or did not match the manifest.
  bool m_MustRereadManifest = false;
  std::optional<Digest> m_LastHostListDigest;
  std::optional<Digest> m_LastBadManifestDigest;
  /// A call is due, but the budget has no token for it.
  bool m_AwaitsToken = false;
  TimePoint m_NextLook = TimePoint::max();
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_SOURCE_READER_H
