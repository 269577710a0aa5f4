/// \file
/// Admitted requests that wait for a slot, in the order in which they start.
#ifndef DANDELIONFALL_CORE_GATE_REQUEST_QUEUE_H
#define DANDELIONFALL_CORE_GATE_REQUEST_QUEUE_H

#include "core/gate/urgency.h"
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
  ByDeadline, ///< Requests in time before late ones; within each group by
              ///< rank, then by soft deadline, equal ones by arrival.
  ByArrival,  ///< First come, first served.
};

/// An admitted request that has not started.
struct QueuedRequest {
  RequestId m_Id;
  TimePoint m_Deadline;
  /// Ascending number of the admission.
  std::uint64_t m_Arrival = 0;
  /// Time after which the response counts as late; at most the deadline.
  TimePoint m_SoftDeadline;
  /// Whether the response is expected after the soft deadline; requests in time
  /// start first.
  bool m_Late = false;
  /// Kind of the request; service times are estimated for each kind.
  std::string m_Kind;
  /// Expected service time at admission.
  Duration m_Expected{0};
  /// Whether it was admitted to learn the service time of its kind, which the
  /// gate expects to be longer.
  bool m_Probe = false;
  /// Rank with which it competes, see `ServedShares`.
  Rank m_Rank = 0;
  /// Rank that its ingress gave it.
  Rank m_OwnRank = 0;
  /// Whether its deadline is the end of its ingress or of this gate, which the
  /// decision to admit it did not know.
  bool m_EndsEarly = false;
  friend bool operator==(const QueuedRequest &,
                         const QueuedRequest &) = default;
};

/// Waiting requests in the order in which they start.
class RequestQueue {
public:
  explicit RequestQueue(QueueOrder Order) : m_Requests(StartOrder{Order}) {}

  void push(const QueuedRequest &Request) { m_Requests.insert(Request); }
  /// Shortens the deadlines that are later.
  /// \param Of the ingress whose requests are meant; all if unset.
  void limitDeadlines(TimePoint Latest,
                      const std::optional<Incarnation> &Of = std::nullopt);
  /// \returns whether deadlines of waiting requests were shortened.
  bool hasEarlyEnds() const;
  /// Removes a request if it is in the queue.
  void remove(const RequestId &Id);
  /// Removes and returns the next request; the queue must not be empty.
  QueuedRequest pop();
  /// Removes and returns all requests with a passed deadline.
  std::vector<QueuedRequest> takeExpired(TimePoint Now);
  /// Removes and returns all requests.
  std::vector<QueuedRequest> takeAll();
  /// \returns the requests in the order of the queue.
  std::vector<QueuedRequest> requests() const {
    return {m_Requests.begin(), m_Requests.end()};
  }
  /// Removes and returns the requests that would miss their deadline if they
  /// started now.
  std::vector<QueuedRequest> takeInfeasible(TimePoint Now);
  /// \returns when the next request expires or can no longer meet its deadline.
  std::optional<TimePoint> nextChange() const;
  /// \returns the number of requests that are at least as urgent as a rank.
  std::uint32_t countUpTo(Rank Least) const;
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
      return std::tuple(Left.m_Late, Left.m_Rank, Left.m_SoftDeadline,
                        Left.m_Arrival) < std::tuple(Right.m_Late, Right.m_Rank,
                                                     Right.m_SoftDeadline,
                                                     Right.m_Arrival);
    }
  };

  static TimePoint latestStart(const QueuedRequest &Request);

  std::set<QueuedRequest, StartOrder> m_Requests;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_REQUEST_QUEUE_H
