#include "dandelionfall/net/http_server.h"

#include "dandelionfall/core/error.h"
#include "dandelionfall/net/address.h"
#include "net/guarded_parser.h"
#include "net/http_conversion.h"
#include "net/request_check.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>
#include <unordered_map>
#include <utility>

namespace dandelionfall::net {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds SweepInterval{250};
constexpr std::chrono::milliseconds AcceptRetryDelay{50};
constexpr std::chrono::seconds WriteTimeout{30};
constexpr std::string_view ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

core::HttpResponse makeTextResponse(http::status Status, std::string Text) {
  core::HttpResponse Result;
  Result.m_Status = static_cast<std::uint32_t>(Status);
  Result.m_Fields.push_back({"Content-Type", "text/plain"});
  Result.m_Body = std::move(Text) + "\n";
  return Result;
}

http::status statusForParseError(error_code Code) {
  if (Code == http::error::body_limit)
    return http::status::payload_too_large;
  if (Code == http::error::header_limit)
    return http::status::request_header_fields_too_large;
  return http::status::bad_request;
}

bool isParseError(error_code Code) {
  return Code.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         Code != http::error::end_of_stream &&
         Code != http::error::partial_message;
}

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
public:
  Impl(boost::asio::io_context &Context, HttpServerOptions Options,
       HttpServerHandlers Handlers);

  void start();
  void stop();
  void startDrain();
  void respond(core::CallId Call, const core::HttpResponse &Response);

  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  void accept();
  void onAccepted(error_code Code, tcp::socket Socket);
  void sweep();

  tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_AcceptTimer;
  boost::asio::steady_timer m_SweepTimer;
  HttpServerOptions m_Options;
  HttpServerHandlers m_Handlers;
  std::unordered_map<Session *, SessionPtr> m_Sessions;
  std::unordered_map<core::CallId, SessionPtr> m_Unanswered;
  core::CallId m_LastCall = 0;
  std::size_t m_BusyCount = 0;
  bool m_KeepAliveDisabled = false;
};

