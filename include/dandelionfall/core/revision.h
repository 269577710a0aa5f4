/// \file
/// Positions in what a shared store has published.
#ifndef DANDELIONFALL_CORE_REVISION_H
#define DANDELIONFALL_CORE_REVISION_H

#include <cstdint>
#include <string>

namespace dandelionfall::core {

/// Counter that a store increments with each change of any value. It goes back
/// if the store is restored from an older copy or counts anew.
using StoreCounter = std::uint64_t;

/// Number of a history of a store's changes. A store whose counter goes back,
/// or whose era rises, begins the next one.
using HistoryNumber = std::uint32_t;

/// Position in all that a store has published: the number of the history in the
/// upper bits, the store's counter in the lower ones. A position in a later
/// history is greater than any in an earlier one. 0 if nothing was read.
using Revision = std::uint64_t;

/// Bits of a revision that hold the store's counter.
inline constexpr unsigned CounterBits = 44;
/// Highest counter of a store that can be represented.
inline constexpr StoreCounter MaxStoreCounter =
    (StoreCounter{1} << CounterBits) - 1;
/// Highest number of a history; revisions are sent as signed numbers.
inline constexpr HistoryNumber MaxHistoryNumber =
    (HistoryNumber{1} << (63U - CounterBits)) - 1;

/// \param History number of the history; at most `MaxHistoryNumber`.
/// \param Counter counter of the store; at most `MaxStoreCounter`.
constexpr Revision makeRevision(HistoryNumber History, StoreCounter Counter) {
  return (Revision{History} << CounterBits) | Counter;
}

constexpr HistoryNumber historyOf(Revision Position) {
  return static_cast<HistoryNumber>(Position >> CounterBits);
}

constexpr StoreCounter counterOf(Revision Position) {
  return Position & MaxStoreCounter;
}

/// \returns `COUNTER`, or `COUNTER@HISTORY` in a later history than the first.
inline std::string formatRevision(Revision Position) {
  std::string Text = std::to_string(counterOf(Position));
  if (historyOf(Position) > 0)
    Text += "@" + std::to_string(historyOf(Position));
  return Text;
}

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_REVISION_H
