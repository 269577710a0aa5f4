#include "core/ingress/proof_watch.h"

#include <string>
#include <utility>

namespace dandelionfall::core::ingress {

namespace {

/// Minimum time between two reported beginnings.
constexpr Duration ReportInterval = std::chrono::seconds(10);

std::string describeAge(const std::optional<Duration> &ProofAge) {
  return ProofAge ? std::to_string(ProofAge->count()) : "none";
}

} // namespace

std::optional<Event> ProofWatch::note(bool IsRejected,
                                      const std::optional<Duration> &ProofAge,
                                      TimePoint Now) {
  if (IsRejected) {
    ++m_Rejected;
    if (m_RejectedSince || (m_SilentUntil && Now < *m_SilentUntil))
      return std::nullopt;
    m_RejectedSince = Now;
    m_SilentUntil = Now + ReportInterval;
    return Event{EventId::KeysUnproved, "age_us=" + describeAge(ProofAge)};
  }
  if (!m_RejectedSince)
    return std::nullopt;
  const Duration Length = Now - *std::exchange(m_RejectedSince, std::nullopt);
  return Event{EventId::KeysProved,
               "age_us=" + describeAge(ProofAge) +
                   " rejected=" + std::to_string(std::exchange(m_Rejected, 0)) +
                   " elapsed_us=" + std::to_string(Length.count())};
}

} // namespace dandelionfall::core::ingress
