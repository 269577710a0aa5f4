/// \file
/// Revisions of a shared store that other nodes have and this one lacks.
#ifndef DANDELIONFALL_CORE_MISSING_REVISIONS_H
#define DANDELIONFALL_CORE_MISSING_REVISIONS_H

#include "dandelionfall/core/published.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

namespace dandelionfall::core {

/// Remembers when each missing revision was first seen at another node.
class MissingRevisions {
public:
  /// Adds a revision if it is newer than all others.
  /// \param Seen the revision of another node.
  /// \param Own the revision of this node.
  void add(Revision Seen, Revision Own, TimePoint Now) {
    removeUpTo(Own);
    if (m_Seen.empty())
      m_Postponed = Duration{0};
    if (Seen <= (m_Seen.empty() ? Own : m_Seen.back().first))
      return;
    if (m_Seen.size() < MaxEntries)
      m_Seen.emplace_back(Seen, Now);
    else
      m_Seen.back().first = Seen;
  }
  /// Removes the revisions that this node now has.
  void removeUpTo(Revision Own) {
    while (!m_Seen.empty() && m_Seen.front().first <= Own)
      m_Seen.pop_front();
  }
  /// Removes the revisions first seen up to a time.
  /// \returns the highest of them; 0 if there are none.
  Revision removeSeenUntil(TimePoint Time) {
    Revision Highest = 0;
    for (; !m_Seen.empty() && m_Seen.front().second <= Time; m_Seen.pop_front())
      Highest = m_Seen.front().first;
    return Highest;
  }
  /// Counts all revisions as seen later, by `MaxPostponement` in all until none
  /// is missing.
  void postpone(Duration Delay) {
    Delay = std::min(Delay, MaxPostponement - m_Postponed);
    m_Postponed += Delay;
    for (auto &[Seen, At] : m_Seen)
      At += Delay;
  }
  void clear() { m_Seen.clear(); }
  /// \returns when the oldest one was first seen.
  std::optional<TimePoint> oldestSeenAt() const {
    if (m_Seen.empty())
      return std::nullopt;
    return m_Seen.front().second;
  }
  /// \returns the newest one; 0 if there is none.
  Revision newest() const { return m_Seen.empty() ? 0 : m_Seen.back().first; }

private:
  static constexpr std::size_t MaxEntries = 64;
  /// A node that is always late must still notice what it lacks.
  static constexpr Duration MaxPostponement = std::chrono::seconds(1);
  /// Ascending by revision and by time.
  std::deque<std::pair<Revision, TimePoint>> m_Seen;
  Duration m_Postponed{0};
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_MISSING_REVISIONS_H
