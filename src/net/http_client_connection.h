/// \file
/// One connection of an HTTP client.
#ifndef DANDELIONFALL_SRC_NET_HTTP_CLIENT_CONNECTION_H
#define DANDELIONFALL_SRC_NET_HTTP_CLIENT_CONNECTION_H

#include "net/guarded_parser.h"
#include "net/http_client_pool.h"
#include "net/response_room.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <optional>
#include <string>
#include <vector>

namespace dandelionfall::net {

/// A pooled connection; carries at most one exchange at a time.
class HttpClient::Impl::Connection
    : public std::enable_shared_from_this<HttpClient::Impl::Connection> {
public:
  explicit Connection(std::shared_ptr<Impl> Owner)
      : m_Owner(std::move(Owner)), m_Socket(m_Owner->m_Context),
        m_Timer(m_Owner->m_Context) {
    const HttpClientOptions &Options = m_Owner->m_Options;
    if (Options.m_ResponseMemory != nullptr)
      m_Room.emplace(Options.m_ResponseMemory, Options.m_MaxBodyBytes,
                     m_Socket.get_executor());
  }

  /// Runs an exchange; connects first if not yet connected.
  void run(Exchange Next);
  /// Ends the running exchange and closes the connection.
  /// \param Outcome the outcome to report if bytes may have been written;
  /// otherwise NotSent is reported.
  void abort(ExchangeOutcome Outcome, const std::string &Detail);
  /// \returns whether an idle connection is still open and has no unread bytes.
  bool looksAlive();
  /// \returns whether the last response was received less than \p Age ago.
  bool isIdleLessThan(std::chrono::milliseconds Age) const;
  /// \returns whether the idle time is below the server's keep-alive timeout
  /// less a margin, or below m_MaxIdleTime if the server states none.
  bool isWithinIdleLimit() const;
  /// \returns whether the connection can carry a non-idempotent request.
  bool acceptsNonIdempotent() const;
  /// \returns whether a request with the same echoed value failed on this
  /// connection. If the server sent that response once more, it could not be
  /// distinguished from the response to this request.
  bool hasFailed(const BeastRequest &Request) const;
  /// Closes the socket without calling back.
  void close();

private:
  using Clock = std::chrono::steady_clock;

  void onConnected(boost::system::error_code Code);
  void startTimer(Clock::time_point Deadline, ExchangeOutcome Outcome);
  void write();
  void onWritten(boost::system::error_code Code, std::size_t Count);
  void read();
  void onHeader(boost::system::error_code Code);
  void readBody();
  void readSomeBody(Clock::time_point End);
  void reserveAndRead();
  void onRoom(ResponseRoom::State Room);
  void readIntoRoom();
  void onBodyInRoom();
  void readNextResponse();
  bool isStaleResponse() const;
  void recordFailure();
  void updateKeepAliveTimeout();
  void onRead(boost::system::error_code Code);
  void failRead(boost::system::error_code Code);
  static ExchangeOutcome classifyReadError(boost::system::error_code Code);
  void finish(const HttpResult &Result, bool Reusable);

  std::shared_ptr<Impl> m_Owner;
  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  boost::beast::flat_buffer m_Buffer{MaxUnparsedBytes};
  std::optional<ResponseParser> m_Parser;
  std::optional<Exchange> m_Exchange;
  Clock::time_point m_LastResponse;
  /// Idle time after which the server closes the connection, as stated in its
  /// Keep-Alive field.
  std::optional<std::chrono::milliseconds> m_KeepAliveTimeout;
  /// Echoed values of requests whose response was no success.
  std::vector<std::string> m_Failed;
  std::optional<ResponseRoom> m_Room;
  /// Informational responses, and responses to earlier requests, received
  /// during this exchange.
  std::size_t m_Discarded = 0;
  /// Whether a response to an earlier request was received; the connection is
  /// then not reused.
  bool m_SkippedResponse = false;
  std::uint64_t m_TimerNumber = 0;
  bool m_Connected = false;
  bool m_Sent = false;
};

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_HTTP_CLIENT_CONNECTION_H
