/// \file
/// Bounded memory of requests that must not run any more.
#ifndef DANDELIONFALL_CORE_GATE_RETIRED_IDS_H
#define DANDELIONFALL_CORE_GATE_RETIRED_IDS_H

#include "dandelionfall/core/traffic_message.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace dandelionfall::core::gate {

/// Why a request will not run any more.
struct Retirement {
  /// True if it ran to its end and the ingress settled it.
  bool m_Settled = false;
  /// For one that never ran: why not.
  RefusalReason m_Reason = RefusalReason::OldEpoch;
  friend bool operator==(const Retirement &, const Retirement &) = default;
};

/// Remembers the most recent retired ids; the oldest goes first.
class RetiredIds {
public:
  /// \param Capacity ids kept at most.
  explicit RetiredIds(std::size_t Capacity) : m_Capacity(Capacity) {}

  /// Remembers an id; the first word on it stays.
  void add(const RequestId &Id, Retirement Value);
  /// \returns what is known of an id, if anything.
  std::optional<Retirement> find(const RequestId &Id) const;
  /// \returns how many ids are kept.
  std::size_t size() const { return m_Order.size(); }

private:
  std::size_t m_Capacity;
  std::unordered_map<RequestId, Retirement> m_Ids;
  std::deque<RequestId> m_Order;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_RETIRED_IDS_H
