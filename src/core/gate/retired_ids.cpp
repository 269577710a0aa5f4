#include "core/gate/retired_ids.h"

namespace dandelionfall::core::gate {

void RetiredIds::add(const RequestId &Id, Retirement Value) {
  if (!m_Ids.emplace(Id, Value).second)
    return;
  m_Order.push_back(Id);
  if (m_Order.size() <= m_Capacity)
    return;
  m_Ids.erase(m_Order.front());
  m_Order.pop_front();
}

std::optional<Retirement> RetiredIds::find(const RequestId &Id) const {
  const auto Found = m_Ids.find(Id);
  if (Found == m_Ids.end())
    return std::nullopt;
  return Found->second;
}

} // namespace dandelionfall::core::gate
