/// \file
/// Opens, checks and replaces the links to gates.
#ifndef DANDELIONFALL_CORE_INGRESS_GATE_LINKS_H
#define DANDELIONFALL_CORE_INGRESS_GATE_LINKS_H

#include "core/ingress/gate_peer.h"
#include "core/ingress/outbox.h"
#include "core/ingress/timer_queue.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dandelionfall::core::ingress {

/// Receives notifications about the links to a gate.
class GateLinksListener {
public:
  virtual ~GateLinksListener() = default;
  /// A link was welcomed by another incarnation of the gate than before.
  virtual void onGateRestarted(GatePeer &Peer, TimePoint Now) = 0;
  /// A link was welcomed.
  virtual void onGateReady(GatePeer &Peer, TimePoint Now) = 0;
  /// A link could not be opened.
  virtual void onGateUnreachable(GatePeer &Peer, TimePoint Now) = 0;
  /// Several attempts to open a link in a row were refused.
  virtual void onGateDead(GatePeer &Peer, TimePoint Now) = 0;
};

/// All links of an ingress. The number of a link is its epoch, and only
/// increases.
class GateLinks {
public:
  /// \param Options identity of the node; must outlive this object.
  /// \param Out receives the commands; must outlive this object.
  GateLinks(const IngressOptions &Options, Outbox &Out)
      : m_Options(Options), m_Out(Out) {}

  /// Sets the receiver of notifications. Required before any other call.
  void setListener(GateLinksListener &Listener) { m_Listener = &Listener; }
  /// Tells the gates with open requests when the process of this node ends.
  /// Gates that are linked later learn it from their pings.
  void announceEnd(TimePoint End, TimePoint Now);
  /// Sets the version that is reported to gates.
  void setVersion(Version Applied) { m_Version = Applied; }

  /// \returns the record of a gate address, created if necessary; it stays
  /// valid until `removeUnused`.
  GatePeer &peer(const std::string &Address);
  /// \returns the gate at the other end of a link in use, or null.
  GatePeer *findByLink(LinkId Link);
  /// \returns the links that can carry messages.
  std::vector<LinkId> readyLinks() const;
  /// \returns whether links are left for other uses than requests.
  bool hasSpareLinks() const {
    return m_Links.size() < MaxLinks - ReservedLinks;
  }
  /// Opens a link unless there is one, the gate is backed off, or the maximum
  /// number of links is reached.
  /// \returns whether a link is open or being opened.
  bool ensureOpen(GatePeer &Peer, TimePoint Now);
  /// Pings a link before it carries a request, if it was last confirmed too
  /// long ago.
  void checkBeforeUse(GatePeer &Peer, TimePoint Now);
  /// Records that the gate replied on a link to a message sent at \p SentAt.
  void confirmLink(GatePeer &Peer, LinkId Link, TimePoint SentAt);
  /// Delays the opening of a link to a gate, and prefers other gates, for a
  /// time that doubles with each call until `resetBackOff`. Does nothing before
  /// the previous backoff has ended, as several requests may fail for one
  /// cause.
  void backOff(GatePeer &Peer, TimePoint Now);
  /// Lets the next backoff be the shortest again, since the gate's target
  /// responded.
  static void resetBackOff(GatePeer &Peer);
  /// Queues the id of an ended request for a `Settled` message.
  void settle(GatePeer &Peer, const RequestId &Id, TimePoint Now);
  /// Sends the queued ids in a `Settled` message. Without a link they are
  /// dropped.
  void flushSettled(GatePeer &Peer);
  /// Updates the time at which the links of a gate next need attention.
  void rescheduleTimer(GatePeer &Peer, TimePoint Now);
  /// Clears the keep-open mark of all gates, and their mark as candidates.
  void clearKeepOpen();
  /// Removes the records of gates without links or requests.
  void removeUnused(TimePoint Now);

  /// Inputs from the driver.
  void onLinkOpened(LinkId Link, TimePoint Now);
  void onLinkClosed(LinkId Link, TimePoint Now);
  void onWelcome(LinkId Link, const TrafficWelcome &Message, TimePoint Now);
  void onPong(LinkId Link, const TrafficPong &Message, TimePoint Now);
  void onTick(TimePoint Now);
  std::optional<TimePoint> nextWakeUp() const { return m_Timers.next(); }

private:
  void open(GatePeer &Peer, TimePoint Now);
  void openFailed(GatePeer &Peer, bool Refused, TimePoint Now);
  void replaceSilentLink(GatePeer &Peer, TimePoint Now);
  void closeLink(LinkId Link, const GatePeer &Peer, const char *Reason);
  void closeReplaced(GatePeer &Peer);
  void sendPing(GatePeer &Peer, TimePoint Now);
  void check(GatePeer &Peer, TimePoint Now);
  void checkReady(GatePeer &Peer, TimePoint Now);
  bool isNeeded(const GatePeer &Peer) const;
  std::optional<TimePoint> pingDue(const GatePeer &Peer) const;
  std::optional<TimePoint> idleDue(const GatePeer &Peer) const;
  std::optional<TimePoint> nextDue(const GatePeer &Peer) const;

  const IngressOptions &m_Options;
  Outbox &m_Out;
  GateLinksListener *m_Listener = nullptr;
  Version m_Version = 0;
  std::optional<TimePoint> m_End;
  LinkId m_LastLink = 0;
  std::map<std::string, std::unique_ptr<GatePeer>> m_Peers;
  std::map<LinkId, GatePeer *> m_Links;
  TimerQueue<std::string> m_Timers;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_GATE_LINKS_H
