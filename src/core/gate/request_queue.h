/// \file
/// Admitted requests that wait for a slot, in the order in which they start.
#ifndef DANDELIONFALL_CORE_GATE_REQUEST_QUEUE_H
#define DANDELIONFALL_CORE_GATE_REQUEST_QUEUE_H

#include "dandelionfall/core/identity.h"
#include "dandelionfall/core/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace dandelionfall::core::gate {

/// Order in which waiting requests start.
enum class QueueOrder : std::uint8_t {
  ByDeadline, ///< In time first, late ones after them; in both the earliest
              ///< due time first, equal ones by arrival.
  ByArrival,  ///< First come, first served.
};

/// A request that waits.
struct QueuedRequest {
  RequestId m_Id;
  TimePoint m_Deadline;
  /// Ascending number of the admission.
  std::uint64_t m_Arrival = 0;
  /// When the answer is wanted; no later than the deadline.
  TimePoint m_SoftDeadline;
  /// Whether the answer will come later than wanted; others go first then.
  bool m_Late = false;
  /// Kind of the request, as its service time is known by.
  std::string m_Kind;
  /// Service time that was expected when it was admitted.
  Duration m_Expected{0};
  friend bool operator==(const QueuedRequest &,
                         const QueuedRequest &) = default;
};

/// Waiting requests in order.
class RequestQueue {
public:
  explicit RequestQueue(QueueOrder Order) : m_Requests(StartOrder{Order}) {}

  /// Adds a request.
  void push(const QueuedRequest &Request) { m_Requests.insert(Request); }
  /// Removes a request, if it waits.
  void remove(const RequestId &Id);
  /// Takes the next request out; the queue must not be empty.
  QueuedRequest pop();
  /// Takes all requests out whose deadline has passed.
  std::vector<QueuedRequest> takeExpired(TimePoint Now);
  /// Takes all requests out.
  std::vector<QueuedRequest> takeAll();
  /// \returns the requests in the order of the queue.
  std::vector<QueuedRequest> requests() const {
    return {m_Requests.begin(), m_Requests.end()};
  }
  /// Takes the late requests out that would miss their deadline if they were
  /// begun now.
  std::vector<QueuedRequest> takeInfeasible(TimePoint Now);
  /// \returns when a request expires or becomes hopeless.
  std::optional<TimePoint> nextChange() const;
  bool empty() const { return m_Requests.empty(); }
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(m_Requests.size());
  }

private:
  struct StartOrder {
    QueueOrder m_Order;
    bool operator()(const QueuedRequest &Left,
                    const QueuedRequest &Right) const {
      if (m_Order == QueueOrder::ByArrival)
        return Left.m_Arrival < Right.m_Arrival;
      return std::tuple(Left.m_Late, Left.m_SoftDeadline, Left.m_Arrival) <
             std::tuple(Right.m_Late, Right.m_SoftDeadline, Right.m_Arrival);
    }
  };

  static TimePoint latestStart(const QueuedRequest &Request);

  std::set<QueuedRequest, StartOrder> m_Requests;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_REQUEST_QUEUE_H
