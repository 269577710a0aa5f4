/// \file
/// Concurrency limit of a target during its cold start.
#ifndef DANDELIONFALL_CORE_GATE_RAMP_H
#define DANDELIONFALL_CORE_GATE_RAMP_H

#include "dandelionfall/core/time.h"

#include <cstdint>

namespace dandelionfall::core::gate {

/// Effect of a completion on the limit.
enum class RampChange : std::uint8_t {
  None,
  Raised,    ///< The limit rose.
  Finished,  ///< The limit reached the number of slots.
  Restarted, ///< The service time jumped; the limit was reset.
};

/// Limit of concurrent requests at the target. It starts low and rises on
/// completions with a healthy service time that occur while most of the limit
/// is in use.
class Ramp {
public:
  /// Sets the range of the limit.
  /// \param Initial limit of a cold target.
  /// \param Slots limit of a warm target, at least 1.
  /// \param ColdRequests complete responses required before the limit may rise
  /// above its initial value.
  void configure(std::uint32_t Initial, std::uint32_t Slots,
                 std::uint32_t ColdRequests = 0);
  /// Resets the limit to its initial value.
  /// \returns whether this lowered the limit.
  bool restart(TimePoint Now);
  /// Handles the service time of a completed or abandoned request.
  /// \param Complete whether it ended with a complete response.
  /// \param InUse whether more than half of the limit was in use.
  RampChange onCompletion(Duration Sample, bool Complete, bool InUse,
                          TimePoint Now);
  /// \returns whether the limit of a cold target is below that of a warm one.
  bool isEnabled() const { return m_Initial < m_Slots; }
  /// \returns the limit, from 1 to the slots.
  std::uint32_t limit() const { return m_Limit; }

  /// Shortest time between two increases.
  static constexpr Duration MinRaiseInterval = std::chrono::milliseconds(100);
  /// Multiple of the reference up to which a service time is healthy.
  static constexpr int HealthyFactor = 2;
  /// Multiple of the reference above which a service time counts as a jump.
  static constexpr int JumpFactor = 3;
  /// Added to both thresholds, since short service times vary more in
  /// proportion.
  static constexpr Duration Allowance = std::chrono::milliseconds(2);
  /// Consecutive slow completions that restart the ramp.
  static constexpr int JumpStreak = 5;

private:
  RampChange raise(TimePoint Now);
  void updateReference(Duration Sample);

  std::uint32_t m_Initial = 1;
  std::uint32_t m_Slots = 1;
  std::uint32_t m_Limit = 0;
  std::uint32_t m_HealthyCount = 0;
  std::uint32_t m_ColdRequests = 0;
  /// Complete responses since the last restart, counted up to the required
  /// number.
  std::uint32_t m_CompleteResponses = 0;
  int m_SlowStreak = 0;
  TimePoint m_LastChange;
  /// Smoothed service time that later ones are compared with; 0 before the
  /// first.
  Duration m_Reference{0};
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_RAMP_H
