/// \file
/// When a node asks a peer for records that the store has not brought.
#ifndef DANDELIONFALL_CORE_PEER_PULL_H
#define DANDELIONFALL_CORE_PEER_PULL_H

#include "dandelionfall/core/published.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dandelionfall::core {

/// Follows the newer revisions that are seen at peers. The store itself usually
/// brings them sooner; a node that is cut off from it asks the peer. One that
/// knows nothing yet, and that no peer has called, asks its seeds in turn.
class PeerPull {
public:
  /// \param Seeds link addresses of other nodes; some may be gone.
  explicit PeerPull(std::vector<std::string> Seeds = {})
      : m_Seeds(std::move(Seeds)) {}

  /// Begins, with nothing known.
  void start(TimePoint Now);
  /// Notes a newer revision seen at a peer.
  /// \param Seen the revision.
  /// \param Address the peer's link address.
  /// \param OwnRevision the node's own revision.
  void onPeerRevision(Revision Seen, const std::string &Address,
                      Revision OwnRevision, TimePoint Now);
  /// Ends the question to a peer that is under way.
  void onReply() { m_PullSentAt.reset(); }
  /// \param OwnRevision the node's own revision.
  /// \returns the address of the peer to ask now, if any.
  std::optional<std::string> takeDuePeer(Revision OwnRevision, TimePoint Now);
  /// \returns when `takeDuePeer` is next needed, if at all.
  std::optional<TimePoint> nextWakeUp() const;
  /// \returns whether the question under way has taken too long.
  bool isOverdue(TimePoint Now) const;

private:
  std::optional<std::string> takeDueSeed(Revision OwnRevision, TimePoint Now);

  std::vector<std::string> m_Seeds;
  std::size_t m_NextSeed = 0;
  /// When the next seed is to be asked; none once something is known.
  std::optional<TimePoint> m_NextSeedAt;
  Revision m_SeenRevision = 0;
  std::string m_PeerAddress;
  /// When the peer is to be asked.
  std::optional<TimePoint> m_PullAt;
  /// When the question under way was asked.
  std::optional<TimePoint> m_PullSentAt;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_PEER_PULL_H
