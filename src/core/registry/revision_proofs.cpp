#include "core/registry/revision_proofs.h"

#include <algorithm>

namespace dandelionfall::core::registry {

namespace {

/// Proofs kept, for the revisions that a node has been told of and does not
/// hold yet.
constexpr std::size_t MaxProofs = 32;

} // namespace

void RevisionProofs::add(const RevisionProof &Proof) {
  const auto IsAsGood = [&Proof](const RevisionProof &Each) {
    return historyOf(Each.m_Revision) == historyOf(Proof.m_Revision) &&
           Each.m_Revision <= Proof.m_Revision && Each.m_AsOf >= Proof.m_AsOf;
  };
  if (std::any_of(m_Proofs.begin(), m_Proofs.end(), IsAsGood))
    return;
  std::erase_if(m_Proofs, [&Proof](const RevisionProof &Each) {
    return Each.m_Revision >= Proof.m_Revision && Each.m_AsOf <= Proof.m_AsOf &&
           historyOf(Each.m_Revision) == historyOf(Proof.m_Revision);
  });
  m_Proofs.insert(std::upper_bound(m_Proofs.begin(), m_Proofs.end(), Proof,
                                   [](const RevisionProof &Left,
                                      const RevisionProof &Right) {
                                     return Left.m_Revision < Right.m_Revision;
                                   }),
                  Proof);
  if (m_Proofs.size() > MaxProofs)
    m_Proofs.erase(m_Proofs.begin());
}

std::optional<TimePoint> RevisionProofs::provedAt(Revision Held) const {
  std::optional<TimePoint> Result;
  for (const RevisionProof &Each : m_Proofs) {
    if (Each.m_Revision <= Held &&
        historyOf(Each.m_Revision) == historyOf(Held))
      Result = std::max(Result, std::optional(Each.m_AsOf));
  }
  return Result;
}

} // namespace dandelionfall::core::registry
