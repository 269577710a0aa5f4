/// \file
/// Finds out whether a target ended when the connections of its requests broke.
#ifndef DANDELIONFALL_CORE_GATE_END_WATCH_H
#define DANDELIONFALL_CORE_GATE_END_WATCH_H

#include "core/gate/target_slots.h"

#include <optional>
#include <unordered_set>
#include <vector>

namespace dandelionfall::core::gate {

/// A broken connection alone doesn't show that the target ended: connections
/// are reset for many reasons. When one broke, the watch demands a check
/// whether the target still accepts connections, and another one shortly after.
class EndWatch {
public:
  /// Time for which the port of a target that ended may still accept
  /// connections.
  static constexpr Duration CheckDelay = std::chrono::milliseconds(50);

  /// Handles a request whose connection broke.
  /// \param Running slots that were occupied at that time, including the
  /// request's own.
  void onConnectionBroken(const std::vector<OccupiedSlot> &Running,
                          TimePoint Now);
  /// \returns whether a check is due; true once for each of them.
  bool takeDueCheck(TimePoint Now);
  /// Handles a check in which the target accepted the connection.
  void onAccepted(TimePoint Now);
  /// Handles a connection that the target refused.
  /// \returns the slots that were occupied when the target ended; empty if it
  /// was not suspected.
  std::vector<OccupiedSlot> onRefused();
  /// Records the end of the target while it ran requests. Their connections may
  /// break later than the verdict.
  void onEnded(const RequestId &End, const std::vector<OccupiedSlot> &Running);
  /// \returns the latest end of the target if the request ran then.
  std::optional<RequestId> endOf(const RequestId &Request) const;
  /// \returns when the check is due, if one is pending.
  std::optional<TimePoint> nextWakeUp() const;

private:
  struct Suspicion {
    TimePoint m_CheckAt;
    bool m_CheckDemanded = false;
    bool m_IsLastCheck = false;
    std::vector<OccupiedSlot> m_Running;
  };

  std::optional<Suspicion> m_Suspicion;
  RequestId m_LatestEnd;
  std::unordered_set<RequestId> m_RanAtLatestEnd;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_END_WATCH_H
