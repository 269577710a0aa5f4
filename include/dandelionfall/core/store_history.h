/// \file
/// The history of a store's changes that a node follows.
#ifndef DANDELIONFALL_CORE_STORE_HISTORY_H
#define DANDELIONFALL_CORE_STORE_HISTORY_H

#include "dandelionfall/core/revision.h"

#include <cstdint>
#include <optional>

namespace dandelionfall::core {

/// Numbers the histories of a store that may come back from an older copy, or
/// count its revisions anew. Nodes number them alike: each takes the highest
/// number that it learns of, and the next one when it finds that the store has
/// begun another history. Not thread-safe.
class StoreHistory {
public:
  /// How the history of a reply relates to the one that is followed.
  enum class Relation : std::uint8_t {
    Same,
    Later,   ///< The reply is of a later history, which is followed now.
    Earlier, ///< The reply must be ignored.
  };

  /// Handles the era that a reply of the store states, if any. The era rises
  /// each time that the store is restored.
  /// \param IsCurrent whether the store answered as of a moment after the call;
  /// else a lower era is an old state.
  Relation onEra(std::optional<std::uint64_t> Era, bool IsCurrent);
  /// Follows the next history: the store has proved to continue the present one
  /// no longer.
  void startNext();
  /// Follows a history that another node has found.
  /// \returns whether it is later than the present one.
  bool follow(HistoryNumber Found);

  HistoryNumber number() const { return m_Number; }
  /// \returns whether the store states its era.
  bool hasEra() const { return m_Era.has_value(); }
  /// \returns whether a reply with this era belongs to the present history, as
  /// far as is known.
  bool fits(std::optional<std::uint64_t> Era) const {
    return !Era || !m_Era || *Era == *m_Era;
  }
  Revision revisionOf(StoreCounter Counter) const {
    return makeRevision(m_Number, Counter);
  }
  /// \returns the counter of a revision; 0 if it is of another history.
  StoreCounter counterIn(Revision Position) const {
    return historyOf(Position) == m_Number ? counterOf(Position) : 0;
  }

private:
  HistoryNumber m_Number = 0;
  /// Era of the last reply in this history.
  std::optional<std::uint64_t> m_Era;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_STORE_HISTORY_H
