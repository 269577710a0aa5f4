/// \file
/// HTTP/1.1 client with a connection pool for one server address.
#ifndef DANDELIONFALL_NET_HTTP_CLIENT_H
#define DANDELIONFALL_NET_HTTP_CLIENT_H

#include "dandelionfall/core/byte_budget.h"
#include "dandelionfall/core/http_message.h"
#include "dandelionfall/core/time.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dandelionfall::net {

/// How an exchange ended.
enum class ExchangeOutcome : std::uint8_t {
  Answered,   ///< A complete response was received.
  NotSent,    ///< No byte of the request was written.
  Reset,      ///< The connection broke after bytes were written.
  TimedOut,   ///< No complete response was received in time.
  Malformed,  ///< The response violated the protocol, exceeded a limit, or was
              ///< not delimited by a length or chunked coding.
  Cancelled,  ///< Cancelled by the owner after bytes were written.
  Unsendable, ///< HTTP can't carry the request; no byte was written.
};

/// Result of an exchange; m_Response is null unless the outcome is Answered.
struct HttpResult {
  ExchangeOutcome m_Outcome = ExchangeOutcome::NotSent;
  core::HttpResponsePtr m_Response;
  std::string m_Detail;
  /// Whether the exchange failed because the response exceeds
  /// `HttpClientOptions::m_MaxBodyBytes` or the memory for responses.
  bool m_TooLarge = false;
};

/// Address, limits and protocol options of a client.
struct HttpClientOptions {
  /// `IP:PORT` of the server.
  std::string m_Address;
  std::size_t m_MaxConnections = 64;
  std::uint64_t m_MaxBodyBytes = 8U << 20U;
  std::chrono::milliseconds m_ConnectTimeout{1000};
  /// Time since the last response up to which an idle connection is reused for
  /// a non-idempotent request, which can't be repeated if the server closes the
  /// connection at that moment. A keep-alive timeout stated by the server
  /// replaces this limit and m_MaxIdleTime.
  std::chrono::milliseconds m_MaxIdleNonIdempotent{2000};
  /// Time since the last response after which an idle connection is closed.
  std::chrono::milliseconds m_MaxIdleTime{30'000};
  /// TCP_USER_TIMEOUT: time for which sent bytes may stay unacknowledged before
  /// the connection is reset; 0 leaves the system's default.
  std::chrono::milliseconds m_TcpUserTimeout{0};
  /// Time without a byte of the body after which an exchange fails. The timeout
  /// of the exchange then limits the time until the header, and m_MaxBodyTime
  /// the time for the body. 0 if the timeout covers the whole response.
  std::chrono::milliseconds m_BodySilenceTimeout{0};
  std::chrono::milliseconds m_MaxBodyTime{0};
  /// Header field whose value the server copies from the request to the
  /// response. A response with another value belongs to an earlier request and
  /// is discarded. Empty if the server copies none.
  std::string m_EchoField;
  /// Whether a response without a length or chunked coding is complete when the
  /// server closes the connection (RFC 9112, 6.3).
  bool m_AllowCloseDelimited = false;
  /// Bounds what the bodies of all responses hold together, from before they
  /// are read until the response objects are destroyed. A connection is not
  /// read while its response waits for room. Null if there is no such bound;
  /// not combined with m_BodySilenceTimeout.
  std::shared_ptr<const core::ResponseMemory> m_ResponseMemory;
  /// Called when an idle connection turns out to be closed by the server within
  /// m_MaxIdleNonIdempotent, for example by a restart; may be empty.
  std::function<void()> m_IdleClosedEarly;
};

/// Identifies an exchange; unique within one client.
using ExchangeId = std::uint64_t;

/// HTTP/1.1 client. Not thread-safe: all calls must be made on the single
/// thread that runs the context.
class HttpClient {
public:
  using Callback = std::function<void(const HttpResult &)>;

  /// \param Context the context that the client belongs to; must outlive it.
  HttpClient(boost::asio::io_context &Context, HttpClientOptions Options);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends a request on an idle connection that is still open, or on a new one;
  /// it is queued while m_MaxConnections carry exchanges.
  /// \param Request the request; its body is sent with a Content-Length.
  /// \param Timeout time within which the complete response must be received,
  /// or its header if HttpClientOptions::m_BodySilenceTimeout is set.
  /// \param Idempotent whether any idle connection can be reused, or only one
  /// below HttpClientOptions::m_MaxIdleNonIdempotent.
  /// \param Done called once, never from within this call.
  ExchangeId send(core::HttpRequest Request, core::Duration Timeout,
                  bool Idempotent, Callback Done);

  /// Cancels an exchange; its callback is still called.
  void cancel(ExchangeId Id);

  /// \returns the number of connections that are open or being opened.
  std::size_t connections() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::net

#endif // DANDELIONFALL_NET_HTTP_CLIENT_H
