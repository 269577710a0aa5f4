#include "core/gate/early_end.h"

#include "core/gate/slot_schedule.h"

namespace dandelionfall::core::gate {

std::vector<std::size_t> findUnservable(const AdmissionView &View) {
  SlotSchedule Schedule(View);
  std::vector<std::size_t> Found;
  for (std::size_t Index = 0; Index < View.m_Waiting.size(); ++Index) {
    const WaitingRequest &Request = View.m_Waiting[Index];
    if (Request.m_EndsEarly &&
        Schedule.nextStart() + Request.m_Expected > Request.m_Deadline) {
      Found.push_back(Index);
      continue;
    }
    Schedule.finishNext(Request.m_Expected);
  }
  return Found;
}

} // namespace dandelionfall::core::gate
