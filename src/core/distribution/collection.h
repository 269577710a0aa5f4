/// \file
/// Collects the parts of a version, which are read from the source by one node,
/// or by many nodes that forward the parts to each other.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_COLLECTION_H
#define DANDELIONFALL_CORE_DISTRIBUTION_COLLECTION_H

#include "core/distribution/blackboard.h"

#include <string>

namespace dandelionfall::core {

/// Starts an assembly for the version of a manifest, if the version is newer
/// than the held one and the current assembly is not for it or a newer one.
/// \param Board the blackboard.
/// \param Text the manifest as published.
/// \param From the link that it came from, 0 for the source.
/// \returns whether the version of the manifest is newer than the held one and
/// not refused.
/// \throws Error of kind BadConfiguration if the manifest is invalid.
bool addManifest(Blackboard &Board, const std::string &Text, LinkId From);

/// Adds a part to the current assembly, if there is one.
/// \param Board the blackboard.
/// \param Value the part.
/// \param From the link that it came from, 0 for the source.
/// \returns false if the assembly's manifest does not list the part with this
/// digest, which happens when an update is published while parts are read.
bool addPart(Blackboard &Board, const PartPtr &Value, LinkId From);

/// Shares the current assembly, so that all reachable nodes read some of its
/// parts.
/// \pre There is an assembly.
void shareAssembly(Blackboard &Board);

/// Forwards the parts of a shared assembly to the peers, and turns a complete
/// assembly into the held version.
class Collection : public Controller {
public:
  /// Time over which parts are batched before they are forwarded.
  static constexpr Duration ForwardInterval = std::chrono::milliseconds(50);

  void run(Blackboard &Board) override;
  TimePoint wakeUp(const Blackboard &Board) const override;
  /// Handles parts that a peer collected of a shared assembly.
  void onSharedParts(Blackboard &Board, LinkId From,
                     const SnapshotChunk &Chunk);

private:
  void forwardParts(Blackboard &Board);
  void complete(Blackboard &Board);

  TimePoint m_NextForward;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_COLLECTION_H
