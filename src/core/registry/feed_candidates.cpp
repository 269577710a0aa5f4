#include "core/registry/feed_candidates.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>

namespace dandelionfall::core::registry {

namespace {

using Rank = std::tuple<std::uint64_t, std::string_view>;

Rank rankOf(const NodeAddress &Node) {
  const std::uint64_t ZoneSeed =
      XXH3_64bits(Node.m_Zone.data(), Node.m_Zone.size());
  return {XXH3_64bits_withSeed(Node.m_Address.data(), Node.m_Address.size(),
                               ZoneSeed),
          Node.m_Address};
}

} // namespace

bool FeedCandidates::replace(std::vector<NodeAddress> Nodes) {
  std::sort(Nodes.begin(), Nodes.end());
  if (Nodes == m_Nodes)
    return false;
  m_Nodes = std::move(Nodes);
  rank();
  return true;
}

bool FeedCandidates::contains(const NodeAddress &Node) const {
  return std::binary_search(m_Nodes.begin(), m_Nodes.end(), Node);
}

void FeedCandidates::rank() {
  m_InZone.clear();
  m_InOtherZones.clear();
  const Rank Own = rankOf({m_OwnAddress, m_OwnZone});
  std::map<std::string_view, std::vector<std::pair<Rank, const NodeAddress *>>>
      ByZone;
  for (const NodeAddress &Node : m_Nodes) {
    if (Node.m_Address == m_OwnAddress)
      continue;
    const Rank NodeRank = rankOf(Node);
    if (Node.m_Zone != m_OwnZone || NodeRank < Own)
      ByZone[Node.m_Zone].emplace_back(NodeRank, &Node);
  }
  for (auto &[Zone, Ranked] : ByZone)
    std::sort(Ranked.begin(), Ranked.end());
  for (const auto &[NodeRank, Node] : ByZone[m_OwnZone])
    m_InZone.push_back(*Node);
  const auto Append = [this](const auto &Entry) {
    for (const auto &[NodeRank, Node] : Entry.second)
      m_InOtherZones.push_back(*Node);
  };
  const auto OwnPosition = ByZone.find(m_OwnZone);
  std::for_each(std::next(OwnPosition), ByZone.end(), Append);
  std::for_each(ByZone.begin(), OwnPosition, Append);
}

} // namespace dandelionfall::core::registry
