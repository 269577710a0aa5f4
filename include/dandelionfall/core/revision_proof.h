/// \file
/// Proof that a revision of a shared store was the newest one.
#ifndef DANDELIONFALL_CORE_REVISION_PROOF_H
#define DANDELIONFALL_CORE_REVISION_PROOF_H

#include "dandelionfall/core/revision.h"
#include "dandelionfall/core/time.h"

namespace dandelionfall::core {

/// At the given time, or later, no change after the given revision had been
/// acknowledged in its history of the store.
struct RevisionProof {
  Revision m_Revision = 0;
  /// Lower bound on this process's clock.
  TimePoint m_AsOf;
  friend bool operator==(const RevisionProof &,
                         const RevisionProof &) = default;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_REVISION_PROOF_H
