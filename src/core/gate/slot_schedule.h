/// \file
/// Expected starts of the requests of a gate.
#ifndef DANDELIONFALL_CORE_GATE_SLOT_SCHEDULE_H
#define DANDELIONFALL_CORE_GATE_SLOT_SCHEDULE_H

#include "core/gate/admission.h"

#include <cstddef>
#include <span>
#include <vector>

namespace dandelionfall::core::gate {

/// Assigns slots in the order in which they become free.
class SlotSchedule {
public:
  /// \param View the state of the gate; must outlive this object.
  explicit SlotSchedule(const AdmissionView &View);

  /// Assigns the next request to the slot that becomes free first.
  /// \param Expected its expected service time.
  /// \returns its expected finish time.
  TimePoint finishNext(Duration Expected);

  /// \returns when the next request is expected to start.
  TimePoint nextStart() const;

private:
  TimePoint m_Now;
  std::span<const TimePoint> m_RateStarts;
  std::size_t m_Assigned = 0;
  std::vector<TimePoint> m_FreeTimes;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_SLOT_SCHEDULE_H
