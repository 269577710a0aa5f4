/// \file
/// Bounds the age of what a followed node proves.
#ifndef DANDELIONFALL_SRC_CORE_REGISTRY_FRESHNESS_PROBES_H
#define DANDELIONFALL_SRC_CORE_REGISTRY_FRESHNESS_PROBES_H

#include "dandelionfall/core/control_message.h"
#include "dandelionfall/core/time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace dandelionfall::core::registry {

/// Probes sent on the link of one feed. A notice that repeats a probe was sent
/// after it, so the age that the notice states counts from the moment at which
/// the probe was sent: delays, buffers and suspended processes make a proof
/// look older, never younger. Not thread-safe.
class FreshnessProbes {
public:
  /// Begins to send probes.
  void start(TimePoint Now) { m_NextAt = Now; }
  /// \returns the probe to send now, if one is due.
  std::optional<FreshnessProbe> takeDue(TimePoint Now);
  /// \returns when the next probe is due; nothing before the start.
  std::optional<TimePoint> nextAt() const { return m_NextAt; }
  /// \returns a moment on this process's clock at which, or later, the revision
  /// of the notice was the newest; nothing if the notice proves none.
  std::optional<TimePoint> provedAt(const RevisionNotice &Notice);

private:
  struct Sent {
    std::int64_t m_Number = 0;
    TimePoint m_At;
  };

  std::optional<TimePoint> m_NextAt;
  std::int64_t m_LastNumber = 0;
  /// Probes that a notice can still repeat, oldest first.
  std::deque<Sent> m_Sent;
};

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_SRC_CORE_REGISTRY_FRESHNESS_PROBES_H
