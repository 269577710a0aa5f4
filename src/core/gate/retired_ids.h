/// \file
/// Bounded set of request ids that must not run any more.
#ifndef DANDELIONFALL_CORE_GATE_RETIRED_IDS_H
#define DANDELIONFALL_CORE_GATE_RETIRED_IDS_H

#include "dandelionfall/core/traffic_message.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace dandelionfall::core::gate {

/// Why a request must not run any more.
struct Retirement {
  /// True if it finished and the ingress settled it.
  bool m_Settled = false;
  /// For a request that never ran: the reason.
  RefusalReason m_Reason = RefusalReason::OldEpoch;
  friend bool operator==(const Retirement &, const Retirement &) = default;
};

/// Stores the most recently retired ids and evicts the oldest first.
class RetiredIds {
public:
  /// \param Capacity largest number of ids.
  explicit RetiredIds(std::size_t Capacity) : m_Capacity(Capacity) {}

  /// Adds an id; has no effect on an id that is stored already.
  void add(const RequestId &Id, Retirement Value);
  /// \returns why an id is retired, or nothing if it is not stored.
  std::optional<Retirement> find(const RequestId &Id) const;
  std::size_t size() const { return m_Order.size(); }

private:
  std::size_t m_Capacity;
  std::unordered_map<RequestId, Retirement> m_Ids;
  std::deque<RequestId> m_Order;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_RETIRED_IDS_H
