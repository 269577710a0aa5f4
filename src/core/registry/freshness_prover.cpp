#include "core/registry/freshness_prover.h"

#include "core/registry/limits.h"

#include <utility>

namespace dandelionfall::core::registry {

void FreshnessProver::add(const std::optional<RevisionProof> &Proof) {
  if (Proof)
    m_Proofs.add(*Proof);
}

std::optional<FreshnessProof> FreshnessProver::takeProof(TimePoint Now) {
  const Revision Held = m_Registry.revision();
  if (!m_Enabled || Held == 0)
    return std::nullopt;
  const std::optional<HistoryNumber> Before =
      std::exchange(m_History, historyOf(Held));
  if (Before && Before != m_History)
    m_CountsFrom = Now + RewriteTime;
  if (m_Published == 0 || m_Registry.hasUndecoded())
    return std::nullopt;
  const std::optional<TimePoint> AsOf = m_Proofs.provedAt(Held);
  if (!AsOf || (m_CountsFrom && *AsOf < *m_CountsFrom) ||
      (m_Last && *AsOf <= m_Last->m_AsOf))
    return std::nullopt;
  m_Last = FreshnessProof{m_Published, *AsOf};
  return m_Last;
}

} // namespace dandelionfall::core::registry
