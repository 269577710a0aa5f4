/// \file
/// Asks other nodes what they have in force, before a node serves callers.
#ifndef DANDELIONFALL_SRC_CORE_REGISTRY_START_INQUIRY_H
#define DANDELIONFALL_SRC_CORE_REGISTRY_START_INQUIRY_H

#include "core/registry/revision_feed.h"
#include "dandelionfall/core/registry.h"

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dandelionfall::core::registry {

/// Asks some other nodes for their records when a node has read its first
/// configuration. A store that was restored from an older copy does not have
/// the configuration that these nodes have in force. Not thread-safe.
class StartInquiry {
public:
  /// \param OwnAddress link address of this node.
  /// \param Seed seed of the choice of nodes.
  StartInquiry(std::string OwnAddress, std::uint64_t Seed)
      : m_OwnAddress(std::move(OwnAddress)), m_Random(Seed) {}

  /// Asks some of the nodes; later calls have no effect.
  void start(const std::vector<NodeAddress> &Nodes, TimePoint Now);
  /// \returns whether a link was opened for this inquiry and awaits a reply.
  bool isAsked(LinkId Link) const { return m_Asked.contains(Link); }
  /// Handles the records of an asked node; other links are ignored.
  void onReply(LinkId Link);
  /// Handles a link that failed; another node is asked instead.
  void onLinkClosed(LinkId Link);
  /// Closes the links to nodes that have not replied when the inquiry ends.
  void onTick(TimePoint Now);
  /// \returns whether the asked nodes have replied, or are not waited for any
  /// longer.
  bool isOver(TimePoint Now) const;
  /// \returns when the inquiry ends at the latest; empty if it is over.
  std::optional<TimePoint> nextWakeUp() const;
  /// \returns the commands collected since the last call.
  std::vector<FeedCommand> takeCommands();

private:
  void askNext();

  std::string m_OwnAddress;
  std::mt19937_64 m_Random;
  /// Nodes that were not asked yet.
  std::vector<std::string> m_Candidates;
  std::set<LinkId> m_Asked;
  LinkId m_LastLink = 0;
  /// Set when the inquiry starts.
  std::optional<TimePoint> m_EndsAt;
  std::vector<FeedCommand> m_Commands;
};

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_SRC_CORE_REGISTRY_START_INQUIRY_H
