// Reading of a connection's requests.
#include "net/http_session.h"

#include "net/request_check.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <utility>

namespace dandelionfall::net {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::string_view ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

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

bool expectsContinue(const BeastRequest &Request) {
  return boost::beast::iequals(Request[http::field::expect], "100-continue");
}

} // namespace

HttpServer::Impl::Session::Session(std::shared_ptr<Impl> Owner,
                                   tcp::socket Socket)
    : m_Owner(std::move(Owner)), m_Socket(std::move(Socket)),
      m_Room(m_Owner->m_Options.m_BodyBudget, m_Socket.get_executor()),
      m_Answers(m_Owner->m_Options.m_Pipeline, m_Owner->m_Totals) {
  error_code Ignored;
  m_Socket.set_option(tcp::no_delay(true), Ignored);
}

void HttpServer::Impl::Session::readOn() {
  if (m_State == State::Holding)
    return beginHeld();
  if (m_State == State::AwaitingTurn && m_Answers.empty())
    return onTurn();
  if (m_State != State::Waiting)
    return watch();
  if (m_Answers.empty())
    m_Deadline = Clock::now() + m_Owner->m_Options.m_IdleTimeout;
  if (m_Buffer.size() > 0 && m_Answers.takesMore())
    return readHeader();
  watch();
}

// One wait serves for the first byte of a request and for the caller's
// disconnect.
void HttpServer::Impl::Session::watch() {
  if (m_Watching || m_ReadInFlight || m_Buffer.size() > 0)
    return;
  m_Watching = true;
  m_Socket.async_wait(
      tcp::socket::wait_read,
      [Self = shared_from_this()](error_code Code) { Self->onReadable(Code); });
}

void HttpServer::Impl::Session::onReadable(error_code Code) {
  m_Watching = false;
  if (m_State == State::Reading || m_State == State::Discarding ||
      m_State == State::Closed)
    return;
  if (m_State == State::Waiting && m_Answers.empty())
    return Code ? close() : readHeader();
  // A caller that only has to read responses may have shut down its side.
  if (m_Answers.open() == 0)
    return;
  char Byte = 0;
  if (!Code) {
    m_Socket.non_blocking(true, Code);
    m_Socket.receive(boost::asio::buffer(&Byte, 1), tcp::socket::message_peek,
                     Code);
  }
  if (Code == boost::asio::error::would_block)
    return watch();
  if (Code)
    return close();
  if (m_State == State::Waiting && m_Answers.takesMore())
    readHeader();
}

void HttpServer::Impl::Session::readHeader() {
  m_Parser.emplace();
  m_Parser->header_limit(m_Owner->m_Options.m_MaxHeaderBytes);
  m_Parser->body_limit(m_Owner->m_Options.m_MaxBodyBytes);
  m_Buffer.max_size(std::max<std::size_t>(
      m_Owner->m_Options.m_MaxHeaderBytes + MaxUnparsedBytes, m_Buffer.size()));
  m_State = State::Reading;
  m_Deadline = Clock::now() + m_Owner->m_Options.m_RequestTimeout;
  http::async_read_header(m_Socket, m_Buffer, *m_Parser,
                          onRead(&Session::onHeader));
}

void HttpServer::Impl::Session::onHeader() {
  if (const auto Fault = findFault(m_Parser->get()))
    return reject(http::status::bad_request, *Fault);
  if (m_Parser->is_done())
    return onComplete();
  if (!expectsContinue(m_Parser->get()) || m_Answers.empty())
    return reserveForStart();
  m_State = State::AwaitingTurn;
  m_WaitsSince = Clock::now();
  watch();
}

void HttpServer::Impl::Session::onTurn() {
  m_State = State::Reading;
  m_Deadline += Clock::now() - std::exchange(m_WaitsSince, {});
  reserveForStart();
}

void HttpServer::Impl::Session::reserveForStart() {
  reserveRoom(m_Room.bytesForStart(m_Parser->content_length()),
              &Session::startBody);
}

