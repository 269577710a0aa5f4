#include "dandelionfall/core/store_history.h"

#include <algorithm>

namespace dandelionfall::core {

StoreHistory::Relation StoreHistory::onEra(std::optional<std::uint64_t> Era,
                                           bool IsCurrent) {
  // An old state can be of an earlier history.
  if (!Era || Era == m_Era || (!m_Era && !IsCurrent))
    return Relation::Same;
  if (m_Era && *Era < *m_Era && !IsCurrent)
    return Relation::Earlier;
  const HistoryNumber Before = m_Number;
  if (m_Era)
    startNext();
  m_Era = Era;
  // Nodes that start later know the era alone.
  if (*Era <= MaxHistoryNumber)
    m_Number = std::max(m_Number, static_cast<HistoryNumber>(*Era));
  return m_Number == Before ? Relation::Same : Relation::Later;
}

void StoreHistory::startNext() {
  m_Number = std::min(m_Number + 1, MaxHistoryNumber);
}

bool StoreHistory::follow(HistoryNumber Found) {
  if (Found <= m_Number || Found > MaxHistoryNumber)
    return false;
  m_Number = Found;
  // The next reply tells the era of that history.
  m_Era.reset();
  return true;
}

} // namespace dandelionfall::core
