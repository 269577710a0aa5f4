#include "emulator/virtual_time.h"

#include <algorithm>

namespace dandelionfall::emulator {

void VirtualTime::at(TimePoint When, Action Do) {
  m_Events.emplace(std::pair(std::max(When, m_Now), ++m_Count), std::move(Do));
}

void VirtualTime::runUntil(Duration AfterStart) {
  const TimePoint Until = Start + AfterStart;
  while (!m_Events.empty() && m_Events.begin()->first.first <= Until) {
    const auto First = m_Events.extract(m_Events.begin());
    m_Now = First.key().first;
    First.mapped()();
  }
  m_Now = std::max(m_Now, Until);
}

} // namespace dandelionfall::emulator