/// One connection: reads a request, waits for the owner's response, writes it,
/// and repeats.
class HttpServer::Impl::Session
    : public std::enable_shared_from_this<HttpServer::Impl::Session> {
public:
  Session(std::shared_ptr<Impl> Owner, tcp::socket Socket)
      : m_Owner(std::move(Owner)), m_Socket(std::move(Socket)) {
    error_code Ignored;
    m_Socket.set_option(tcp::no_delay(true), Ignored);
  }

  void waitForRequest() {
    m_Parser.emplace();
    m_Parser->header_limit(m_Owner->m_Options.m_MaxHeaderBytes);
    m_Parser->body_limit(m_Owner->m_Options.m_MaxBodyBytes);
    m_Buffer.max_size(m_Owner->m_Options.m_MaxHeaderBytes + MaxUnparsedBytes);
    m_State = State::Idle;
    m_Deadline = Clock::now() + m_Owner->m_Options.m_IdleTimeout;
    if (m_Buffer.size() > 0)
      return readHeader();
    m_Socket.async_wait(tcp::socket::wait_read,
                        [Self = shared_from_this()](error_code Code) {
                          if (Code)
                            return Self->close();
                          Self->readHeader();
                        });
  }

  void respond(const core::HttpResponse &Response, bool Close) {
    m_State = State::Writing;
    m_Deadline = Clock::now() + WriteTimeout;
    m_CloseAfterWrite = Close || m_Owner->m_KeepAliveDisabled || !m_KeepAlive;
    m_Response.emplace(convert(Response));
    http::async_write(
        m_Socket, *m_Response,
        [Self = shared_from_this()](error_code Code, std::size_t) {
          Self->onWritten(Code);
        });
  }

  void close() {
    if (m_State == State::Closed)
      return;
    const State Old = std::exchange(m_State, State::Closed);
    error_code Ignored;
    m_Socket.close(Ignored);
    if (Old == State::AwaitingResponse) {
      m_Owner->m_Unanswered.erase(m_Call);
      if (m_Owner->m_Handlers.m_CallerDisconnected)
        m_Owner->m_Handlers.m_CallerDisconnected(m_Call);
    }
    if (Old == State::AwaitingResponse || Old == State::Writing)
      --m_Owner->m_BusyCount;
    m_Owner->m_Sessions.erase(this);
  }

  void closeIfExpired(Clock::time_point Now) {
    if (m_State == State::AwaitingResponse || Now < m_Deadline)
      return;
    if (m_State == State::Reading)
      return reject(http::status::request_timeout,
                    "the request did not come in time");
    close();
  }

  void closeIfIdle() {
    if (m_State == State::Idle)
      close();
  }

private:
  enum class State : std::uint8_t {
    Idle,
    Reading,
    AwaitingResponse,
    Writing,
    Closed
  };

  BeastResponse convert(const core::HttpResponse &Response) {
    try {
      return toBeast(Response, m_IsHead, !m_CloseAfterWrite);
    } catch (const core::Error &Fault) {
      if (m_Owner->m_Handlers.m_Unsendable)
        m_Owner->m_Handlers.m_Unsendable(m_Call, Fault.fault());
      return toBeast(makeTextResponse(http::status::bad_gateway,
                                      "the response " + Fault.fault()),
                     m_IsHead, !m_CloseAfterWrite);
    }
  }

  void readHeader() {
    if (m_State != State::Idle)
      return;
    m_State = State::Reading;
    m_Deadline = Clock::now() + m_Owner->m_Options.m_RequestTimeout;
    http::async_read_header(
        m_Socket, m_Buffer, *m_Parser,
        [Self = shared_from_this()](error_code Code, std::size_t) {
          Self->onHeader(Code);
        });
  }

  void onHeader(error_code Code) {
    if (m_State != State::Reading)
      return;
    if (Code)
      return onReadError(Code);
    if (const auto Fault = findFault(m_Parser->get()))
      return reject(http::status::bad_request, *Fault);
    if (m_Parser->is_done())
      return deliverRequest();
    if (boost::beast::iequals(m_Parser->get()[http::field::expect],
                              "100-continue"))
      return sendContinue();
    readBody();
  }

  void sendContinue() {
    boost::asio::async_write(
        m_Socket, boost::asio::buffer(ContinueLine.data(), ContinueLine.size()),
        [Self = shared_from_this()](error_code Code, std::size_t) {
          if (Code)
            return Self->close();
          Self->readBody();
        });
  }

  void readBody() {
    http::async_read(m_Socket, m_Buffer, *m_Parser,
                     [Self = shared_from_this()](error_code Code, std::size_t) {
                       if (Self->m_State != State::Reading)
                         return;
                       if (Code)
                         return Self->onReadError(Code);
                       Self->deliverRequest();
                     });
  }

  void onReadError(error_code Code) {
    if (isParseError(Code))
      return reject(statusForParseError(Code), Code.message());
    close();
  }

  // After a framing error the start of the next request is unknown, so the
  // connection is closed.
  void reject(http::status Status, const std::string &Fault) {
    if (m_Owner->m_Handlers.m_Rejected)
      m_Owner->m_Handlers.m_Rejected(Fault);
    ++m_Owner->m_BusyCount;
    m_IsHead = false;
    respond(makeTextResponse(Status, Fault), true);
  }

  void deliverRequest() {
    m_State = State::AwaitingResponse;
    ++m_Owner->m_BusyCount;
    m_Call = ++m_Owner->m_LastCall;
    m_KeepAlive = m_Parser->get().keep_alive();
    m_IsHead = m_Parser->get().method() == http::verb::head;
    m_Owner->m_Unanswered.emplace(m_Call, shared_from_this());
    auto Request = fromBeast(m_Parser->release());
    watchForDisconnect();
    m_Owner->m_Handlers.m_Request(m_Call, std::move(Request));
  }

  // The wait of an earlier request can still be pending; one is enough.
  void watchForDisconnect() {
    if (m_Watching || m_Buffer.size() > 0)
      return;
    m_Watching = true;
    m_Socket.async_wait(tcp::socket::wait_read,
                        [Self = shared_from_this()](error_code Code) {
                          Self->onCallerReadable(Code);
                        });
  }

  void onCallerReadable(error_code Code) {
    m_Watching = false;
    if (m_State != State::AwaitingResponse)
      return;
    char Byte = 0;
    if (!Code) {
      m_Socket.non_blocking(true, Code);
      m_Socket.receive(boost::asio::buffer(&Byte, 1), tcp::socket::message_peek,
                       Code);
    }
    if (Code && Code != boost::asio::error::would_block)
      close();
  }

  void onWritten(error_code Code) {
    if (m_State == State::Closed)
      return;
    if (Code || m_CloseAfterWrite) {
      error_code Ignored;
      m_Socket.shutdown(tcp::socket::shutdown_send, Ignored);
      return close();
    }
    --m_Owner->m_BusyCount;
    m_Response.reset();
    waitForRequest();
  }

  std::shared_ptr<Impl> m_Owner;
  tcp::socket m_Socket;
  boost::beast::flat_buffer m_Buffer;
  std::optional<RequestParser> m_Parser;
  std::optional<BeastResponse> m_Response;
  Clock::time_point m_Deadline;
  core::CallId m_Call = 0;
  State m_State = State::Idle;
  bool m_KeepAlive = true;
  bool m_IsHead = false;
  bool m_CloseAfterWrite = false;
  bool m_Watching = false;
};

