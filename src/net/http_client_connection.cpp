#include "net/http_client_connection.h"

#include "net/socket_options.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace dandelionfall::net {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Safety margin before the server's keep-alive timeout within which an idle
/// connection is not reused, because the server's FIN may already be in flight.
constexpr std::chrono::milliseconds IdleMargin{1000};

/// Failed requests that a connection remembers; it is closed after as many.
constexpr std::size_t MaxFailedRequests = 64;

/// Responses that may precede the one to the request. A server that sends
/// more would keep the thread busy until the exchange times out.
constexpr std::size_t MaxDiscardedResponses = 32;

/// Bytes read at a time of a body that is larger than this.
constexpr std::size_t LargeReadBytes = 16U << 10U;

bool exceedsLimit(const ResponseParser &Response,
                  const HttpClientOptions &Options) {
  const auto Length = Response.content_length();
  return Length.has_value() && *Length > Options.m_MaxBodyBytes;
}

// Checks a response header before the body is read.
std::optional<std::string> findFault(const ResponseParser &Response,
                                     bool IsHead,
                                     const HttpClientOptions &Options) {
  const unsigned Status = Response.get().result_int();
  if (Response.get().result() == http::status::switching_protocols)
    return "the response switches protocols";
  if (core::isInterimStatus(Status)) {
    // The content would be read as the next response.
    if (Response.chunked() || Response.content_length().value_or(0) > 0)
      return "an interim response has content";
    return std::nullopt;
  }
  if (!core::isFinalStatus(Status))
    return "the status " + std::to_string(Status) + " is invalid";
  if (IsHead)
    return std::nullopt;
  // Without a length, a truncated response looks the same as a complete one.
  if (Response.need_eof() && !Options.m_AllowCloseDelimited)
    return "the response has no stated length";
  // Beast does not check a stated length against the body limit.
  if (exceedsLimit(Response, Options))
    return "the response is larger than " +
           std::to_string(Options.m_MaxBodyBytes) + " bytes";
  return std::nullopt;
}

} // namespace

void HttpClient::Impl::Connection::run(Exchange Next) {
  m_Exchange.emplace(std::move(Next));
  m_Sent = false;
  m_Discarded = 0;
  if (m_Connected) {
    startTimer(m_Exchange->m_Deadline, ExchangeOutcome::TimedOut);
    return write();
  }
  const auto ConnectDeadline =
      Clock::now() + m_Owner->m_Options.m_ConnectTimeout;
  startTimer(std::min(ConnectDeadline, m_Exchange->m_Deadline),
             ExchangeOutcome::NotSent);
  m_Socket.async_connect(m_Owner->m_Endpoint,
                         [Self = shared_from_this()](error_code Code) {
                           Self->onConnected(Code);
                         });
}

void HttpClient::Impl::Connection::abort(ExchangeOutcome Outcome,
                                         const std::string &Detail) {
  finish({m_Sent ? Outcome : ExchangeOutcome::NotSent, nullptr, Detail}, false);
}

// A connection closed by the server is readable: a read returns the end of the
// stream. Unsolicited bytes make it readable, too.
bool HttpClient::Impl::Connection::looksAlive() {
  char Byte = 0;
  error_code Code;
  m_Socket.non_blocking(true, Code);
  if (!Code)
    m_Socket.receive(boost::asio::buffer(&Byte, 1), tcp::socket::message_peek,
                     Code);
  return Code == boost::asio::error::would_block;
}

bool HttpClient::Impl::Connection::isIdleLessThan(
    std::chrono::milliseconds Age) const {
  return Clock::now() - m_LastResponse < Age;
}

bool HttpClient::Impl::Connection::isWithinIdleLimit() const {
  if (m_KeepAliveTimeout)
    return isIdleLessThan(*m_KeepAliveTimeout -
                          std::min(*m_KeepAliveTimeout, IdleMargin));
  return isIdleLessThan(m_Owner->m_Options.m_MaxIdleTime);
}

bool HttpClient::Impl::Connection::acceptsNonIdempotent() const {
  return m_KeepAliveTimeout
             ? isWithinIdleLimit()
             : isIdleLessThan(m_Owner->m_Options.m_MaxIdleNonIdempotent);
}

void HttpClient::Impl::Connection::close() {
  error_code Ignored;
  m_Timer.cancel();
  m_Socket.close(Ignored);
  if (m_Room)
    m_Room->cancel();
}

void HttpClient::Impl::Connection::onConnected(error_code Code) {
  if (!m_Exchange.has_value())
    return;
  if (Code)
    return abort(ExchangeOutcome::NotSent, "connect: " + Code.message());
  if (Clock::now() >= m_Exchange->m_Deadline)
    return abort(ExchangeOutcome::NotSent, "timed out");
  m_Connected = true;
  m_Socket.set_option(tcp::no_delay(true), Code);
  const auto UserTimeout = m_Owner->m_Options.m_TcpUserTimeout;
  if (UserTimeout.count() > 0)
    setTcpUserTimeout(m_Socket, UserTimeout);
  startTimer(m_Exchange->m_Deadline, ExchangeOutcome::TimedOut);
  write();
}

