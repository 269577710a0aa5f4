/// \file
/// The links to a gate and the epoch fence between them.
///
/// An ingress raises its epoch with every new link. Only its link of the
/// highest epoch is current; nothing that arrives on another one may run.
#ifndef DANDELIONFALL_CORE_GATE_LINK_TABLE_H
#define DANDELIONFALL_CORE_GATE_LINK_TABLE_H

#include "dandelionfall/core/traffic_message.h"

#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace dandelionfall::core::gate {

/// A link after its hello.
struct LinkRecord {
  Incarnation m_Ingress;
  Epoch m_Epoch = 0;
  friend bool operator==(const LinkRecord &, const LinkRecord &) = default;
};

/// What a hello led to.
struct HelloResult {
  /// False if the link must be closed: stale epoch, second hello, or too many
  /// links.
  bool m_Accepted = false;
  /// True if the ingress had an older epoch, which is fenced off now.
  bool m_EpochRaised = false;
  /// Link of an older epoch that the new one replaces.
  std::optional<LinkId> m_Replaced;
  /// Earlier start of the same host, which is gone now.
  std::optional<Incarnation> m_Departed;
  /// Ingress whose epoch is no longer remembered, to keep the table bounded.
  std::optional<Incarnation> m_Evicted;
};

/// Links and highest epochs by ingress.
class LinkTable {
public:
  /// Takes the hello of a link.
  HelloResult open(LinkId Link, const TrafficHello &Message, TimePoint Now);
  /// Drops a link.
  void close(LinkId Link);
  /// \returns the link's record, or null before its hello.
  const LinkRecord *find(LinkId Link) const;
  /// \returns whether a link is the current one of its ingress.
  bool isCurrent(LinkId Link) const;
  /// \returns the current link of an ingress, if it has one.
  std::optional<LinkId> currentLink(const Incarnation &Ingress) const;
  /// \returns whether there is any link.
  bool hasLinks() const { return !m_Links.empty(); }
  /// \returns all current links in ascending order.
  std::vector<LinkId> currentLinks() const;
  /// Notes that an ingress gave a sign of life, or that it may wait for an
  /// answer until then.
  void extendActiveUntil(const Incarnation &Ingress, TimePoint Until);
  /// \returns until when an ingress was last known to be there.
  std::optional<TimePoint> activeUntil(const Incarnation &Ingress) const;

private:
  struct IngressRecord {
    std::string m_Host;
    Epoch m_Epoch = 0;
    std::optional<LinkId> m_Link;
    /// Link replaced last; its late messages are still recognized, though
    /// nobody may report its end.
    std::optional<LinkId> m_ReplacedLink;
    TimePoint m_ActiveUntil;
    /// Place among the ingresses without a current link.
    std::optional<std::list<Incarnation>::iterator> m_DisconnectedPosition;
  };

  void makeCurrent(IngressRecord &Ingress, LinkId Link);
  std::optional<Incarnation> evictOldest();
  std::optional<Incarnation> replaceHost(const TrafficHello &Message);

  std::unordered_map<LinkId, LinkRecord> m_Links;
  /// How many of them are current.
  std::size_t m_CurrentCount = 0;
  std::unordered_map<Incarnation, IngressRecord> m_Ingresses;
  std::unordered_map<std::string, Incarnation> m_Hosts;
  /// Ingresses without a current link; the first one lost its link first.
  std::list<Incarnation> m_Disconnected;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_LINK_TABLE_H