HttpServer::Impl::Impl(boost::asio::io_context &Context,
                       HttpServerOptions Options, HttpServerHandlers Handlers)
    : m_Acceptor(listenAt(Context, Options.m_Address)), m_AcceptTimer(Context),
      m_SweepTimer(Context), m_Options(std::move(Options)),
      m_Handlers(std::move(Handlers)) {}

void HttpServer::Impl::start() {
  accept();
  sweep();
}

void HttpServer::Impl::stop() {
  error_code Ignored;
  m_Acceptor.close(Ignored);
  m_AcceptTimer.cancel();
  m_SweepTimer.cancel();
  m_Handlers.m_CallerDisconnected = nullptr;
  const auto Sessions = m_Sessions;
  for (const auto &[Key, Each] : Sessions)
    Each->close();
}

void HttpServer::Impl::startDrain() {
  m_KeepAliveDisabled = true;
  error_code Ignored;
  m_Acceptor.close(Ignored);
  const auto Sessions = m_Sessions;
  for (const auto &[Key, Each] : Sessions)
    Each->closeIfIdle();
}

void HttpServer::Impl::respond(core::CallId Call,
                               const core::HttpResponse &Response) {
  const auto Found = m_Unanswered.find(Call);
  if (Found == m_Unanswered.end())
    return;
  const SessionPtr Waiting = Found->second;
  m_Unanswered.erase(Found);
  Waiting->respond(Response, false);
}

void HttpServer::Impl::accept() {
  m_Acceptor.async_accept(
      [Self = shared_from_this()](error_code Code, tcp::socket Socket) {
        Self->onAccepted(Code, std::move(Socket));
      });
}

void HttpServer::Impl::onAccepted(error_code Code, tcp::socket Socket) {
  if (!m_Acceptor.is_open())
    return;
  if (!Code && m_Sessions.size() < m_Options.m_MaxConnections) {
    auto NewSession =
        std::make_shared<Session>(shared_from_this(), std::move(Socket));
    m_Sessions.emplace(NewSession.get(), NewSession);
    NewSession->waitForRequest();
  }
  if (!Code)
    return accept();
  m_AcceptTimer.expires_after(AcceptRetryDelay);
  m_AcceptTimer.async_wait([Self = shared_from_this()](error_code Failure) {
    if (!Failure)
      Self->accept();
  });
}

void HttpServer::Impl::sweep() {
  const auto Now = Clock::now();
  const auto Sessions = m_Sessions;
  for (const auto &[Key, Each] : Sessions)
    Each->closeIfExpired(Now);
  m_SweepTimer.expires_after(SweepInterval);
  m_SweepTimer.async_wait([Self = shared_from_this()](error_code Code) {
    if (!Code)
      Self->sweep();
  });
}

HttpServer::HttpServer(boost::asio::io_context &Context,
                       HttpServerOptions Options, HttpServerHandlers Handlers)
    : m_Impl(std::make_shared<Impl>(Context, std::move(Options),
                                    std::move(Handlers))) {
  m_Impl->start();
}

HttpServer::~HttpServer() { m_Impl->stop(); }

void HttpServer::respond(core::CallId Call,
                         const core::HttpResponse &Response) {
  m_Impl->respond(Call, Response);
}

void HttpServer::startDrain() { m_Impl->startDrain(); }

void HttpServer::disableKeepAlive() { m_Impl->m_KeepAliveDisabled = true; }

void HttpServer::setLimits(std::uint32_t MaxHeaderBytes,
                           std::uint64_t MaxBodyBytes,
                           std::chrono::milliseconds RequestTimeout,
                           std::chrono::milliseconds IdleTimeout) {
  HttpServerOptions &Options = m_Impl->m_Options;
  Options.m_MaxHeaderBytes = MaxHeaderBytes;
  Options.m_MaxBodyBytes = MaxBodyBytes;
  Options.m_RequestTimeout = RequestTimeout;
  Options.m_IdleTimeout = IdleTimeout;
}

std::string HttpServer::address() const {
  const tcp::endpoint Local = m_Impl->m_Acceptor.local_endpoint();
  return Local.address().to_string() + ":" + std::to_string(Local.port());
}

std::size_t HttpServer::busyConnections() const { return m_Impl->m_BusyCount; }

} // namespace dandelionfall::net