void HttpClient::Impl::Connection::startTimer(Clock::time_point Deadline,
                                              ExchangeOutcome Outcome) {
  m_Timer.expires_at(Deadline);
  m_Timer.async_wait([Self = shared_from_this(), Outcome,
                      Number = ++m_TimerNumber](error_code Code) {
    if (!Code && Self->m_Exchange.has_value() && Number == Self->m_TimerNumber)
      Self->abort(Outcome, Self->m_Room && Self->m_Room->isWaiting()
                               ? "timed out waiting for memory"
                               : "timed out");
  });
}

void HttpClient::Impl::Connection::write() {
  // From here on bytes may reach the server, even if the write fails later.
  m_Sent = true;
  http::async_write(
      m_Socket, *m_Exchange->m_Request,
      [Self = shared_from_this(),
       Written = m_Exchange->m_Request](error_code Code, std::size_t Count) {
        Self->onWritten(Code, Count);
      });
}

void HttpClient::Impl::Connection::onWritten(error_code Code,
                                             std::size_t Count) {
  if (!m_Exchange.has_value())
    return;
  if (Code) {
    m_Sent = Count > 0;
    return abort(ExchangeOutcome::Reset, "write: " + Code.message());
  }
  read();
}

void HttpClient::Impl::Connection::read() {
  m_Parser.emplace();
  m_Parser->body_limit(m_Owner->m_Options.m_MaxBodyBytes);
  if (m_Exchange->m_IsHead)
    m_Parser->skip(true);
  http::async_read_header(
      m_Socket, m_Buffer, *m_Parser,
      [Self = shared_from_this()](error_code Code, std::size_t) {
        Self->onHeader(Code);
      });
}

void HttpClient::Impl::Connection::onHeader(error_code Code) {
  if (!m_Exchange.has_value())
    return;
  if (Code)
    return failRead(Code);
  if (auto Fault =
          findFault(*m_Parser, m_Exchange->m_IsHead, m_Owner->m_Options))
    return finish({ExchangeOutcome::Malformed, nullptr, std::move(*Fault),
                   exceedsLimit(*m_Parser, m_Owner->m_Options)},
                  false);
  if (core::isInterimStatus(m_Parser->get().result_int()))
    return readNextResponse();
  readBody();
}

void HttpClient::Impl::Connection::readNextResponse() {
  if (++m_Discarded > MaxDiscardedResponses)
    return abort(ExchangeOutcome::Malformed,
                 "too many responses before the one to the request");
  read();
}

void HttpClient::Impl::Connection::readBody() {
  const HttpClientOptions &Options = m_Owner->m_Options;
  if (Options.m_BodySilenceTimeout.count() > 0)
    return readSomeBody(Clock::now() + Options.m_MaxBodyTime);
  if (m_Room)
    return reserveAndRead();
  http::async_read(
      m_Socket, m_Buffer, *m_Parser,
      [Self = shared_from_this()](error_code BodyCode, std::size_t) {
        Self->onRead(BodyCode);
      });
}

void HttpClient::Impl::Connection::reserveAndRead() {
  if (m_Parser->is_done())
    return onRead({});
  std::optional<std::uint64_t> Length;
  if (const auto Stated = m_Parser->content_length())
    Length = *Stated;
  onRoom(m_Room->start(Length, [Self = shared_from_this()] {
    Self->onRoom(ResponseRoom::State::Reserved);
  }));
}

// While the response waits for room, the connection is not read, so that the
// server's sending stops.
void HttpClient::Impl::Connection::onRoom(ResponseRoom::State Room) {
  if (!m_Exchange.has_value() || Room == ResponseRoom::State::Waiting)
    return;
  if (Room == ResponseRoom::State::NeverFits)
    return finish({ExchangeOutcome::Malformed, nullptr,
                   "the response is larger than the memory for responses",
                   true},
                  false);
  if (m_Room->bodyBytes() > LargeReadBytes)
    m_Buffer.reserve(LargeReadBytes);
  m_Parser->get().body().reserve(m_Room->bodyBytes());
  readIntoRoom();
}

void HttpClient::Impl::Connection::readIntoRoom() {
  http::async_read_some(
      m_Socket, m_Buffer, *m_Parser,
      [Self = shared_from_this()](error_code Code, std::size_t) {
        if (!Self->m_Exchange.has_value())
          return;
        if (Code)
          return Self->failRead(Code);
        Self->onBodyInRoom();
      });
}

