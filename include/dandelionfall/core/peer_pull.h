/// \file
/// Decides when a node requests records from a peer instead of the store.
#ifndef DANDELIONFALL_CORE_PEER_PULL_H
#define DANDELIONFALL_CORE_PEER_PULL_H

#include "dandelionfall/core/missing_revisions.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dandelionfall::core {

/// Tracks newer revisions seen at peers. The store itself usually delivers them
/// sooner; a node that is cut off from the store pulls them from the peer. A
/// node that holds no records yet, and that no peer has contacted, pulls from
/// its seeds in turn.
class PeerPull {
public:
  /// \param Seeds link addresses of other nodes; some may no longer exist.
  explicit PeerPull(std::vector<std::string> Seeds = {})
      : m_Seeds(std::move(Seeds)) {}

  /// Handles the start of the node, which holds no records yet.
  void start(TimePoint Now);
  /// Schedules a pull if a peer holds a newer revision.
  /// \param Seen the peer's revision.
  /// \param Address the peer's link address.
  /// \param OwnRevision the node's own revision.
  void onPeerRevision(Revision Seen, const std::string &Address,
                      Revision OwnRevision, TimePoint Now);
  /// Sets whether the store answers this node's calls; if it does, a pull is
  /// scheduled later.
  void setStoreAnswers(bool Answers);
  /// Does not count a time for which this node was occupied or stood still as
  /// time in which a revision could have arrived.
  void onDelay(Duration Delay) { m_Missing.postpone(Delay); }
  /// Ends the pending pull.
  void onReply() {
    m_PullSentAt.reset();
    m_PullNotBefore.reset();
  }
  /// \returns the newest revision seen that is missing; 0 if there is none.
  Revision newest() const { return m_Missing.newest(); }
  /// \param OwnRevision the node's own revision.
  /// \returns the address of the peer to pull from now, if any.
  std::optional<std::string> takeDuePeer(Revision OwnRevision, TimePoint Now);
  /// \returns when `takeDuePeer` must be called next, if at all.
  std::optional<TimePoint> nextWakeUp() const;

private:
  std::optional<TimePoint> pullAt() const;
  std::optional<std::string> takeDueSeed(Revision OwnRevision, TimePoint Now);

  std::vector<std::string> m_Seeds;
  std::size_t m_NextSeed = 0;
  /// When to pull from the next seed; empty once records are held.
  std::optional<TimePoint> m_NextSeedAt;
  MissingRevisions m_Missing;
  /// Link address of the peer at which the newest revision was seen.
  std::string m_PeerAddress;
  bool m_StoreAnswers = false;
  /// When the pending pull was sent; empty if none is pending.
  std::optional<TimePoint> m_PullSentAt;
  /// When a pull that waits for the pending one is sent at the latest.
  std::optional<TimePoint> m_PullNotBefore;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_PEER_PULL_H
