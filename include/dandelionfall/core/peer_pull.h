/// \file
/// When a node asks a peer for records that the store has not brought.
#ifndef DANDELIONFALL_CORE_PEER_PULL_H
#define DANDELIONFALL_CORE_PEER_PULL_H

#include "dandelionfall/core/published.h"

#include <optional>
#include <string>

namespace dandelionfall::core {

/// Follows the newer revisions that are seen at peers. The store itself usually
/// brings them sooner; a node that is cut off from it asks the peer.
class PeerPull {
public:
  /// Notes a newer revision seen at a peer.
  /// \param Seen the revision.
  /// \param Address the peer's link address.
  /// \param Known the node's own revision.
  void onSighting(Revision Seen, const std::string &Address, Revision Known,
                  TimePoint Now);
  /// Ends the question to a peer that is under way.
  void onAnswer() { m_AskedAt.reset(); }
  /// \param Known the node's own revision.
  /// \returns the address of the peer to ask now, if any.
  std::optional<std::string> takeDue(Revision Known, TimePoint Now);
  /// \returns when `takeDue` is next needed, if at all.
  std::optional<TimePoint> nextWakeUp() const { return m_AskAt; }
  /// \returns whether the question under way has taken too long.
  bool isOverdue(TimePoint Now) const;

private:
  Revision m_Seen = 0;
  std::string m_Address;
  /// When the peer is to be asked.
  std::optional<TimePoint> m_AskAt;
  /// When the question under way was asked.
  std::optional<TimePoint> m_AskedAt;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_PEER_PULL_H
