#include "core/gate/target_slots.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core::gate {

void TargetSlots::occupy(const RequestId &Id, TimePoint Start,
                         TimePoint Deadline, std::string Kind,
                         RequestFingerprint Fingerprint, bool AsSuspect) {
  m_Slots.push_back({Id, Start, Deadline, std::move(Kind), std::nullopt,
                     Fingerprint, AsSuspect});
}

std::optional<OccupiedSlot> TargetSlots::release(const RequestId &Id) {
  const auto Found =
      std::find_if(m_Slots.begin(), m_Slots.end(),
                   [&](const OccupiedSlot &Slot) { return Slot.m_Id == Id; });
  if (Found == m_Slots.end())
    return std::nullopt;
  const OccupiedSlot Slot = *Found;
  m_Slots.erase(Found);
  return Slot;
}

void TargetSlots::releaseAbandoned() {
  std::erase_if(m_Slots, [](const OccupiedSlot &Slot) {
    return Slot.m_FreeAt.has_value();
  });
}

void TargetSlots::abandon(const RequestId &Id, TimePoint FreeAt) {
  for (OccupiedSlot &Slot : m_Slots) {
    if (Slot.m_Id == Id)
      Slot.m_FreeAt = FreeAt;
  }
}

void TargetSlots::expire(TimePoint Now) {
  std::erase_if(m_Slots, [Now](const OccupiedSlot &Slot) {
    return Slot.m_FreeAt && *Slot.m_FreeAt <= Now;
  });
}

const OccupiedSlot *TargetSlots::find(const RequestId &Id) const {
  for (const OccupiedSlot &Slot : m_Slots) {
    if (Slot.m_Id == Id)
      return &Slot;
  }
  return nullptr;
}

std::optional<TimePoint> TargetSlots::nextChange(Duration Grace) const {
  std::optional<TimePoint> Next;
  for (const OccupiedSlot &Slot : m_Slots) {
    const TimePoint Change = Slot.m_FreeAt.value_or(Slot.m_Deadline + Grace);
    Next = Next ? std::min(*Next, Change) : Change;
  }
  return Next;
}

} // namespace dandelionfall::core::gate
