/// \file
/// Counts what happens again and again.
#ifndef DANDELIONFALL_CORE_REPETITIONS_H
#define DANDELIONFALL_CORE_REPETITIONS_H

#include "dandelionfall/core/time.h"

#include <chrono>
#include <optional>

namespace dandelionfall::core {

/// Counts occurrences in quick succession, so that what recurs is delayed and
/// what happens now and then is not. Not thread-safe.
class Repetitions {
public:
  /// Time after an occurrence from which the next one counts as the first.
  /// Longer than a retry with its calls and the wait of a watch.
  static constexpr Duration Memory = std::chrono::seconds(10);

  /// Counts an occurrence.
  /// \returns how many there were in succession, this one included.
  unsigned add(TimePoint Now) {
    const bool Continues = m_LastAt && Now < *m_LastAt + Memory;
    m_Count = Continues ? m_Count + 1 : 1;
    m_LastAt = Now;
    return m_Count;
  }
  /// Begins a new succession with the next occurrence.
  void reset() { m_LastAt.reset(); }

private:
  unsigned m_Count = 0;
  std::optional<TimePoint> m_LastAt;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_REPETITIONS_H
