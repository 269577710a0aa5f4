/// \file
/// What occupies the target: requests that run there, and abandoned ones that
/// may still run there.
#ifndef DANDELIONFALL_CORE_GATE_TARGET_SLOTS_H
#define DANDELIONFALL_CORE_GATE_TARGET_SLOTS_H

#include "dandelionfall/core/identity.h"
#include "dandelionfall/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionfall::core::gate {

/// A slot of the target that is occupied.
struct OccupiedSlot {
  RequestId m_Id;
  TimePoint m_Start;
  TimePoint m_Deadline;
  /// Kind of the request, as its service time is known by.
  std::string m_Kind;
  /// For an abandoned request: until when the slot counts as occupied.
  std::optional<TimePoint> m_FreeAt;
  friend bool operator==(const OccupiedSlot &, const OccupiedSlot &) = default;
};

/// The occupied slots, few enough to be searched in order.
class TargetSlots {
public:
  /// Occupies a slot.
  void occupy(const RequestId &Id, TimePoint Start, TimePoint Deadline,
              std::string Kind = "");
  /// Frees the slot of a request.
  /// \returns the slot, if it was still occupied.
  std::optional<OccupiedSlot> release(const RequestId &Id);
  /// Keeps the slot of an abandoned request occupied for a while.
  void abandon(const RequestId &Id, TimePoint FreeAt);
  /// Frees slots of abandoned requests whose time is over.
  void expire(TimePoint Now);
  /// \returns the slot of a request, or null.
  const OccupiedSlot *find(const RequestId &Id) const;
  /// \returns the slots in the order of their start.
  const std::vector<OccupiedSlot> &slots() const { return m_Slots; }
  /// \returns how many slots are occupied.
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(m_Slots.size());
  }
  /// \param Grace time that is added to each deadline.
  /// \returns when a deadline passes or an abandoned slot is free.
  std::optional<TimePoint> nextChange(Duration Grace = Duration{0}) const;

private:
  std::vector<OccupiedSlot> m_Slots;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_TARGET_SLOTS_H
