/// \file
/// Counts the calls that the platform stand-in received, in all, by kind, and
/// the most in any one second.
#ifndef DANDELIONFALL_STANDIN_CALL_COUNTER_H
#define DANDELIONFALL_STANDIN_CALL_COUNTER_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace dandelionfall::standin {

/// Counters since the start or the last reset; a watch counts as one call when
/// it arrives, however long it waits.
class CallCounter {
public:
  /// Counts a call.
  /// \param Kind what it asked for.
  /// \param Now the time of its arrival; never goes back.
  void count(const std::string &Kind,
             std::chrono::steady_clock::time_point Now);

  /// Writes the counters as JSON.
  /// \param WaitingWatches watches that wait now.
  /// \returns one JSON object.
  std::string toJson(std::size_t WaitingWatches) const;

private:
  std::uint64_t m_Total = 0;
  std::map<std::string, std::uint64_t> m_ByKind;
  // Arrivals of the last second, oldest first.
  std::deque<std::chrono::steady_clock::time_point> m_LastSecond;
  std::size_t m_PeakPerSecond = 0;
};

} // namespace dandelionfall::standin

#endif // DANDELIONFALL_STANDIN_CALL_COUNTER_H
