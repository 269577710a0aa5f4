// Begin of a connection's requests, their responses, and the connection's end.
#include "dandelionfall/core/error.h"
#include "net/http_session.h"

#include <boost/beast/http/write.hpp>

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <utility>

namespace dandelionfall::net {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::seconds WriteTimeout{30};
/// Maximum time for which a finished connection stays open while its caller
/// receives.
constexpr std::chrono::seconds MaxLinger{30};
/// The same if its host has acknowledged everything already.
constexpr std::chrono::milliseconds DeliveredLinger{1000};
constexpr std::size_t DiscardBytes = 1U << 16U;
constexpr std::uint64_t MinBytesToDiscard = 1U << 20U;

/// \returns the bytes that the other side has not acknowledged.
int unacknowledgedBytes(tcp::socket &Socket) {
  int Bytes = 0;
  return ::ioctl(Socket.native_handle(), SIOCOUTQ, &Bytes) == 0 ? Bytes : 0;
}

} // namespace

core::HttpResponse makeTextResponse(http::status Status, std::string Text) {
  core::HttpResponse Result;
  Result.m_Status = static_cast<std::uint32_t>(Status);
  Result.m_Fields.push_back({"Content-Type", "text/plain"});
  Result.m_Body = std::move(Text) + "\n";
  return Result;
}

void HttpServer::Impl::Session::beginHeld() {
  AnswerQueue::Request &Traits = m_Held->m_Traits;
  if (!m_Answers.mayBegin(Traits.m_MayRunBeside))
    return watch();
  const bool RunsBeside = !m_Answers.empty();
  if (m_WaitsSince != Clock::time_point{})
    Traits.m_Held = std::chrono::duration_cast<core::Duration>(
        Clock::now() - std::exchange(m_WaitsSince, {}));
  const core::CallId Call = ++m_Owner->m_LastCall;
  Traits.m_Call = Call;
  m_Answers.begin(Traits);
  m_Owner->m_Unanswered.emplace(Call, shared_from_this());
  m_State = Traits.m_KeepAlive ? State::Waiting : State::Ended;
  auto Request = std::move(m_Held->m_Request);
  m_Held.reset();
  readOn();
  if (RunsBeside && m_Owner->m_Handlers.m_RunsBeside)
    m_Owner->m_Handlers.m_RunsBeside(Call);
  m_Owner->m_Handlers.m_Request(Call, std::move(Request));
}

void HttpServer::Impl::Session::answer(core::CallId Call,
                                       core::HttpResponse Response,
                                       std::shared_ptr<const void> Content) {
  if (m_Answers.answer(Call, std::move(Response), std::move(Content)))
    writeNext();
}

void HttpServer::Impl::Session::endWith(core::HttpResponse Last) {
  m_State = State::Ended;
  m_Answers.end(std::move(Last));
  writeNext();
}

void HttpServer::Impl::Session::startWrite() {
  m_Writing = true;
  m_WriteDeadline = Clock::now() + WriteTimeout;
}

void HttpServer::Impl::Session::writeNext() {
  if (m_Writing || !m_Answers.hasNext())
    return;
  startWrite();
  AnswerQueue::Outgoing Next = m_Answers.next();
  m_CloseAfterWrite = Next.m_Close;
  m_Response.emplace(convert(std::move(Next)));
  http::async_write(m_Socket, *m_Response,
                    [Self = shared_from_this()](error_code Code, std::size_t) {
                      Self->onWritten(Code);
                    });
}

BeastResponse HttpServer::Impl::Session::convert(AnswerQueue::Outgoing Next) {
  try {
    return toBeast(std::move(Next.m_Response), Next.m_IsHead, !Next.m_Close);
  } catch (const core::Error &Fault) {
    if (m_Owner->m_Handlers.m_Unsendable)
      m_Owner->m_Handlers.m_Unsendable(Next.m_Call, Fault.fault());
    return toBeast(makeTextResponse(http::status::bad_gateway,
                                    "the response " + Fault.fault()),
                   Next.m_IsHead, !Next.m_Close);
  }
}

void HttpServer::Impl::Session::onWritten(error_code Code) {
  if (m_State == State::Closed)
    return;
  m_Writing = false;
  if (Code)
    return close();
  m_Response.reset();
  m_Answers.onWritten();
  if (m_CloseAfterWrite || (m_Answers.empty() && m_State == State::Ended))
    return finish();
  writeNext();
  readOn();
}

