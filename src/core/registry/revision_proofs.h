/// \file
/// Proofs of the newest revision that a node has made or received.
#ifndef DANDELIONFALL_SRC_CORE_REGISTRY_REVISION_PROOFS_H
#define DANDELIONFALL_SRC_CORE_REGISTRY_REVISION_PROOFS_H

#include "dandelionfall/core/revision_proof.h"

#include <optional>
#include <vector>

namespace dandelionfall::core::registry {

/// Keeps the proofs that no other one replaces: one of a lower revision and a
/// later time counts for whoever holds either. Not thread-safe.
class RevisionProofs {
public:
  void add(const RevisionProof &Proof);
  /// \returns the latest time at which, or later, nothing beyond a revision had
  /// been acknowledged; nothing if that is not proved. A proof of another
  /// history of the store proves nothing.
  std::optional<TimePoint> provedAt(Revision Held) const;

private:
  /// Ascending by revision and by time.
  std::vector<RevisionProof> m_Proofs;
};

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_SRC_CORE_REGISTRY_REVISION_PROOFS_H
