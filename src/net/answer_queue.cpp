#include "net/answer_queue.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::net {

bool AnswerQueue::takesMore() const {
  if (m_Ended)
    return false;
  if (m_Entries.empty())
    return true;
  return m_Entries.back().m_Request.m_MayRunBeside &&
         !m_Totals.m_KeepAliveDisabled &&
         m_Entries.size() < m_Limits.m_MaxRequests &&
         m_Bytes < m_Limits.m_MaxBytes &&
         m_Totals.m_Requests < m_Limits.m_MaxTotalRequests &&
         m_Totals.m_Bytes < m_Limits.m_MaxTotalBytes;
}

bool AnswerQueue::mayBegin(bool MayRunBeside) const {
  return takesMore() && (MayRunBeside || m_Entries.empty());
}

void AnswerQueue::begin(const Request &Begun) {
  ++m_Open;
  append({.m_Request = Begun});
  m_Ended = !Begun.m_KeepAlive;
}

void AnswerQueue::end(core::HttpResponse Last) {
  Entry Added{.m_Request = {.m_KeepAlive = false}};
  setResponse(Added, std::move(Last));
  append(std::move(Added));
  m_Ended = true;
}

bool AnswerQueue::answer(core::CallId Call, core::HttpResponse Response,
                         std::shared_ptr<const void> Content) {
  const auto Found =
      std::find_if(m_Entries.begin(), m_Entries.end(), [&](const Entry &Each) {
        return !Each.m_Answered && Each.m_Request.m_Call == Call;
      });
  if (Found == m_Entries.end())
    return false;
  --m_Open;
  setResponse(*Found, std::move(Response));
  Found->m_Content = std::move(Content);
  return true;
}

bool AnswerQueue::hasNext() const {
  return !m_Entries.empty() && m_Entries.front().m_Response.has_value();
}

AnswerQueue::Outgoing AnswerQueue::next() {
  Entry &First = m_Entries.front();
  const bool IsLast = m_Totals.m_KeepAliveDisabled && m_Entries.size() == 1;
  Outgoing Result{First.m_Request.m_Call, std::move(*First.m_Response),
                  First.m_Request.m_IsHead,
                  !First.m_Request.m_KeepAlive || IsLast};
  First.m_Response.reset();
  m_Ended = m_Ended || Result.m_Close;
  return Result;
}

void AnswerQueue::onWritten() { removeFirst(); }

std::vector<core::CallId> AnswerQueue::cancel() {
  std::vector<core::CallId> Calls;
  while (!m_Entries.empty()) {
    const Entry &First = m_Entries.front();
    if (!First.m_Answered)
      Calls.push_back(First.m_Request.m_Call);
    removeFirst();
  }
  m_Open = 0;
  return Calls;
}

core::Duration AnswerQueue::timeHeld(core::CallId Call) const {
  for (const Entry &Each : m_Entries) {
    if (Each.m_Request.m_Call == Call)
      return Each.m_Request.m_Held;
  }
  return core::Duration{0};
}

void AnswerQueue::append(Entry Added) {
  ++(m_Entries.empty() ? m_Totals.m_BusyConnections : m_Totals.m_Requests);
  m_Entries.push_back(std::move(Added));
}

void AnswerQueue::removeFirst() {
  m_Bytes -= m_Entries.front().m_Bytes;
  m_Totals.m_Bytes -= m_Entries.front().m_Bytes;
  m_Entries.pop_front();
  --(m_Entries.empty() ? m_Totals.m_BusyConnections : m_Totals.m_Requests);
}

void AnswerQueue::setResponse(Entry &Answered, core::HttpResponse Response) {
  Answered.m_Answered = true;
  Answered.m_Bytes = core::sizeOf(Response);
  m_Bytes += Answered.m_Bytes;
  m_Totals.m_Bytes += Answered.m_Bytes;
  Answered.m_Response = std::move(Response);
}

} // namespace dandelionfall::net
