/// \file
/// Proves that the configuration in force is the newest one.
#ifndef DANDELIONFALL_SRC_CORE_REGISTRY_FRESHNESS_PROVER_H
#define DANDELIONFALL_SRC_CORE_REGISTRY_FRESHNESS_PROVER_H

#include "core/registry/revision_proofs.h"
#include "dandelionfall/core/freshness.h"
#include "dandelionfall/core/registry.h"

#include <optional>

namespace dandelionfall::core::registry {

/// Turns proofs of the newest revision of a store into proofs for the
/// configuration derived from it. A proof counts once everything up to its
/// revision is held, decoded and published. After the store has begun another
/// history, only what is proved once lost configurations have been written
/// again counts. Not thread-safe.
class FreshnessProver {
public:
  /// \param Held the records held; must outlive this object.
  /// \param Enabled whether `takeProof` returns proofs.
  FreshnessProver(const Registry &Held, bool Enabled)
      : m_Registry(Held), m_Enabled(Enabled) {}

  /// Adds a proof, if there is one, made or received by this node.
  void add(const std::optional<RevisionProof> &Proof);
  /// Handles the publication of a configuration to the traffic thread.
  /// \param Stamp version of its stamp.
  void onPublished(Version Stamp) { m_Published = Stamp; }
  /// \returns the latest time at which, or later, nothing beyond a revision had
  /// been acknowledged; nothing if that is not proved.
  std::optional<TimePoint> provedAt(Revision Newest) const {
    return m_Proofs.provedAt(Newest);
  }
  /// \returns a proof for the published configuration that is later than the
  /// last one, if there is one. Must be called after each change of the
  /// records.
  std::optional<FreshnessProof> takeProof(TimePoint Now);
  /// \returns the last proof taken.
  const std::optional<FreshnessProof> &last() const { return m_Last; }

private:
  const Registry &m_Registry;
  bool m_Enabled;
  RevisionProofs m_Proofs;
  /// Version of the stamp of the published configuration; 0 if there is none.
  Version m_Published = 0;
  std::optional<FreshnessProof> m_Last;
  /// History of the records held; empty before the first.
  std::optional<HistoryNumber> m_History;
  /// Earlier proofs don't count; set when another history begins.
  std::optional<TimePoint> m_CountsFrom;
};

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_SRC_CORE_REGISTRY_FRESHNESS_PROVER_H
