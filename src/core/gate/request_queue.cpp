#include "core/gate/request_queue.h"

#include <algorithm>

namespace dandelionfall::core::gate {

QueuedRequest RequestQueue::pop() {
  QueuedRequest Next = *m_Requests.begin();
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

std::vector<QueuedRequest> RequestQueue::takeInfeasible(TimePoint Now) {
  std::vector<QueuedRequest> Infeasible;
  for (const QueuedRequest &Request : m_Requests) {
    if (latestStart(Request) < Now)
      Infeasible.push_back(Request);
  }
  for (const QueuedRequest &Request : Infeasible)
    m_Requests.erase(Request);
  return Infeasible;
}

void RequestQueue::limitDeadlines(TimePoint Latest,
                                  const std::optional<Incarnation> &Of) {
  for (QueuedRequest Request : requests()) {
    if (Request.m_Deadline <= Latest || (Of && Request.m_Id.m_Ingress != *Of))
      continue;
    m_Requests.erase(Request);
    Request.m_Deadline = Latest;
    Request.m_SoftDeadline = std::min(Request.m_SoftDeadline, Latest);
    Request.m_EndsEarly = true;
    m_Requests.insert(std::move(Request));
  }
}

bool RequestQueue::hasEarlyEnds() const {
  return std::any_of(
      m_Requests.begin(), m_Requests.end(),
      [](const QueuedRequest &Each) { return Each.m_EndsEarly; });
}

void RequestQueue::remove(const RequestId &Id) {
  std::erase_if(m_Requests, [&Id](const QueuedRequest &Request) {
    return Request.m_Id == Id;
  });
}

std::optional<TimePoint> RequestQueue::nextChange() const {
  std::optional<TimePoint> Earliest;
  for (const QueuedRequest &Request : m_Requests) {
    const TimePoint Change =
        std::min(latestStart(Request) + Duration{1}, Request.m_Deadline);
    if (!Earliest || Change < *Earliest)
      Earliest = Change;
  }
  return Earliest;
}

std::uint32_t RequestQueue::countUpTo(Rank Least) const {
  return static_cast<std::uint32_t>(std::count_if(
      m_Requests.begin(), m_Requests.end(),
      [&](const QueuedRequest &Each) { return Each.m_Rank <= Least; }));
}

TimePoint RequestQueue::latestStart(const QueuedRequest &Request) {
  return Request.m_Deadline - Request.m_Expected;
}

} // namespace dandelionfall::core::gate
