/// \file
/// HTTP/1.1 client with a pool of connections to one address.
#ifndef DANDELIONFALL_NET_HTTP_CLIENT_H
#define DANDELIONFALL_NET_HTTP_CLIENT_H

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
  Answered,  ///< A whole response came.
  NotSent,   ///< No byte of the request was written.
  Reset,     ///< The connection broke after bytes were written.
  TimedOut,  ///< No whole response came in time.
  Malformed, ///< The response broke the protocol, a limit, or had no stated
             ///< length.
  Cancelled, ///< The owner cancelled it after bytes were written.
};

/// Result of an exchange; the response is null unless it was answered.
struct HttpResult {
  ExchangeOutcome m_Outcome = ExchangeOutcome::NotSent;
  core::HttpResponsePtr m_Response;
  std::string m_Detail;
};

/// Limits of a client.
struct HttpClientOptions {
  /// `IP:PORT` of the server.
  std::string m_Address;
  std::size_t m_MaxConnections = 64;
  std::uint64_t m_MaxBodyBytes = 8U << 20U;
  std::chrono::milliseconds m_ConnectTimeout{1000};
  /// Age since its last response up to which an idle connection carries a
  /// request that must not be repeated.
  std::chrono::milliseconds m_MaxIdleNonIdempotent{2000};
  /// Age since its last response at which an idle connection is closed.
  std::chrono::milliseconds m_MaxIdleTime{30'000};
  /// Time without an acknowledgement of sent bytes after which a connection
  /// counts as broken; 0 leaves it to the system.
  std::chrono::milliseconds m_TcpUserTimeout{0};
  /// Field that a server repeats from the request; an answer with another value
  /// belongs to an earlier request and is dropped. Empty if there is none.
  std::string m_EchoField;
  /// Whether an answer without a stated length, which ends with its connection,
  /// counts as whole.
  bool m_AllowCloseDelimited = false;
  /// Called when the server is found to have closed a kept connection before
  /// m_MaxIdleNonIdempotent was over, as when it restarted; may be empty.
  std::function<void()> m_IdleClosedEarly;
};

/// Number of an exchange; unique within one client.
using ExchangeId = std::uint64_t;

/// HTTP/1.1 client. All calls must come from the context's one thread.
class HttpClient {
public:
  using Callback = std::function<void(const HttpResult &)>;

  /// \param Context the context that the client belongs to; must outlive it.
  /// \param Options limits and address.
  HttpClient(boost::asio::io_context &Context, HttpClientOptions Options);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends a request on an idle connection that looks alive, or on a new one.
  /// \param Request the request; its body is sent with a length.
  /// \param Timeout time until the whole response must be there.
  /// \param Idempotent whether an idle connection of any age will do.
  /// \param Done called once, never from within this call.
  /// \returns the exchange's number.
  ExchangeId send(const core::HttpRequest &Request, core::Duration Timeout,
                  bool Idempotent, Callback Done);

  /// Cancels an exchange; its callback still comes.
  void cancel(ExchangeId Id);

  /// \returns connections that are open or being opened.
  std::size_t connections() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::net

#endif // DANDELIONFALL_NET_HTTP_CLIENT_H
