/// \file
/// Counts the calls that the platform stand-in received: the total, by kind,
/// and the maximum within one second.
#ifndef DANDELIONFALL_STANDIN_CALL_COUNTER_H
#define DANDELIONFALL_STANDIN_CALL_COUNTER_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace dandelionfall::standin {

/// Counters since the start or the last reset. A watch counts as one call at
/// its arrival, regardless of how long it waits.
class CallCounter {
public:
  /// \param Kind the kind of resource requested, used as key of `by_kind`.
  /// \param Now the arrival time; must not decrease between calls.
  void count(const std::string &Kind,
             std::chrono::steady_clock::time_point Now);

  /// \param WaitingWatches the number of watches that currently wait.
  /// \returns one JSON object, terminated by a newline.
  std::string toJson(std::size_t WaitingWatches) const;

private:
  std::uint64_t m_Total = 0;
  std::map<std::string, std::uint64_t> m_ByKind;
  // Arrival times within the last second, oldest first.
  std::deque<std::chrono::steady_clock::time_point> m_LastSecond;
  std::size_t m_PeakPerSecond = 0;
};

} // namespace dandelionfall::standin

#endif // DANDELIONFALL_STANDIN_CALL_COUNTER_H
