#include "dandelionfall/core/error.h"
#include "net/http_client_connection.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace dandelionfall::net {

namespace {

using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds SweepInterval{1};

} // namespace

ExchangeId HttpClient::Impl::send(core::HttpRequest Request,
                                  core::Duration Timeout, bool Idempotent,
                                  Callback Done) {
  Exchange Next;
  Next.m_Id = ++m_LastId;
  Next.m_Deadline = Clock::now() + Timeout;
  Next.m_Idempotent = Idempotent;
  Next.m_IsHead = Request.m_Method == "HEAD";
  Next.m_Done = std::move(Done);
  try {
    Next.m_Request = std::make_shared<const BeastRequest>(
        toBeast(std::move(Request), m_Options.m_Address));
  } catch (const core::Error &Fault) {
    postResult(std::move(Next),
               {ExchangeOutcome::Unsendable, nullptr, Fault.fault()});
    return m_LastId;
  }
  m_Queue.push_back(std::move(Next));
  startQueued();
  return m_LastId;
}

void HttpClient::Impl::startQueued() {
  while (!m_Queue.empty() && !m_Stopped) {
    ConnectionPtr Chosen;
    const bool HasTime = Clock::now() < m_Queue.front().m_Deadline;
    if (HasTime) {
      Chosen = acquireConnection(m_Queue.front());
      if (Chosen == nullptr)
        break;
    }
    Exchange Next = std::move(m_Queue.front());
    m_Queue.pop_front();
    if (!HasTime) {
      postNotSent(std::move(Next), "timed out before it was sent");
      continue;
    }
    m_Running.emplace(Next.m_Id, Chosen);
    Chosen->run(std::move(Next));
  }
  armQueueTimer();
}

// Returns null if all connections are in use and the pool is full.
HttpClient::Impl::ConnectionPtr
HttpClient::Impl::acquireConnection(const Exchange &Next) {
  if (ConnectionPtr Idle = acquireIdle(Next))
    return Idle;
  if (m_Open.size() >= m_Options.m_MaxConnections) {
    if (m_Idle.empty())
      return nullptr;
    // The idle ones can't be reused for this request; close the oldest to stay
    // within the limit.
    const ConnectionPtr Old = m_Idle.front();
    m_Idle.erase(m_Idle.begin());
    Old->close();
    removeConnection(Old);
  }
  m_Open.push_back(std::make_shared<Connection>(shared_from_this()));
  return m_Open.back();
}

void HttpClient::Impl::armQueueTimer() {
  if (m_Queue.empty() || m_Stopped) {
    m_QueueTimer.cancel();
    return;
  }
  const auto First =
      std::min_element(m_Queue.begin(), m_Queue.end(),
                       [](const Exchange &Left, const Exchange &Right) {
                         return Left.m_Deadline < Right.m_Deadline;
                       });
  m_QueueTimer.expires_at(First->m_Deadline);
  m_QueueTimer.async_wait([Self = shared_from_this()](error_code Code) {
    if (!Code)
      Self->expireQueued();
  });
}

void HttpClient::Impl::expireQueued() {
  const auto Now = Clock::now();
  const auto Expired = std::stable_partition(
      m_Queue.begin(), m_Queue.end(),
      [Now](const Exchange &Each) { return Now < Each.m_Deadline; });
  for (auto Each = Expired; Each != m_Queue.end(); ++Each)
    postNotSent(std::move(*Each), "timed out before a connection was free");
  m_Queue.erase(Expired, m_Queue.end());
  armQueueTimer();
}

void HttpClient::Impl::postNotSent(Exchange Ended, const std::string &Detail) {
  postResult(std::move(Ended), {ExchangeOutcome::NotSent, nullptr, Detail});
}

void HttpClient::Impl::postResult(Exchange Ended, HttpResult Result) {
  auto Shared = std::make_shared<Exchange>(std::move(Ended));
  boost::asio::post(m_Context, [Self = shared_from_this(), Shared,
                                Result = std::move(Result)] {
    Self->finish(*Shared, Result);
  });
}

