#include "net/http_server_impl.h"

#include "dandelionfall/core/error.h"
#include "dandelionfall/net/address.h"
#include "net/body_room.h"
#include "net/guarded_parser.h"
#include "net/http_conversion.h"
#include "net/request_check.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <optional>
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
/// Time in which the rest of a rejected request is discarded, so that its
/// caller can read the response.
constexpr std::chrono::seconds DiscardTimeout{5};
constexpr std::size_t DiscardBytes = 1U << 16U;
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

/// One connection: reads a request, waits for the owner's response, writes it,
/// and repeats.
class HttpServer::Impl::Session
    : public std::enable_shared_from_this<HttpServer::Impl::Session> {
public:
  Session(std::shared_ptr<Impl> Owner, tcp::socket Socket)
      : m_Owner(std::move(Owner)), m_Socket(std::move(Socket)),
        m_Room(m_Owner->m_Options.m_BodyBudget, m_Socket.get_executor()) {
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

  void respond(core::HttpResponse Response, bool Close) {
    m_State = State::Writing;
    m_Deadline = Clock::now() + WriteTimeout;
    m_CloseAfterWrite = Close || m_Owner->m_KeepAliveDisabled || !m_KeepAlive;
    m_Response.emplace(convert(std::move(Response)));
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
    m_Room.cancel();
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
    if (m_State == State::AwaitingRoom)
      return rejectForRoom();
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
    AwaitingRoom,
    AwaitingResponse,
    Writing,
    Discarding,
    Closed
  };

  BeastResponse convert(core::HttpResponse Response) {
    try {
      return toBeast(std::move(Response), m_IsHead, !m_CloseAfterWrite);
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
    reserveRoom(m_Room.bytesForStart(m_Parser->content_length()),
                &Session::startBody);
  }

  // Goes on with the next step once the bytes are reserved; the connection is
  // not read until then.
  void reserveRoom(std::size_t Bytes, void (Session::*Next)()) {
    const BodyRoom::State Room = m_Room.reserve(
        Bytes, [Self = shared_from_this(), Next] { Self->onRoom(Next); });
    if (Room == BodyRoom::State::Reserved)
      return (this->*Next)();
    if (Room == BodyRoom::State::NeverFits)
      return rejectForRoom();
    m_State = State::AwaitingRoom;
    m_ReadDeadline = m_Deadline;
    m_Deadline =
        std::min(m_Deadline, Clock::now() + m_Owner->m_Handlers.m_MaxRoomWait(
                                                *fromBeast(m_Parser->get())));
  }

  void onRoom(void (Session::*Next)()) {
    if (m_State != State::AwaitingRoom)
      return m_Room.cancel();
    m_State = State::Reading;
    m_Deadline = m_ReadDeadline;
    (this->*Next)();
  }

  void rejectForRoom() {
    m_Room.cancel();
    ++m_Owner->m_BusyCount;
    m_IsHead = false;
    m_BytesToDiscard = m_Owner->m_Options.m_MaxBodyBytes;
    respond(m_Owner->m_Handlers.m_NoRoom(*fromBeast(m_Parser->get())), true);
  }

  void startBody() {
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
    if (m_Parser->content_length() || !m_Room.isBounded())
      return readRest();
    http::async_read_some(
        m_Socket, m_Buffer, *m_Parser,
        [Self = shared_from_this()](error_code Code, std::size_t) {
          Self->onSomeBody(Code);
        });
  }

  // A body of unknown size counts as a small one first, and then as one of the
  // maximum size until it is complete.
  void onSomeBody(error_code Code) {
    if (m_State != State::Reading)
      return;
    if (Code)
      return onReadError(Code);
    if (m_Room.hasRoomFor(m_Parser->get().body().size()))
      return m_Parser->is_done() ? deliverRequest() : readBody();
    const std::uint64_t Limit = maxBodySize();
    reserveRoom(m_Room.bytesForMore(Limit), &Session::readMore);
  }

  // The limit can have been lowered since the body began.
  std::uint64_t maxBodySize() const {
    return std::max<std::uint64_t>(m_Owner->m_Options.m_MaxBodyBytes,
                                   m_Parser->get().body().size());
  }

  void readMore() {
    const std::uint64_t Limit = maxBodySize();
    if (!m_Room.hasRoomFor(Limit) || m_Parser->is_done())
      return onSomeBody({});
    m_Parser->get().body().reserve(Limit);
    readRest();
  }

  void readRest() {
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
    m_Owner->m_Handlers.m_Request(m_Call, m_Room.handOver(std::move(Request)));
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
      if (Code || m_BytesToDiscard == 0)
        return close();
      --m_Owner->m_BusyCount;
      m_State = State::Discarding;
      m_Deadline = Clock::now() + DiscardTimeout;
      return discardRest();
    }
    --m_Owner->m_BusyCount;
    m_Response.reset();
    waitForRequest();
  }

  // The connection would be reset if it were closed with unread bytes, and the
  // caller would lose the response.
  void discardRest() {
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

  std::shared_ptr<Impl> m_Owner;
  tcp::socket m_Socket;
  BodyRoom m_Room;
  boost::beast::flat_buffer m_Buffer;
  std::optional<RequestParser> m_Parser;
  std::optional<BeastResponse> m_Response;
  Clock::time_point m_Deadline;
  Clock::time_point m_ReadDeadline;
  core::CallId m_Call = 0;
  std::uint64_t m_BytesToDiscard = 0;
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

void HttpServer::Impl::respond(core::CallId Call, core::HttpResponse Response) {
  const auto Found = m_Unanswered.find(Call);
  if (Found == m_Unanswered.end())
    return;
  const SessionPtr Waiting = Found->second;
  m_Unanswered.erase(Found);
  Waiting->respond(std::move(Response), false);
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

} // namespace dandelionfall::net
