/// \file
/// Occupied slots of the target: requests that run there, and abandoned
/// requests that may still run there.
#ifndef DANDELIONFALL_CORE_GATE_TARGET_SLOTS_H
#define DANDELIONFALL_CORE_GATE_TARGET_SLOTS_H

#include "dandelionfall/core/identity.h"
#include "dandelionfall/core/request_fingerprint.h"
#include "dandelionfall/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionfall::core::gate {

/// An occupied slot of the target.
struct OccupiedSlot {
  RequestId m_Id;
  TimePoint m_Start;
  TimePoint m_Deadline;
  /// Kind of the request; service times are estimated for each kind.
  std::string m_Kind;
  /// For an abandoned request: the time until which the slot counts as
  /// occupied.
  std::optional<TimePoint> m_FreeAt;
  RequestFingerprint m_Fingerprint{};
  /// Whether it was suspected of crashing targets when it began.
  bool m_AsSuspect = false;
  friend bool operator==(const OccupiedSlot &, const OccupiedSlot &) = default;
};

/// The occupied slots; they are few, so a linear search suffices.
class TargetSlots {
public:
  void occupy(const RequestId &Id, TimePoint Start, TimePoint Deadline,
              std::string Kind = "", RequestFingerprint Fingerprint = {},
              bool AsSuspect = false);
  /// Frees the slot of a request.
  /// \returns the slot, or nothing if it was free already.
  std::optional<OccupiedSlot> release(const RequestId &Id);
  /// Marks the request of a slot as abandoned; the slot stays occupied until
  /// \p FreeAt.
  void abandon(const RequestId &Id, TimePoint FreeAt);
  /// Frees the slots of all abandoned requests.
  void releaseAbandoned();
  /// Frees the slots of abandoned requests at the end of their time.
  void expire(TimePoint Now);
  /// \returns the slot of a request, or null.
  const OccupiedSlot *find(const RequestId &Id) const;
  /// \returns the slots in the order of their start.
  const std::vector<OccupiedSlot> &slots() const { return m_Slots; }
  /// \returns the number of occupied slots.
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(m_Slots.size());
  }
  /// \param Grace time added to each deadline.
  /// \returns when the next deadline passes or the next abandoned slot is
  /// freed.
  std::optional<TimePoint> nextChange(Duration Grace = Duration{0}) const;

private:
  std::vector<OccupiedSlot> m_Slots;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_TARGET_SLOTS_H
