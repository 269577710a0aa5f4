/// \file
/// Where a node gets a store's records from: the store itself, or a node of its
/// availability zone that reads for others.
#ifndef DANDELIONFALL_CORE_FEED_H
#define DANDELIONFALL_CORE_FEED_H

#include "dandelionfall/core/event.h"
#include "dandelionfall/core/time.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelionfall::core {

/// Asks a peer to send its records from now on.
struct FollowPeer {
  std::string m_Address;
  friend bool operator==(const FollowPeer &, const FollowPeer &) = default;
};

/// Ends the feed of the peer that is followed.
struct LeavePeer {
  friend bool operator==(const LeavePeer &, const LeavePeer &) = default;
};

/// Reads the store from now on, or no longer.
struct ReadStore {
  bool m_Read = true;
  friend bool operator==(const ReadStore &, const ReadStore &) = default;
};

/// What a feed asks of its driver, in order.
using FeedCommand = std::variant<FollowPeer, LeavePeer, ReadStore, Event>;

/// Decides who reads the store. In each availability zone the first host by
/// rank reads, and the others follow it. A follower whose feed ends, or is no
/// longer fresh, reads the store itself at once; so a reader that dies, or
/// loses the store, delays nobody by more than the freshness that is asked for.
class Feed {
public:
  /// \param OwnAddress the node's own link address.
  explicit Feed(std::string OwnAddress) : m_OwnAddress(std::move(OwnAddress)) {}

  /// Takes the link addresses of the nodes of the own availability zone.
  void onHosts(const std::vector<std::string> &Addresses, TimePoint Now);
  /// Takes a message of the peer that is followed.
  /// \param Age time since the store answered the one who read it.
  void onPush(Duration Age, TimePoint Now);
  /// Notes that the link to the peer that is followed is gone.
  void onPeerLost(TimePoint Now);
  /// Does what is due.
  void onTick(TimePoint Now);
  /// \returns when `onTick` is next needed, if at all.
  std::optional<TimePoint> nextWakeUp() const;
  /// \returns the time since the store answered, for followers of this node.
  /// \param StoreAnswered when the store last answered this node itself.
  Duration age(std::optional<TimePoint> StoreAnswered, TimePoint Now) const;
  /// \returns whether the node reads the store.
  bool reads() const { return m_Reads; }
  /// Takes the commands collected since the last call.
  std::vector<FeedCommand> takeCommands();

private:
  void choose(TimePoint Now);
  void fallBack(const char *Cause, TimePoint Now);
  void setReads(bool Reads);

  std::string m_OwnAddress;
  /// Address of the first node by rank; empty before any is known.
  std::string m_First;
  bool m_Reads = true;
  /// The peer that is followed; empty if none is.
  std::string m_Peer;
  /// When what is known of the store was current, by the peer's word.
  TimePoint m_FreshAt;
  /// Not before this time is a peer followed again.
  TimePoint m_ReadUntil;
  std::vector<FeedCommand> m_Commands;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_FEED_H
