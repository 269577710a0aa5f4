/// \file
/// A small asynchronous HTTP server for the stand-ins. All of it runs on the
/// one thread that runs the given context.
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

/// A request as received, with its target split into path and query.
struct HttpRequest {
  std::string m_Method;
  std::string m_Path;
  std::map<std::string, std::string, std::less<>> m_Query;
  /// Header fields; names in lower case.
  std::map<std::string, std::string, std::less<>> m_Headers;
  std::string m_Body;

  /// Finds a header field.
  /// \param Name the field's name in lower case.
  /// \returns its value, empty if it is absent.
  std::string header(std::string_view Name) const;

  /// Reads a header field as a number.
  /// \param Name the field's name in lower case.
  /// \param Default the result if the field is absent or no number.
  /// \returns the number.
  std::uint64_t headerNumber(std::string_view Name,
                             std::uint64_t Default) const;

  /// Reads a query parameter as a number.
  /// \param Name the parameter's name.
  /// \param Default the result if it is absent or no number.
  /// \returns the number.
  std::uint64_t queryNumber(std::string_view Name, std::uint64_t Default) const;
};

/// A response to send.
struct HttpReply {
  unsigned m_Status = 200;
  std::string m_Body;
  std::string m_ContentType = "text/plain";
};

/// The answering side of one request; exactly one of its ends is used.
class Exchange {
public:
  virtual ~Exchange() = default;

  /// Sends the whole response and keeps the connection unless it is to close.
  /// \param Reply the response.
  virtual void reply(HttpReply Reply) = 0;

  /// Announces the whole body, sends half of it and resets the connection.
  /// \param Reply the response.
  virtual void replyHalfAndReset(HttpReply Reply) = 0;

  /// Closes the connection without an answer.
  virtual void drop() = 0;

  /// Tells whether the caller has closed the connection.
  /// \returns true once that was seen.
  virtual bool isCallerDisconnected() const = 0;

  /// Sets the action for the moment at which the caller closes the connection.
  /// \param Action called at most once, while the request is unanswered.
  virtual void onCallerDisconnected(std::function<void()> Action) = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;
using HttpHandler = std::function<void(HttpRequest, ExchangePtr)>;

/// Limits of a server.
struct HttpServerOptions {
  /// Time between the acceptance of a connection and its first read.
  std::chrono::microseconds m_ConnectCost{0};
  /// Connections open at once; further ones are reset.
  std::size_t m_MaxConnections = 100'000;
};

/// What a server has seen of connections.
struct ConnectionCounters {
  std::size_t m_Open = 0;
  std::size_t m_MaxOpen = 0;
  std::uint64_t m_Accepted = 0;
  std::uint64_t m_Refused = 0;
};

/// Listens on one address and hands each request to its handler.
class HttpServer {
public:
  /// Binds and listens at once.
  /// \param Context runs the server; outlives it.
  /// \param Address `IP:PORT`.
  /// \param Handler receives each request.
  /// \param Options the limits.
  /// \throws core::Error if the address is malformed or in use.
  HttpServer(boost::asio::io_context &Context, const std::string &Address,
             HttpHandler Handler, const HttpServerOptions &Options = {});
  ~HttpServer();

  /// Closes every connection that has no request in progress.
  void closeIdle();

  /// Sets whether a connection is closed right after each answer, unannounced.
  /// \param Enabled whether it is.
  void setCloseAfterReply(bool Enabled);

  /// \returns what was seen of connections so far.
  const ConnectionCounters &counters() const;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace dandelionfall::standin

#endif // DANDELIONFALL_STANDIN_HTTP_SERVER_H
