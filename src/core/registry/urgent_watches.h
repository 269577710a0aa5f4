/// \file
/// Watches of all key prefixes whose records are small and urgent.
#ifndef DANDELIONFALL_SRC_CORE_REGISTRY_URGENT_WATCHES_H
#define DANDELIONFALL_SRC_CORE_REGISTRY_URGENT_WATCHES_H

#include "core/registry/prefix_watch.h"
#include "dandelionfall/core/store_history.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelionfall::core::registry {

/// One prefix watch for each urgent prefix. They follow the history of the
/// store that the reader of all records has found. Not thread-safe.
class UrgentWatches {
public:
  /// \param Prefixes the watched prefixes.
  /// \param Seed seed of the jitter between failed calls.
  UrgentWatches(const std::vector<std::string> &Prefixes, std::uint64_t Seed);

  /// \returns whether a call was issued by one of these watches.
  static bool isOwn(std::uint64_t Call);
  /// Starts or ends the watches.
  /// \param Held revision up to which all records are held.
  void setActive(bool Active, const StoreHistory &History, Revision Held,
                 TimePoint Now);
  /// Handles the reply to a call of these watches.
  void onReply(StoreReply Reply, const StoreHistory &History, Revision Held,
               TimePoint Now);
  /// Issues the calls that are due.
  void onTick(TimePoint Now);
  /// \returns when `onTick` must be called next, if at all.
  std::optional<TimePoint> nextWakeUp() const;
  /// \returns the number of calls issued since the start.
  std::uint64_t calls() const;
  /// \returns the commands collected since the last call; records have
  /// revisions of the present history.
  std::vector<PrefixWatchCommand> takeCommands();

private:
  std::vector<PrefixWatch> m_Watches;
  HistoryNumber m_History = 0;
};

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_SRC_CORE_REGISTRY_URGENT_WATCHES_H
