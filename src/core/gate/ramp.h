/// \file
/// Cold start of the target: how many requests it may run at once.
#ifndef DANDELIONFALL_CORE_GATE_RAMP_H
#define DANDELIONFALL_CORE_GATE_RAMP_H

#include "dandelionfall/core/time.h"

#include <cstdint>

namespace dandelionfall::core::gate {

/// What a completion meant for the limit.
enum class RampChange : std::uint8_t {
  None,
  Raised,    ///< The limit rose.
  Finished,  ///< The limit reached the slots.
  Restarted, ///< The service time jumped; the limit is back at its start.
};

/// Limit of the requests at the target. It starts low and rises on completions
/// at a healthy service time that were made with most of it in use.
class Ramp {
public:
  /// Sets the bounds.
  /// \param Initial limit of a target in cold start.
  /// \param Slots limit of a warm target, at least 1.
  /// \param ColdRequests whole answers before the limit may rise from its
  /// start.
  void configure(std::uint32_t Initial, std::uint32_t Slots,
                 std::uint32_t ColdRequests = 0);
  /// Goes back to the initial limit.
  /// \returns whether the limit fell.
  bool restart(TimePoint Now);
  /// Takes the service time of a completed or given-up request.
  /// \param Complete whether it brought a whole answer.
  /// \param InUse whether more than half of the limit was in use.
  RampChange onCompletion(Duration Sample, bool Complete, bool InUse,
                          TimePoint Now);
  /// \returns whether a cold target gets less than a warm one.
  bool isEnabled() const { return m_Initial < m_Slots; }
  /// \returns the limit, from 1 to the slots.
  std::uint32_t limit() const { return m_Limit; }

  /// Shortest time between two raises.
  static constexpr Duration MinRaiseInterval = std::chrono::milliseconds(100);
  /// Service time in terms of the reference up to which a completion is
  /// healthy.
  static constexpr int HealthyFactor = 2;
  /// Service time in terms of the reference above which it has jumped.
  static constexpr int JumpFactor = 3;
  /// Added to both thresholds, since short service times vary more.
  static constexpr Duration Allowance = std::chrono::milliseconds(2);
  /// Slow completions in sequence that make a jump.
  static constexpr int JumpStreak = 5;

private:
  RampChange raise(TimePoint Now);
  void updateReference(Duration Sample);

  std::uint32_t m_Initial = 1;
  std::uint32_t m_Slots = 1;
  std::uint32_t m_Limit = 0;
  std::uint32_t m_HealthyCount = 0;
  std::uint32_t m_ColdRequests = 0;
  /// Whole answers since the limit began anew.
  std::uint32_t m_CompleteResponses = 0;
  int m_SlowStreak = 0;
  TimePoint m_LastChange;
  /// Service time that later ones are compared with; 0 before the first.
  Duration m_Reference{0};
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_RAMP_H
