/// \file
/// A target that slows down under load and collapses in cold start.
#ifndef DANDELIONFALL_BENCHMARK_ROUTING_SIMULATED_TARGET_H
#define DANDELIONFALL_BENCHMARK_ROUTING_SIMULATED_TARGET_H

#include "deployment.h"

#include <algorithm>
#include <cstdint>

namespace dandelionfall::benchmark {

/// Requests in flight at a target and what it bears of them.
class SimulatedTarget {
public:
  explicit SimulatedTarget(std::uint32_t Slots = 1) : m_Slots(Slots) {}

  /// Begins a cold start.
  void restart(core::TimePoint Now) {
    m_ColdSince = Now;
    m_Cold = true;
    m_InFlight = 0;
    ++m_Generation;
  }

  /// \returns whether connections are taken.
  bool isUp(core::TimePoint Now) const { return Now >= m_DownUntil; }

  /// \returns the requests that it runs at full speed.
  std::uint32_t fullSpeed(core::TimePoint Now) const {
    if (!m_Cold || Now >= m_ColdSince + WarmUpTime)
      return m_Slots;
    const double Share = static_cast<double>((Now - m_ColdSince).count()) /
                         static_cast<double>(WarmUpTime.count());
    return std::max(ColdSlots, static_cast<std::uint32_t>(Share * m_Slots));
  }

  /// Takes a request.
  /// \returns its work at the present load, or 0 if the target collapses.
  Duration start(Duration Work, core::TimePoint Now) {
    const std::uint32_t Bears = fullSpeed(Now);
    ++m_InFlight;
    if (m_InFlight > CollapseFactor * Bears) {
      restart(Now);
      m_DownUntil = Now + DownTime;
      return Duration{0};
    }
    const double Slowdown = std::max(1.0, 1.0 * m_InFlight / Bears);
    return Duration(static_cast<Duration::rep>(
        Slowdown * static_cast<double>(Work.count())));
  }

  /// Ends a request.
  void finish() { --m_InFlight; }

  /// \returns a number that each restart raises.
  std::uint64_t generation() const { return m_Generation; }

private:
  static constexpr Duration WarmUpTime = 3s;
  static constexpr Duration DownTime = 1s;
  static constexpr std::uint32_t ColdSlots = 2;
  /// Times the requests at full speed that are too many.
  static constexpr std::uint32_t CollapseFactor = 2;

  std::uint32_t m_Slots;
  std::uint32_t m_InFlight = 0;
  bool m_Cold = false;
  core::TimePoint m_ColdSince;
  core::TimePoint m_DownUntil;
  std::uint64_t m_Generation = 0;
};

} // namespace dandelionfall::benchmark

#endif // DANDELIONFALL_BENCHMARK_ROUTING_SIMULATED_TARGET_H
