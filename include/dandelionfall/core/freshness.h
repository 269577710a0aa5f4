/// \file
/// Proof that a configuration was the newest one at some moment.
#ifndef DANDELIONFALL_CORE_FRESHNESS_H
#define DANDELIONFALL_CORE_FRESHNESS_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/time.h"

#include <optional>

namespace dandelionfall::core {

/// At the given time, or later, no version newer than the given one was in
/// force. Ages only grow: the time is a lower bound on this process's clock,
/// which counts the time for which the process was suspended.
struct FreshnessProof {
  /// Version of the stamp of the configuration.
  Version m_Version = 0;
  TimePoint m_AsOf;
  friend bool operator==(const FreshnessProof &,
                         const FreshnessProof &) = default;
};

/// Latest proof for the configuration that is applied.
class Freshness {
public:
  /// Adds a proof. One of a newer version than the applied one counts once that
  /// version is applied.
  void add(const FreshnessProof &Proof);
  /// Sets the applied version.
  void setApplied(Version Applied);
  /// \returns the age of the latest proof for the applied version, or nothing
  /// if there is none.
  std::optional<Duration> age(TimePoint Now) const;

private:
  void confirm(const FreshnessProof &Proof);

  Version m_Applied = 0;
  std::optional<TimePoint> m_ConfirmedAt;
  std::optional<FreshnessProof> m_Pending;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_FRESHNESS_H
