/// \file
/// What an ingress holds of one gate.
#ifndef DANDELIONFALL_CORE_INGRESS_GATE_PEER_H
#define DANDELIONFALL_CORE_INGRESS_GATE_PEER_H

#include "core/ingress/load_view.h"
#include "dandelionfall/core/identity.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandelionfall::core::ingress {

/// Number of a try, unique within one ingress; the sequence number of its
/// `RequestId`.
using AttemptNumber = std::uint64_t;

/// State of the newest link to a gate.
enum class LinkState : std::uint8_t {
  Idle,            ///< There is none.
  Opening,         ///< Asked for.
  AwaitingWelcome, ///< Open; the hello is not answered yet.
  Ready,           ///< Welcomed.
};

/// A gate address with its links and requests.
struct GatePeer {
  std::string m_Address;

  LinkState m_State = LinkState::Idle;
  LinkId m_Link = 0;
  /// Silent links that a newer one replaces; late answers on them still count.
  std::vector<LinkId> m_ReplacedLinks;
  /// The gate's incarnation, once welcomed.
  std::optional<Incarnation> m_Gate;

  /// When an opening link has taken too long.
  TimePoint m_OpenDeadline;
  /// Failed openings in a row, and those of them that were refused.
  unsigned m_FailedOpens = 0;
  unsigned m_RefusedOpens = 0;
  /// Not before this time is a link opened again or work given.
  TimePoint m_BackoffUntil;
  Duration m_Backoff{0};

  /// Latest time at which something was sent that the gate has replied to on
  /// the newest link.
  TimePoint m_ConfirmedAt;
  TimePoint m_PingSentAt;
  std::uint64_t m_PingSequence = 0;
  std::optional<TimePoint> m_PongDeadline;
  TimePoint m_LastUsed;
  /// Whether a link is kept open without requests.
  bool m_KeepOpen = false;
  /// Whether a service in use lists it as a candidate, and so points at it.
  bool m_Listed = false;

  /// The gate takes no new work until it is started anew.
  bool m_Draining = false;
  /// Version in which the gate says that its availability zone is out; 0 if it
  /// does not say so.
  Version m_ZoneOutVersion = 0;

  /// Tries that wait for the link, in order.
  std::set<AttemptNumber> m_Waiting;
  /// Tries that were sent, have no end yet, and whose call is open.
  std::set<AttemptNumber> m_Sent;
  /// The same for calls that are over.
  std::set<AttemptNumber> m_Orphans;
  /// Ended requests that the gate need not remember.
  std::vector<RequestId> m_Settled;
  std::optional<TimePoint> m_SettleDue;

  LoadView m_Load;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_GATE_PEER_H
