#include "dandelionfall/core/leaving_targets.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

bool LeavingTargets::contains(const TargetInstance &Target) const {
  return m_Targets.contains(Target);
}

bool LeavingTargets::add(const TargetInstance &Target) {
  if (!m_Targets.insert(Target).second)
    return false;
  m_Order.push_back(Target);
  if (m_Order.size() > MaxTargets) {
    m_Targets.erase(m_Order.front());
    m_Order.pop_front();
  }
  if (m_News.size() < MaxExchanged)
    m_News.push_back(Target);
  return true;
}

std::vector<TargetInstance> LeavingTargets::takeNews() {
  return std::exchange(m_News, {});
}

std::vector<TargetInstance> LeavingTargets::snapshot() const {
  const std::size_t Count = std::min(m_Order.size(), MaxExchanged);
  return {m_Order.end() - static_cast<std::ptrdiff_t>(Count), m_Order.end()};
}

} // namespace dandelionfall::core
