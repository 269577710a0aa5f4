/// \file
/// State that an ingress keeps for one gate.
#ifndef DANDELIONFALL_CORE_INGRESS_GATE_PEER_H
#define DANDELIONFALL_CORE_INGRESS_GATE_PEER_H

#include "core/ingress/limits.h"
#include "core/ingress/load_view.h"
#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/identity.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandelionfall::core::ingress {

/// Number of an attempt, unique within one ingress; the sequence number of its
/// `RequestId`.
using AttemptNumber = std::uint64_t;

/// State of the newest link to a gate.
enum class LinkState : std::uint8_t {
  Idle,            ///< No link.
  Opening,         ///< Requested from the driver.
  AwaitingWelcome, ///< Open; the hello has not been answered.
  Ready,           ///< Welcomed.
};

/// A gate address with its links and requests.
struct GatePeer {
  std::string m_Address;

  LinkState m_State = LinkState::Idle;
  LinkId m_Link = 0;
  /// Silent links that a newer one replaces; late answers on them still count.
  std::vector<LinkId> m_ReplacedLinks;
  /// The gate's incarnation, once it has welcomed a link.
  std::optional<Incarnation> m_Gate;

  /// Deadline of the current step: opening the link, then its welcome.
  TimePoint m_OpenDeadline;
  /// Failed attempts to open a link in a row; and of these, the latest in a row
  /// that were refused.
  unsigned m_FailedOpens = 0;
  unsigned m_RefusedOpens = 0;
  /// Before this time no link is opened, and other gates are preferred.
  TimePoint m_BackoffUntil;
  Duration m_Backoff{0};

  /// Latest sending time of a message that the gate has replied to on the
  /// newest link.
  TimePoint m_ConfirmedAt;
  TimePoint m_PingSentAt;
  std::uint64_t m_PingSequence = 0;
  std::optional<TimePoint> m_PongDeadline;
  TimePoint m_LastUsed;
  /// Whether the link is kept open without requests.
  bool m_KeepOpen = false;
  /// Whether a service in use has this gate as a candidate, and so points to
  /// this record.
  bool m_Listed = false;

  /// The gate accepts no new requests until it restarts.
  bool m_Draining = false;
  /// Version in which, according to the gate, its availability zone is out; 0
  /// if it has not reported this.
  Version m_ZoneOutVersion = 0;

  /// Attempts that wait for the link, in order.
  std::set<AttemptNumber> m_Waiting;
  /// Attempts that were sent and have not ended, and whose call is open.
  std::set<AttemptNumber> m_Sent;
  /// The same for calls that have ended.
  std::set<AttemptNumber> m_Orphans;
  /// Ended requests that the gate can forget.
  std::vector<RequestId> m_Settled;
  std::optional<TimePoint> m_SettleDue;

  /// The target that gave the latest answer, and the rate stated there. They
  /// outlive the gate's process, which forgets them when it restarts.
  TargetInstance m_StatedBy;
  std::optional<double> m_StatedRate;
  /// When a request next finds out whether the target still states a rate, and
  /// the time until the one after that.
  TimePoint m_NextRateCheck;
  Duration m_RateCheckInterval = MinRateCheckInterval;

  LoadView m_Load;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_GATE_PEER_H