void HttpClient::Impl::Connection::onBodyInRoom() {
  if (m_Parser->is_done())
    return onRead({});
  const std::uint64_t Room = m_Room->bodyBytes();
  if (m_Parser->content_length() || m_Parser->get().body().size() < Room ||
      Room >= m_Owner->m_Options.m_MaxBodyBytes)
    return readIntoRoom();
  onRoom(m_Room->grow([Self = shared_from_this()] {
    Self->onRoom(ResponseRoom::State::Reserved);
  }));
}

void HttpClient::Impl::Connection::readSomeBody(Clock::time_point End) {
  if (m_Parser->is_done())
    return onRead({});
  startTimer(
      std::min(Clock::now() + m_Owner->m_Options.m_BodySilenceTimeout, End),
      ExchangeOutcome::TimedOut);
  http::async_read_some(
      m_Socket, m_Buffer, *m_Parser,
      [Self = shared_from_this(), End](error_code Code, std::size_t) {
        if (!Self->m_Exchange.has_value())
          return;
        if (Code)
          return Self->failRead(Code);
        Self->readSomeBody(End);
      });
}

void HttpClient::Impl::Connection::onRead(error_code Code) {
  if (!m_Exchange.has_value())
    return;
  if (Code)
    return failRead(Code);
  if (isStaleResponse()) {
    m_SkippedResponse = true;
    if (m_Room)
      m_Room->cancel();
    return readNextResponse();
  }
  updateKeepAliveTimeout();
  recordFailure();
  // Bytes after the response would be read as the response to the next request.
  const bool Reusable = m_Parser->get().keep_alive() && m_Buffer.size() == 0 &&
                        !m_SkippedResponse &&
                        m_Failed.size() < MaxFailedRequests;
  auto Response = fromBeast(m_Parser->release());
  std::string &Body = Response->m_Body;
  if (Body.capacity() / 2 > Body.size())
    Body.shrink_to_fit();
  finish({ExchangeOutcome::Answered,
          m_Room ? m_Room->handOver(std::move(Response)) : Response, ""},
         Reusable);
}

bool HttpClient::Impl::Connection::isStaleResponse() const {
  const std::string &Name = m_Owner->m_Options.m_EchoField;
  if (Name.empty())
    return false;
  const auto Echoed = m_Parser->get().find(Name);
  return Echoed != m_Parser->get().end() &&
         Echoed->value() != (*m_Exchange->m_Request)[Name];
}

// Only a request that was not answered with success is sent again.
void HttpClient::Impl::Connection::recordFailure() {
  const std::string &Name = m_Owner->m_Options.m_EchoField;
  constexpr unsigned FirstFailure = 300;
  if (Name.empty() || m_Parser->get().result_int() < FirstFailure)
    return;
  const auto Value = (*m_Exchange->m_Request)[Name];
  m_Failed.emplace_back(Value.data(), Value.size());
}

bool HttpClient::Impl::Connection::hasFailed(
    const BeastRequest &Request) const {
  if (m_Failed.empty())
    return false;
  const auto Value = Request[m_Owner->m_Options.m_EchoField];
  return std::find(m_Failed.begin(), m_Failed.end(),
                   std::string_view(Value.data(), Value.size())) !=
         m_Failed.end();
}

void HttpClient::Impl::Connection::updateKeepAliveTimeout() {
  constexpr std::string_view Parameter = "timeout=";
  const auto Field = m_Parser->get()[http::field::keep_alive];
  const std::string_view Text(Field.data(), Field.size());
  const std::size_t Found = Text.find(Parameter);
  if (Found == std::string_view::npos)
    return;
  const char *First = Text.data() + Found + Parameter.size();
  std::uint32_t Seconds = 0;
  if (std::from_chars(First, Text.data() + Text.size(), Seconds).ec ==
      std::errc())
    m_KeepAliveTimeout = std::chrono::seconds(Seconds);
}

void HttpClient::Impl::Connection::failRead(error_code Code) {
  finish({classifyReadError(Code), nullptr, "read: " + Code.message(),
          Code == http::error::body_limit},
         false);
}

ExchangeOutcome
HttpClient::Impl::Connection::classifyReadError(error_code Code) {
  const bool Protocol =
      Code.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      Code != http::error::end_of_stream &&
      Code != http::error::partial_message;
  return Protocol ? ExchangeOutcome::Malformed : ExchangeOutcome::Reset;
}

void HttpClient::Impl::Connection::finish(const HttpResult &Result,
                                          bool Reusable) {
  if (!m_Exchange.has_value())
    return;
  const auto Self = shared_from_this();
  Exchange Ended = std::move(*m_Exchange);
  m_Exchange.reset();
  m_Timer.cancel();
  if (m_Room)
    m_Room->cancel();
  m_LastResponse = Clock::now();
  m_Owner->m_Running.erase(Ended.m_Id);
  if (Reusable) {
    m_Owner->release(Self);
  } else {
    close();
    m_Owner->removeConnection(Self);
  }
  m_Owner->finish(Ended, Result);
  m_Owner->startQueued();
}

} // namespace dandelionfall::net
