/// \file
/// A small asynchronous HTTP server for the stand-ins. It is not thread-safe:
/// everything runs on the one thread that runs the given context.
#ifndef DANDELIONFALL_STANDIN_HTTP_SERVER_H
#define DANDELIONFALL_STANDIN_HTTP_SERVER_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace dandelionfall::standin {

/// A received request; its request target is split into path and query.
struct HttpRequest {
  std::string m_Method;
  std::string m_Path;
  std::map<std::string, std::string, std::less<>> m_Query;
  /// Header fields, with names in lower case.
  std::map<std::string, std::string, std::less<>> m_Headers;
  std::string m_Body;

  /// Finds a header field.
  /// \param Name the field's name in lower case.
  /// \returns its value, or an empty string if it is absent.
  std::string header(std::string_view Name) const;

  /// Reads a header field as a number.
  /// \param Name the field's name in lower case.
  /// \param Default the result if the field is absent or not a number.
  /// \returns the number.
  std::uint64_t headerNumber(std::string_view Name,
                             std::uint64_t Default) const;

  /// Reads a query parameter as a number.
  /// \param Name the parameter's name.
  /// \param Default the result if it is absent or not a number.
  /// \returns the number.
  std::uint64_t queryNumber(std::string_view Name, std::uint64_t Default) const;
};

/// A response to send.
struct HttpReply {
  unsigned m_Status = 200;
  std::string m_Body;
  std::string m_ContentType = "text/plain";
};

/// The server side of one request. A handler calls at most one of `reply`,
/// `replyHalfAndReset` and `drop`.
class Exchange {
public:
  virtual ~Exchange() = default;

  /// Sends the complete response, then closes the connection if the request or
  /// `setCloseAfterReply` asks for that.
  virtual void reply(HttpReply Reply) = 0;

  /// Sends a header with the full Content-Length and half of the body, then
  /// resets the connection.
  virtual void replyHalfAndReset(HttpReply Reply) = 0;

  /// Closes the connection without a response.
  virtual void drop() = 0;

  /// \returns whether the caller was seen to close the connection.
  virtual bool isCallerDisconnected() const = 0;

  /// Sets the action to run when the caller closes the connection.
  /// \param Action called at most once, and only before a response was sent;
  /// null clears it.
  virtual void onCallerDisconnected(std::function<void()> Action) = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;
using HttpHandler = std::function<void(HttpRequest, ExchangePtr)>;

/// Connection handling of a server.
struct HttpServerOptions {
  /// Delay between accepting a connection and its first read.
  std::chrono::microseconds m_ConnectCost{0};
  /// Maximum number of open connections; further ones are reset.
  std::size_t m_MaxConnections = 100'000;
};

/// Connection statistics of a server.
struct ConnectionCounters {
  std::size_t m_Open = 0;
  std::size_t m_MaxOpen = 0;
  std::uint64_t m_Accepted = 0;
  std::uint64_t m_Refused = 0;
};

/// Listens on one address and passes each request to its handler.
class HttpServer {
public:
  /// Binds the address and starts listening.
  /// \param Context runs the server; must outlive it.
  /// \param Address `IP:PORT`.
  /// \param Handler receives each request.
  /// \throws core::Error of kind Usage if the address is malformed, of kind
  /// AddressInUse if it cannot be bound.
  HttpServer(boost::asio::io_context &Context, const std::string &Address,
             HttpHandler Handler, const HttpServerOptions &Options = {});
  ~HttpServer();

  /// Closes every connection that waits for a request and has received no part
  /// of one.
  void closeIdle();

  /// Sets whether a connection is closed right after each response, without a
  /// `Connection: close` header.
  void setCloseAfterReply(bool Enabled);

  const ConnectionCounters &counters() const;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace dandelionfall::standin

#endif // DANDELIONFALL_STANDIN_HTTP_SERVER_H
