/// \file
/// Order in which a node chooses the nodes whose revisions it follows.
#ifndef DANDELIONFALL_SRC_CORE_REGISTRY_FEED_CANDIDATES_H
#define DANDELIONFALL_SRC_CORE_REGISTRY_FEED_CANDIDATES_H

#include "dandelionfall/core/registry.h"

#include <string>
#include <vector>

namespace dandelionfall::core::registry {

/// Ranks the nodes of each availability zone by rendezvous hashing, so that all
/// followers prefer the same few of them.
class FeedCandidates {
public:
  /// \param OwnAddress link address of this node.
  /// \param OwnZone availability zone of this node.
  FeedCandidates(std::string OwnAddress, std::string OwnZone)
      : m_OwnAddress(std::move(OwnAddress)), m_OwnZone(std::move(OwnZone)) {}

  /// Replaces the known nodes.
  /// \returns whether they differ from the previous ones.
  bool replace(std::vector<NodeAddress> Nodes);
  /// \returns the nodes of the own availability zone that rank before this one,
  /// most preferred first. No node follows one that ranks after it, so that two
  /// nodes of a zone never follow each other.
  const std::vector<NodeAddress> &inZone() const { return m_InZone; }
  /// \returns the nodes of other availability zones, most preferred first. Each
  /// zone prefers the next one in the order of names.
  const std::vector<NodeAddress> &inOtherZones() const {
    return m_InOtherZones;
  }
  /// \returns whether the node is known.
  bool contains(const NodeAddress &Node) const;

private:
  void rank();

  std::string m_OwnAddress;
  std::string m_OwnZone;
  /// Sorted.
  std::vector<NodeAddress> m_Nodes;
  std::vector<NodeAddress> m_InZone;
  std::vector<NodeAddress> m_InOtherZones;
};

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_SRC_CORE_REGISTRY_FEED_CANDIDATES_H
