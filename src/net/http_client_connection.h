/// \file
/// One connection of an HTTP client.
#ifndef DANDELIONFALL_SRC_NET_HTTP_CLIENT_CONNECTION_H
#define DANDELIONFALL_SRC_NET_HTTP_CLIENT_CONNECTION_H

#include "net/http_client_pool.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string>

namespace dandelionfall::net {

/// One connection, with at most one exchange at a time.
class HttpClient::Impl::Connection
    : public std::enable_shared_from_this<HttpClient::Impl::Connection> {
public:
  explicit Connection(std::shared_ptr<Impl> Owner)
      : m_Owner(std::move(Owner)), m_Socket(m_Owner->m_Context),
        m_Timer(m_Owner->m_Context) {}

  /// Carries an exchange, over a new connection if there is none yet.
  void run(Exchange Next);
  /// Ends the running exchange and the connection.
  /// \param Outcome how it ends if bytes may have been written.
  void abort(ExchangeOutcome Outcome, const std::string &Detail);
  /// Tells whether an idle connection is still open and holds no stray bytes.
  bool looksAlive();
  /// Tells whether the last response came within a time.
  bool isIdleLessThan(std::chrono::milliseconds Age) const;
  /// Tells whether the server has not yet reason to close it.
  bool isWithinIdleLimit() const;
  /// Tells whether it may carry a request that must not be repeated.
  bool acceptsNonIdempotent() const;
  /// Closes the socket; calls nothing back.
  void close();

private:
  using Clock = std::chrono::steady_clock;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void onConnected(boost::system::error_code Code);
  void startTimer(Clock::time_point Deadline, ExchangeOutcome Outcome);
  void write();
  void onWritten(boost::system::error_code Code, std::size_t Count);
  void read();
  void onHeader(boost::system::error_code Code);
  void readBody();
  bool isStaleResponse() const;
  void updateKeepAliveTimeout();
  void onRead(boost::system::error_code Code);
  void failRead(boost::system::error_code Code);
  static ExchangeOutcome classifyReadError(boost::system::error_code Code);
  void finish(const HttpResult &Result, bool Reusable);

  std::shared_ptr<Impl> m_Owner;
  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  boost::beast::flat_buffer m_Buffer;
  std::optional<Parser> m_Parser;
  std::optional<Exchange> m_Exchange;
  Clock::time_point m_LastResponse;
  /// Age at which the server closes the connection, if it says so.
  std::optional<std::chrono::milliseconds> m_KeepAliveTimeout;
  /// An answer of an earlier request came on it.
  bool m_SkippedResponse = false;
  std::uint64_t m_TimerNumber = 0;
  bool m_Connected = false;
  bool m_Sent = false;
};

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_HTTP_CLIENT_CONNECTION_H
