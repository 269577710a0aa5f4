/// \file
/// Reports when requests with keys begin and cease to be rejected for want of a
/// proof.
#ifndef DANDELIONFALL_CORE_INGRESS_PROOF_WATCH_H
#define DANDELIONFALL_CORE_INGRESS_PROOF_WATCH_H

#include "dandelionfall/core/event.h"
#include "dandelionfall/core/time.h"

#include <cstdint>
#include <optional>

namespace dandelionfall::core::ingress {

/// Turns the decisions on single requests into an event at the first rejection
/// and one at the next acceptance; of a quick succession only the first are
/// reported. Not thread-safe.
class ProofWatch {
public:
  /// Notes the decision on a request with a key.
  /// \param IsRejected whether it was rejected for want of a proof.
  /// \param ProofAge age of the proof, if there is one.
  /// \returns the event to record, if any.
  std::optional<Event>
  note(bool IsRejected, const std::optional<Duration> &ProofAge, TimePoint Now);

private:
  /// When requests began to be rejected, as reported; empty while they are not.
  std::optional<TimePoint> m_RejectedSince;
  /// Before that no further beginning is reported.
  std::optional<TimePoint> m_SilentUntil;
  std::uint64_t m_Rejected = 0;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_PROOF_WATCH_H