HttpClient::Impl::ConnectionPtr
HttpClient::Impl::acquireIdle(const Exchange &Next) {
  // The most recently used connection first.
  for (std::size_t Index = m_Idle.size(); Index > 0; --Index) {
    ConnectionPtr Candidate = m_Idle[Index - 1];
    if (Candidate->hasFailed(*Next.m_Request))
      continue;
    if (!Next.m_Idempotent && !Candidate->acceptsNonIdempotent())
      return nullptr;
    m_Idle.erase(m_Idle.begin() + static_cast<std::ptrdiff_t>(Index - 1));
    if (Candidate->isWithinIdleLimit() && Candidate->looksAlive())
      return Candidate;
    // Servers close connections after a long idle time; only an early close
    // indicates that the server itself stopped or restarted.
    if (Candidate->isIdleLessThan(m_Options.m_MaxIdleNonIdempotent) &&
        m_Options.m_IdleClosedEarly)
      boost::asio::post(m_Context, m_Options.m_IdleClosedEarly);
    Candidate->close();
    removeConnection(Candidate);
  }
  return nullptr;
}

void HttpClient::Impl::release(const ConnectionPtr &Released) {
  m_Idle.push_back(Released);
}

void HttpClient::Impl::removeConnection(const ConnectionPtr &Removed) {
  m_Open.erase(std::remove(m_Open.begin(), m_Open.end(), Removed),
               m_Open.end());
}

void HttpClient::Impl::finish(Exchange &Ended, const HttpResult &Result) {
  if (m_Stopped)
    return;
  Ended.m_Done(Result);
}

void HttpClient::Impl::cancel(ExchangeId Id) {
  const auto Found = m_Running.find(Id);
  if (Found != m_Running.end()) {
    const ConnectionPtr Running = Found->second;
    boost::asio::post(m_Context, [Running, Self = shared_from_this(), Id] {
      if (Self->m_Running.contains(Id))
        Running->abort(ExchangeOutcome::Cancelled, "cancelled");
    });
    return;
  }
  const auto Queued =
      std::find_if(m_Queue.begin(), m_Queue.end(),
                   [Id](const Exchange &Each) { return Each.m_Id == Id; });
  if (Queued == m_Queue.end())
    return;
  postNotSent(std::move(*Queued), "cancelled");
  m_Queue.erase(Queued);
  armQueueTimer();
}

void HttpClient::Impl::sweep() {
  m_Sweep.expires_after(SweepInterval);
  m_Sweep.async_wait([Self = shared_from_this()](error_code Code) {
    if (Code)
      return;
    // m_Idle is ordered by idle time, longest first.
    while (!Self->m_Idle.empty() &&
           !Self->m_Idle.front()->isWithinIdleLimit()) {
      const ConnectionPtr Old = Self->m_Idle.front();
      Self->m_Idle.erase(Self->m_Idle.begin());
      Old->close();
      Self->removeConnection(Old);
    }
    Self->sweep();
  });
}

void HttpClient::Impl::stop() {
  m_Stopped = true;
  m_Sweep.cancel();
  m_QueueTimer.cancel();
  m_Queue.clear();
  m_Idle.clear();
  for (const ConnectionPtr &Each : std::exchange(m_Open, {}))
    Each->close();
  m_Running.clear();
}

HttpClient::HttpClient(boost::asio::io_context &Context,
                       HttpClientOptions Options)
    : m_Impl(std::make_shared<Impl>(Context, std::move(Options))) {
  m_Impl->sweep();
}

HttpClient::~HttpClient() { m_Impl->stop(); }

ExchangeId HttpClient::send(core::HttpRequest Request, core::Duration Timeout,
                            bool Idempotent, Callback Done) {
  return m_Impl->send(std::move(Request), Timeout, Idempotent, std::move(Done));
}

void HttpClient::cancel(ExchangeId Id) { m_Impl->cancel(Id); }

std::size_t HttpClient::connections() const { return m_Impl->m_Open.size(); }

} // namespace dandelionfall::net