// A socket that is closed with unread bytes, or gets some afterwards, resets
// the connection, and the caller loses what it has not received yet. So the
// connection stays open until the caller closes its side.
void HttpServer::Impl::Session::finish() {
  m_State = State::Discarding;
  m_Unacknowledged = unacknowledgedBytes(m_Socket);
  error_code Ignored;
  m_Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  cancelCalls();
  m_Held.reset();
  m_Room.cancel();
  const HttpServerOptions &Options = m_Owner->m_Options;
  m_BytesToDiscard = std::max(Options.m_MaxBodyBytes, MinBytesToDiscard);
  const auto Now = Clock::now();
  m_Deadline =
      Now + (m_Unacknowledged > 0 ? Options.m_LingerTimeout : DeliveredLinger);
  m_LingerEnd = Now + MaxLinger;
  if (!m_ReadInFlight)
    return discardRest();
  m_Socket.cancel(Ignored);
}

// A slow caller may take the whole time for what it has yet to receive.
void HttpServer::Impl::Session::endLinger(Clock::time_point Now) {
  const int Remaining = unacknowledgedBytes(m_Socket);
  if (Remaining < m_Unacknowledged && Now < m_LingerEnd) {
    m_Unacknowledged = Remaining;
    m_Deadline =
        std::min(Now + m_Owner->m_Options.m_LingerTimeout, m_LingerEnd);
    return;
  }
  if (Remaining > 0 && m_Owner->m_Handlers.m_Undelivered)
    m_Owner->m_Handlers.m_Undelivered(static_cast<std::size_t>(Remaining));
  close();
}

void HttpServer::Impl::Session::discardRest() {
  m_Buffer.clear();
  m_Socket.async_read_some(
      m_Buffer.prepare(std::min(m_Buffer.max_size(), DiscardBytes)),
      [Self = shared_from_this()](error_code Code, std::size_t Count) {
        if (Self->m_State != State::Discarding)
          return;
        if (Code || Count > Self->m_BytesToDiscard)
          return Self->close();
        Self->m_BytesToDiscard -= Count;
        Self->discardRest();
      });
}

void HttpServer::Impl::Session::close() {
  if (m_State == State::Closed)
    return;
  m_State = State::Closed;
  error_code Ignored;
  m_Socket.close(Ignored);
  m_Room.cancel();
  m_Held.reset();
  cancelCalls();
  m_Owner->m_Sessions.erase(this);
}

// All calls are forgotten before the first is reported, since the owner may
// respond to another one meanwhile.
void HttpServer::Impl::Session::cancelCalls() {
  const std::vector<core::CallId> Calls = m_Answers.cancel();
  for (const core::CallId Each : Calls)
    m_Owner->m_Unanswered.erase(Each);
  if (!m_Owner->m_Handlers.m_CallerDisconnected)
    return;
  for (const core::CallId Each : Calls)
    m_Owner->m_Handlers.m_CallerDisconnected(Each);
}

void HttpServer::Impl::Session::checkTime(Clock::time_point Now) {
  if (m_Writing && Now >= m_WriteDeadline)
    return close();
  const bool IsLate = Now >= m_Deadline;
  if (IsLate && m_State == State::AwaitingRoom)
    return rejectForRoom();
  if (IsLate && m_State == State::Reading)
    return reject(http::status::request_timeout,
                  "the request did not come in time");
  if (IsLate && m_State == State::Discarding)
    return endLinger(Now);
  if (IsLate)
    finishIfIdle();
  if (hasCallerLeft())
    close();
}

// The wait for input doesn't show a disconnect behind bytes that are not read.
bool HttpServer::Impl::Session::hasCallerLeft() {
  if (!m_Owner->m_Handlers.m_MayRunBeside || m_Answers.open() == 0 ||
      m_Watching || m_State == State::Reading)
    return false;
  pollfd Query{m_Socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&Query, 1, 0) > 0;
}

void HttpServer::Impl::Session::finishIfIdle() {
  if (m_State == State::Waiting && m_Answers.empty())
    finish();
}

} // namespace dandelionfall::net