// Goes on with the next step once the bytes are reserved; the connection is
// not read until then.
void HttpServer::Impl::Session::reserveRoom(std::size_t Bytes, Step Next) {
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

void HttpServer::Impl::Session::onRoom(Step Next) {
  if (m_State != State::AwaitingRoom)
    return m_Room.cancel();
  m_State = State::Reading;
  m_Deadline = m_ReadDeadline;
  (this->*Next)();
}

void HttpServer::Impl::Session::rejectForRoom() {
  m_Room.cancel();
  endWith(m_Owner->m_Handlers.m_NoRoom(*fromBeast(m_Parser->get())));
}

void HttpServer::Impl::Session::startBody() {
  if (expectsContinue(m_Parser->get()))
    return sendContinue();
  readBody();
}

void HttpServer::Impl::Session::sendContinue() {
  startWrite();
  boost::asio::async_write(
      m_Socket, boost::asio::buffer(ContinueLine.data(), ContinueLine.size()),
      [Self = shared_from_this()](error_code Code, std::size_t) {
        Self->m_Writing = false;
        if (Code)
          return Self->close();
        if (Self->m_State == State::Reading)
          return Self->readBody();
        Self->writeNext();
      });
}

void HttpServer::Impl::Session::readBody() {
  if (m_Parser->content_length() || !m_Room.isBounded())
    return readRest();
  http::async_read_some(m_Socket, m_Buffer, *m_Parser,
                        onRead(&Session::onSomeBody));
}

// A body of unknown size counts as a small one first, and then as one of the
// maximum size until it is complete.
void HttpServer::Impl::Session::onSomeBody() {
  if (m_Room.hasRoomFor(m_Parser->get().body().size()))
    return m_Parser->is_done() ? onComplete() : readBody();
  reserveRoom(m_Room.bytesForMore(maxBodySize()), &Session::readMore);
}

// The limit can have been lowered since the body began.
std::uint64_t HttpServer::Impl::Session::maxBodySize() const {
  return std::max<std::uint64_t>(m_Owner->m_Options.m_MaxBodyBytes,
                                 m_Parser->get().body().size());
}

void HttpServer::Impl::Session::readMore() {
  const std::uint64_t Limit = maxBodySize();
  if (!m_Room.hasRoomFor(Limit) || m_Parser->is_done())
    return onSomeBody();
  m_Parser->get().body().reserve(Limit);
  readRest();
}

void HttpServer::Impl::Session::readRest() {
  http::async_read(m_Socket, m_Buffer, *m_Parser, onRead(&Session::onComplete));
}

void HttpServer::Impl::Session::onReadError(error_code Code) {
  if (isParseError(Code))
    return reject(statusForParseError(Code), Code.message());
  if (m_Answers.empty() || m_Answers.open() > 0)
    return close();
  // All responses are there; the caller may still be reading them.
  m_State = State::Ended;
}

// After a framing error the start of the next request is unknown, so the
// connection is closed.
void HttpServer::Impl::Session::reject(http::status Status,
                                       const std::string &Fault) {
  if (m_Owner->m_Handlers.m_Rejected)
    m_Owner->m_Handlers.m_Rejected(Fault);
  endWith(makeTextResponse(Status, Fault));
}

void HttpServer::Impl::Session::onComplete() {
  AnswerQueue::Request Traits;
  Traits.m_KeepAlive = m_Parser->get().keep_alive();
  Traits.m_IsHead = m_Parser->get().method() == http::verb::head;
  auto Request = fromBeast(m_Parser->release());
  const auto &MayRunBeside = m_Owner->m_Handlers.m_MayRunBeside;
  Traits.m_MayRunBeside = MayRunBeside && MayRunBeside(*Request);
  m_Held.emplace(Complete{Traits, m_Room.handOver(std::move(Request))});
  m_State = State::Holding;
  if (!m_Answers.empty())
    m_WaitsSince = Clock::now();
  beginHeld();
}

} // namespace dandelionfall::net
