/// \file
/// Queue of keys ordered by due time.
#ifndef DANDELIONFALL_CORE_INGRESS_TIMER_QUEUE_H
#define DANDELIONFALL_CORE_INGRESS_TIMER_QUEUE_H

#include "dandelionfall/core/time.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace dandelionfall::core::ingress {

/// Stores at most one time for each key.
template <typename Key> class TimerQueue {
public:
  /// Sets the time of a key, replacing an earlier setting.
  void set(const Key &Name, TimePoint Due) {
    erase(Name);
    m_Times.emplace(Name, Due);
    m_Order.emplace(Due, Name);
  }

  /// Sets the time of a key unless it already has an earlier one.
  void setNoLater(const Key &Name, TimePoint Due) {
    const auto Found = m_Times.find(Name);
    if (Found != m_Times.end() && Found->second <= Due)
      return;
    set(Name, Due);
  }

  /// Removes a key, if it is set.
  void erase(const Key &Name) {
    const auto Found = m_Times.find(Name);
    if (Found == m_Times.end())
      return;
    m_Order.erase({Found->second, Name});
    m_Times.erase(Found);
  }

  /// Removes the earliest key that is due.
  /// \param Now the current time.
  /// \returns the key, or nothing if none is due.
  std::optional<Key> takeDue(TimePoint Now) {
    if (m_Order.empty() || m_Order.begin()->first > Now)
      return std::nullopt;
    Key Name = m_Order.begin()->second;
    erase(Name);
    return Name;
  }

  /// \returns the earliest time, if any key is set.
  std::optional<TimePoint> next() const {
    if (m_Order.empty())
      return std::nullopt;
    return m_Order.begin()->first;
  }

private:
  std::map<Key, TimePoint> m_Times;
  std::set<std::pair<TimePoint, Key>> m_Order;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_TIMER_QUEUE_H
