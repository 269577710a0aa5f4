/// \file
/// HTTP/1.1 server that checks what callers send and answers each request by
/// its number.
#ifndef DANDELIONFALL_NET_HTTP_SERVER_H
#define DANDELIONFALL_NET_HTTP_SERVER_H

#include "dandelionfall/core/http_message.h"
#include "dandelionfall/core/identity.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dandelionfall::net {

/// Limits of a server.
struct HttpServerOptions {
  /// `IP:PORT` to listen at.
  std::string m_Address;
  std::uint32_t m_MaxHeaderBytes = 16U << 10U;
  std::uint64_t m_MaxBodyBytes = 8U << 20U;
  std::size_t m_MaxConnections = 4096;
  /// Time from the first byte of a request to its last.
  std::chrono::milliseconds m_RequestTimeout{10'000};
  /// Time that a connection may stay open without a request.
  std::chrono::milliseconds m_IdleTimeout{60'000};
};

/// What a server tells its owner.
struct HttpServerHandlers {
  /// A whole, well-formed request; the owner answers it once by its number.
  std::function<void(core::CallId, core::HttpRequestPtr)> m_Request;
  /// The caller of an unanswered request went away; an answer is dropped.
  std::function<void(core::CallId)> m_CallerDisconnected;
  /// A request was refused for its form; \p Fault says why.
  std::function<void(const std::string &Fault)> m_Rejected;
};

/// HTTP/1.1 server. All calls must come from the context's one thread.
class HttpServer {
public:
  /// \param Context the context that the server belongs to; must outlive it.
  /// \param Options limits and address.
  /// \param Handlers what to call.
  /// \throws Error of kind AddressInUse.
  HttpServer(boost::asio::io_context &Context, HttpServerOptions Options,
             HttpServerHandlers Handlers);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Answers a request; does nothing if its caller is gone.
  /// \param Call the request's number.
  /// \param Response the whole response.
  void respond(core::CallId Call, const core::HttpResponse &Response);

  /// Holds the requests that come from now on to other limits.
  void setLimits(std::uint32_t MaxHeaderBytes, std::uint64_t MaxBodyBytes,
                 std::chrono::milliseconds RequestTimeout,
                 std::chrono::milliseconds IdleTimeout);

  /// Goes on serving, but closes each connection after its next answer.
  void disableKeepAlive();

  /// Takes no new connections and closes each open one after its answer.
  void startDrain();

  /// \returns the address it listens at, with the port chosen where the wanted
  /// one was 0.
  std::string address() const;

  /// \returns requests without an answer, and answers not yet written.
  std::size_t busyConnections() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::net

#endif // DANDELIONFALL_NET_HTTP_SERVER_H
