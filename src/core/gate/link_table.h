/// \file
/// The links to a gate and their fencing by epoch.
///
/// An ingress raises its epoch with every new link. Only the link of its
/// highest epoch is current; requests that arrive on any other link must not
/// run.
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

/// Result of a hello.
struct HelloResult {
  /// False if the link must be closed: stale epoch, second hello, or too many
  /// links.
  bool m_Accepted = false;
  /// True if the ingress had an older epoch, which is now fenced off.
  bool m_EpochRaised = false;
  /// Link of an older epoch that the new one replaces.
  std::optional<LinkId> m_Replaced;
  /// Previous incarnation of the same host, which has departed.
  std::optional<Incarnation> m_Departed;
  /// Ingress that was evicted to bound the table; its epoch is no longer
  /// remembered.
  std::optional<Incarnation> m_Evicted;
};

/// Links and the highest epoch of each ingress.
class LinkTable {
public:
  /// Handles the hello of a link.
  HelloResult open(LinkId Link, const TrafficHello &Message, TimePoint Now);
  /// Removes a link.
  void close(LinkId Link);
  /// \returns the record of a link, or null before its hello.
  const LinkRecord *find(LinkId Link) const;
  /// \returns whether a link is the current link of its ingress.
  bool isCurrent(LinkId Link) const;
  /// \returns the current link of an ingress, if it has one.
  std::optional<LinkId> currentLink(const Incarnation &Ingress) const;
  /// \returns whether there is any link.
  bool hasLinks() const { return !m_Links.empty(); }
  /// \returns all current links in ascending order.
  std::vector<LinkId> currentLinks() const;
  /// Records that an ingress was seen at a time, or that it may wait for a
  /// response until then.
  void extendActiveUntil(const Incarnation &Ingress, TimePoint Until);
  /// \returns the latest time recorded by `open` or `extendActiveUntil`, if the
  /// ingress is known.
  std::optional<TimePoint> activeUntil(const Incarnation &Ingress) const;

private:
  struct IngressRecord {
    std::string m_Host;
    Epoch m_Epoch = 0;
    std::optional<LinkId> m_Link;
    /// Most recently replaced link, stored so that its late messages are
    /// recognized; its closing may never be reported.
    std::optional<LinkId> m_ReplacedLink;
    TimePoint m_ActiveUntil;
    /// Position in the list of ingresses without a current link.
    std::optional<std::list<Incarnation>::iterator> m_DisconnectedPosition;
  };

  void makeCurrent(IngressRecord &Ingress, LinkId Link);
  std::optional<Incarnation> evictOldest();
  std::optional<Incarnation> replaceHost(const TrafficHello &Message);

  std::unordered_map<LinkId, LinkRecord> m_Links;
  /// Number of current links.
  std::size_t m_CurrentCount = 0;
  std::unordered_map<Incarnation, IngressRecord> m_Ingresses;
  std::unordered_map<std::string, Incarnation> m_Hosts;
  /// Ingresses without a current link, in the order in which they lost it.
  std::list<Incarnation> m_Disconnected;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_LINK_TABLE_H
