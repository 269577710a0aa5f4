/// \file
/// HTTP/1.1 server that rejects malformed requests and passes the others to its
/// owner, who responds asynchronously.
#ifndef DANDELIONFALL_NET_HTTP_SERVER_H
#define DANDELIONFALL_NET_HTTP_SERVER_H

#include "dandelionfall/core/byte_budget.h"
#include "dandelionfall/core/http_message.h"
#include "dandelionfall/core/identity.h"
#include "dandelionfall/core/time.h"
#include "dandelionfall/net/pipeline_limits.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dandelionfall::net {

/// Address and limits of a server.
struct HttpServerOptions {
  /// `IP:PORT` to listen at; port 0 lets the system choose one.
  std::string m_Address;
  std::uint32_t m_MaxHeaderBytes = 16U << 10U;
  std::uint64_t m_MaxBodyBytes = 8U << 20U;
  std::size_t m_MaxConnections = 4096;
  /// Time from the first byte of a request to its last; a request that takes
  /// longer gets a 408 response.
  std::chrono::milliseconds m_RequestTimeout{10'000};
  /// Time after which a connection without a request is closed.
  std::chrono::milliseconds m_IdleTimeout{60'000};
  /// Time for which a connection that the server has finished waits for its
  /// caller to receive more, or to close.
  std::chrono::milliseconds m_LingerTimeout{5'000};
  /// Bounds what the bodies of all requests hold together, from before they are
  /// read until the request objects are destroyed. A connection is not read
  /// while its body waits for room. Null if there is no such bound.
  std::shared_ptr<core::ByteBudget> m_BodyBudget;
  /// Bounds the requests that run side by side on a connection.
  PipelineLimits m_Pipeline;
};

/// Callbacks of a server to its owner.
struct HttpServerHandlers {
  /// A complete, well-formed request; the owner calls respond() once for it.
  std::function<void(core::CallId, std::shared_ptr<core::HttpRequest>)>
      m_Request;
  /// \returns whether a complete request may run beside others of its
  /// connection: it is begun before they are answered, and requests behind it
  /// before it is. If null, no request is begun before all earlier ones of its
  /// connection are answered.
  std::function<bool(const core::HttpRequest &)> m_MayRunBeside;
  /// Called before m_Request for a request that is begun before an earlier one
  /// of its connection is answered.
  std::function<void(core::CallId)> m_RunsBeside;
  /// The caller disconnected before the response; a later response is
  /// discarded. Called once for each open request of the connection.
  std::function<void(core::CallId)> m_CallerDisconnected;
  /// A malformed, oversized or late request was rejected; \p Fault is the text
  /// of the error response.
  std::function<void(const std::string &Fault)> m_Rejected;
  /// A finished connection is closed although its caller has not received all
  /// that was written to it.
  std::function<void(std::size_t Bytes)> m_Undelivered;
  /// HTTP can't carry the owner's response, so the caller gets status 502.
  std::function<void(core::CallId, const std::string &Fault)> m_Unsendable;
  /// \returns the time for which the body of a request, of which only the
  /// header is set, may wait for room. Needed with a budget.
  std::function<std::chrono::milliseconds(const core::HttpRequest &)>
      m_MaxRoomWait;
  /// \returns the response to such a request if there was no room in that time.
  /// Needed with a budget.
  std::function<core::HttpResponse(const core::HttpRequest &)> m_NoRoom;
};

/// HTTP/1.1 server. Not thread-safe: all calls must be made on the single
/// thread that runs the context.
class HttpServer {
public:
  /// \param Context the context that the server belongs to; must outlive it.
  /// \throws Error of kind AddressInUse if the address can't be bound.
  HttpServer(boost::asio::io_context &Context, HttpServerOptions Options,
             HttpServerHandlers Handlers);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Sends the response to a request, after those to earlier requests of its
  /// connection; has no effect if the caller has disconnected.
  /// \param Content kept until the response is written or discarded: an object
  /// whose lifetime stands for the memory of the response.
  void respond(core::CallId Call, core::HttpResponse Response,
               std::shared_ptr<const void> Content = nullptr);

  /// \returns the time from a request's last byte until it was begun, for
  /// which earlier ones of its connection held it up; 0 if it is answered.
  core::Duration timeHeld(core::CallId Call) const;

  /// Replaces the limits for later requests.
  void setLimits(std::uint32_t MaxHeaderBytes, std::uint64_t MaxBodyBytes,
                 std::chrono::milliseconds RequestTimeout,
                 std::chrono::milliseconds IdleTimeout);

  /// Continues to accept connections and requests, but begins no request
  /// beside others any more, and closes each connection after the last response
  /// that it owes.
  void disableKeepAlive();

  /// Stops accepting connections, closes idle ones at once and the others after
  /// the last response that they owe.
  void startDrain();

  /// \returns the address it listens at, with the port that the system chose if
  /// the configured one was 0.
  std::string address() const;

  /// \returns the number of connections with a request that is not yet answered
  /// or a response that is not yet fully written.
  std::size_t busyConnections() const;

  /// \returns the number of connections that are not closed; it includes those
  /// that the server has finished while their callers still receive.
  std::size_t connections() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::net

#endif // DANDELIONFALL_NET_HTTP_SERVER_H
