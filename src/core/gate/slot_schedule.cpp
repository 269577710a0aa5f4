#include "core/gate/slot_schedule.h"

#include <algorithm>
#include <functional>

namespace dandelionfall::core::gate {

SlotSchedule::SlotSchedule(const AdmissionView &View)
    : m_Now(View.m_Now), m_RateStarts(View.m_RateStarts),
      m_FreeTimes(View.m_SlotsFreeAt) {
  std::make_heap(m_FreeTimes.begin(), m_FreeTimes.end(), std::greater<>());
}

TimePoint SlotSchedule::finishNext(Duration Expected) {
  const TimePoint Finish = nextStart() + Expected;
  std::pop_heap(m_FreeTimes.begin(), m_FreeTimes.end(), std::greater<>());
  ++m_Assigned;
  m_FreeTimes.back() = Finish;
  std::push_heap(m_FreeTimes.begin(), m_FreeTimes.end(), std::greater<>());
  return Finish;
}

TimePoint SlotSchedule::nextStart() const {
  const TimePoint Start = std::max(m_FreeTimes.front(), m_Now);
  return m_Assigned < m_RateStarts.size()
             ? std::max(Start, m_RateStarts[m_Assigned])
             : Start;
}

} // namespace dandelionfall::core::gate
