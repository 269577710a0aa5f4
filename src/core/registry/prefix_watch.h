/// \file
/// Watches the records below one key prefix of a shared store.
#ifndef DANDELIONFALL_SRC_CORE_REGISTRY_PREFIX_WATCH_H
#define DANDELIONFALL_SRC_CORE_REGISTRY_PREFIX_WATCH_H

#include "dandelionfall/core/store_reader.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace dandelionfall::core::registry {

/// Command of a prefix watch; executed in order.
using PrefixWatchCommand =
    std::variant<WatchRecords, AbandonCall, std::vector<StoreRecord>>;

/// Watches the records below a key prefix linearizably, beside the watch of all
/// records, so that no large record delays them. It reports changed records and
/// no revision: only the watch of all records shows that nothing is missing.
/// Not thread-safe.
class PrefixWatch {
public:
  /// \param Prefix prefix of the watched keys.
  /// \param FirstCall number of the first call; later ones ascend.
  /// \param Seed seed of the jitter between failed calls.
  PrefixWatch(std::string Prefix, std::uint64_t FirstCall, std::uint64_t Seed)
      : m_Prefix(std::move(Prefix)), m_LastCall(FirstCall - 1), m_Random(Seed) {
  }

  /// Starts or ends the watch.
  /// \param Known revision up to which all records are held; the watch begins
  /// there.
  void setActive(bool Active, Revision Known, TimePoint Now);
  /// Handles the reply to the pending call; replies to other calls are ignored.
  /// \param Known revision up to which all records are held.
  void onReply(StoreReply Reply, Revision Known, TimePoint Now);
  /// Issues the next call if it is due.
  void onTick(TimePoint Now);
  /// \returns when `onTick` must be called next, if at all.
  std::optional<TimePoint> nextWakeUp() const { return m_CallAt; }
  /// \returns the number of calls issued since the start.
  std::uint64_t calls() const { return m_Calls; }
  /// \returns the commands collected since the last call.
  std::vector<PrefixWatchCommand> takeCommands();

private:
  void issueCall(TimePoint Now);

  std::string m_Prefix;
  std::uint64_t m_LastCall;
  std::uint64_t m_Calls = 0;
  std::mt19937_64 m_Random;
  bool m_Active = false;
  bool m_CallPending = false;
  /// When the next call is issued; empty while a call is pending.
  std::optional<TimePoint> m_CallAt;
  Revision m_After = 0;
  /// Consecutive failed calls.
  unsigned m_Failures = 0;
  std::vector<PrefixWatchCommand> m_Commands;
};

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_SRC_CORE_REGISTRY_PREFIX_WATCH_H
