#include "core/gate/request_queue.h"

#include <algorithm>

namespace dandelionfall::core::gate {

QueuedRequest RequestQueue::pop() {
  const QueuedRequest Next = *m_Requests.begin();
  m_Requests.erase(m_Requests.begin());
  return Next;
}

std::vector<QueuedRequest> RequestQueue::takeExpired(TimePoint Now) {
  std::vector<QueuedRequest> Expired;
  for (const QueuedRequest &Request : m_Requests) {
    if (Request.m_Deadline <= Now)
      Expired.push_back(Request);
  }
  for (const QueuedRequest &Request : Expired)
    m_Requests.erase(Request);
  return Expired;
}

std::vector<QueuedRequest> RequestQueue::takeAll() {
  std::vector<QueuedRequest> All(m_Requests.begin(), m_Requests.end());
  m_Requests.clear();
  return All;
}

std::optional<TimePoint> RequestQueue::earliestDeadline() const {
  std::optional<TimePoint> Earliest;
  for (const QueuedRequest &Request : m_Requests) {
    if (!Earliest || Request.m_Deadline < *Earliest)
      Earliest = Request.m_Deadline;
  }
  return Earliest;
}

} // namespace dandelionfall::core::gate
