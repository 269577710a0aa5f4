/// \file
/// One connection of an HTTP server.
#ifndef DANDELIONFALL_SRC_NET_HTTP_SESSION_H
#define DANDELIONFALL_SRC_NET_HTTP_SESSION_H

#include "net/answer_queue.h"
#include "net/body_room.h"
#include "net/guarded_parser.h"
#include "net/http_conversion.h"
#include "net/http_server_impl.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace dandelionfall::net {

/// Reads requests, begins those that the queue of answers lets begin, and
/// writes the responses in the order of the requests. Reading and writing
/// proceed side by side; readOn() links them after each step.
class HttpServer::Impl::Session
    : public std::enable_shared_from_this<HttpServer::Impl::Session> {
public:
  using Clock = std::chrono::steady_clock;

  Session(std::shared_ptr<Impl> Owner, boost::asio::ip::tcp::socket Socket);

  /// Continues to read if the state and the queue of answers allow it.
  void readOn();
  /// The owner's response to a request of this connection.
  void answer(core::CallId Call, core::HttpResponse Response,
              std::shared_ptr<const void> Content);
  /// Closes at once; what the caller has not received may be lost.
  void close();
  /// Ends what has taken too long, and notices callers that have left.
  void checkTime(Clock::time_point Now);
  void finishIfIdle();
  core::Duration timeHeld(core::CallId Call) const {
    return m_Answers.timeHeld(Call);
  }

private:
  /// Where reading stands.
  enum class State : std::uint8_t {
    Waiting,      ///< For the first byte of a request, or for the queue.
    Reading,      ///< From the first byte of a request.
    AwaitingTurn, ///< The caller waits for `100 Continue`.
    AwaitingRoom, ///< For the body.
    Holding,      ///< A complete request that may not yet be begun.
    Ended,        ///< No further request is read.
    Discarding,   ///< Half-closed, until the caller closes its side.
    Closed
  };

  /// A complete request.
  struct Complete {
    AnswerQueue::Request m_Traits;
    std::shared_ptr<core::HttpRequest> m_Request;
  };

  using Step = void (Session::*)();

  /// \returns the handler of a read, which goes on with `Next`.
  auto onRead(Step Next) {
    m_ReadInFlight = true;
    return [Self = shared_from_this(), Next](boost::system::error_code Code,
                                             std::size_t) {
      Self->m_ReadInFlight = false;
      if (Self->m_State == State::Discarding)
        return Self->discardRest();
      if (Self->m_State != State::Reading)
        return;
      if (Code)
        return Self->onReadError(Code);
      (Self.get()->*Next)();
    };
  }

  void watch();
  void onReadable(boost::system::error_code Code);
  void readHeader();
  void onHeader();
  void onTurn();
  void reserveForStart();
  void reserveRoom(std::size_t Bytes, Step Next);
  void onRoom(Step Next);
  void rejectForRoom();
  void startBody();
  void sendContinue();
  void readBody();
  void onSomeBody();
  std::uint64_t maxBodySize() const;
  void readMore();
  void readRest();
  void onReadError(boost::system::error_code Code);
  void reject(boost::beast::http::status Status, const std::string &Fault);
  void onComplete();

  void beginHeld();
  void endWith(core::HttpResponse Last);
  void writeNext();
  void startWrite();
  BeastResponse convert(AnswerQueue::Outgoing Next);
  void onWritten(boost::system::error_code Code);
  void finish();
  void endLinger(Clock::time_point Now);
  void discardRest();
  void cancelCalls();
  bool hasCallerLeft();

  std::shared_ptr<Impl> m_Owner;
  boost::asio::ip::tcp::socket m_Socket;
  BodyRoom m_Room;
  AnswerQueue m_Answers;
  boost::beast::flat_buffer m_Buffer;
  std::optional<RequestParser> m_Parser;
  std::optional<Complete> m_Held;
  std::optional<BeastResponse> m_Response;
  /// End of the present state, where it has one.
  Clock::time_point m_Deadline;
  /// Deadline of the request while it waits for room.
  Clock::time_point m_ReadDeadline;
  Clock::time_point m_WriteDeadline;
  /// Since when a request waits for its turn or is held.
  Clock::time_point m_WaitsSince;
  /// Latest end of the state `Discarding`.
  Clock::time_point m_LingerEnd;
  /// Bytes that the caller had yet to receive at the last look.
  int m_Unacknowledged = 0;
  std::uint64_t m_BytesToDiscard = 0;
  State m_State = State::Waiting;
  bool m_Writing = false;
  bool m_CloseAfterWrite = false;
  bool m_ReadInFlight = false;
  bool m_Watching = false;
};

/// \returns a response that the server itself makes.
core::HttpResponse makeTextResponse(boost::beast::http::status Status,
                                    std::string Text);

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_HTTP_SESSION_H
