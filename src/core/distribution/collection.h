/// \file
/// Collects the parts of a version, read from the source by one node or by
/// many that share what they read.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_COLLECTION_H
#define DANDELIONFALL_CORE_DISTRIBUTION_COLLECTION_H

#include "core/distribution/blackboard.h"

#include <string>

namespace dandelionfall::core {

/// Takes in a manifest that may lead to a newer version.
/// \param Board the blackboard.
/// \param Text the manifest as published.
/// \param From the link it came from, 0 for the source.
/// \returns whether the manifest names a version that is newer than what this
/// node holds and not refused.
/// \throws Error of kind BadConfiguration if the manifest has a fault.
bool addManifest(Blackboard &Board, const std::string &Text, LinkId From);

/// Takes in a part.
/// \param Board the blackboard.
/// \param Value the part.
/// \param From the link it came from, 0 for the source.
/// \returns false if the manifest names another digest for it, as happens when
/// an update crosses the reading.
bool addPart(Blackboard &Board, const PartPtr &Value, LinkId From);

/// Lets all nodes that this one reaches read parts of the assembly. There must
/// be one.
void shareAssembly(Blackboard &Board);

/// Passes the parts of a shared assembly on to the peers, and turns a complete
/// assembly into a held version.
class Collection : public Controller {
public:
  /// Time over which parts are gathered into one message.
  static constexpr Duration ForwardInterval = std::chrono::milliseconds(50);

  void run(Blackboard &Board) override;
  TimePoint wakeUp(const Blackboard &Board) const override;
  /// Takes a peer's share of a version that is being collected.
  void onSharedParts(Blackboard &Board, LinkId From,
                     const SnapshotChunk &Chunk);

private:
  void forwardParts(Blackboard &Board);
  void complete(Blackboard &Board);

  TimePoint m_NextForward;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_COLLECTION_H
