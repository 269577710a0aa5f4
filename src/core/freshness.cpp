#include "dandelionfall/core/freshness.h"

#include <algorithm>

namespace dandelionfall::core {

void Freshness::add(const FreshnessProof &Proof) {
  if (Proof.m_Version > m_Applied)
    m_Pending = Proof;
  else
    confirm(Proof);
}

// An older version that was the newest at a later time than another one can't
// be, so of two proofs the later time counts.
void Freshness::confirm(const FreshnessProof &Proof) {
  m_ConfirmedAt = std::max(m_ConfirmedAt.value_or(Proof.m_AsOf), Proof.m_AsOf);
}

void Freshness::setApplied(Version Applied) {
  m_Applied = std::max(m_Applied, Applied);
  if (!m_Pending || m_Pending->m_Version > m_Applied)
    return;
  confirm(*m_Pending);
  m_Pending.reset();
}

std::optional<Duration> Freshness::age(TimePoint Now) const {
  if (!m_ConfirmedAt)
    return std::nullopt;
  return Now - *m_ConfirmedAt;
}

} // namespace dandelionfall::core
