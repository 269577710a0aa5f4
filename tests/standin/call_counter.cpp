#include "standin/call_counter.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace dandelionfall::standin {

void CallCounter::count(const std::string &Kind,
                        std::chrono::steady_clock::time_point Now) {
  ++m_Total;
  ++m_ByKind[Kind];
  m_LastSecond.push_back(Now);
  while (Now - m_LastSecond.front() >= std::chrono::seconds(1))
    m_LastSecond.pop_front();
  m_PeakPerSecond = std::max(m_PeakPerSecond, m_LastSecond.size());
}

std::string CallCounter::toJson(std::size_t WaitingWatches) const {
  const nlohmann::json Result = {
      {"calls", m_Total},
      {"by_kind", m_ByKind},
      {"waiting_watches", WaitingWatches},
      {"peak_calls_per_s", m_PeakPerSecond},
  };
  return Result.dump() + "\n";
}

} // namespace dandelionfall::standin
