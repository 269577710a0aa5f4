/// \file
/// An HTTP server that runs on its own thread.
#ifndef DANDELIONFALL_TESTS_UNIT_SERVER_THREAD_H
#define DANDELIONFALL_TESTS_UNIT_SERVER_THREAD_H

#include "dandelionfall/net/http_server.h"

#include <boost/asio/executor_work_guard.hpp>

#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace dandelionfall::tests {

/// Serves on a free port of 127.0.0.1 until stopped.
class ServerThread {
public:
  /// Makes the response to a request, on the server's thread; no value leaves
  /// the request unanswered.
  using Handler = std::function<std::optional<core::HttpResponse>(
      const core::HttpRequest &)>;

  /// \param Respond makes the responses.
  /// \param Options limits; the address is ignored.
  explicit ServerThread(Handler Respond, net::HttpServerOptions Options = {})
      : m_Handler(std::move(Respond)) {
    Options.m_Address = "127.0.0.1:0";
    net::HttpServerHandlers Handlers;
    Handlers.m_Request = [this](core::CallId Call,
                                const core::HttpRequestPtr &Request) {
      const std::optional<core::HttpResponse> Response = m_Handler(*Request);
      if (Response)
        m_Server->respond(Call, *Response);
    };
    m_Server.emplace(m_Context, Options, Handlers);
    m_Address = m_Server->address();
    m_Thread = std::thread([this] { m_Context.run(); });
  }

  ~ServerThread() {
    stop();
    m_Server.reset();
  }

  ServerThread(const ServerThread &) = delete;
  ServerThread &operator=(const ServerThread &) = delete;

  /// Stops and joins the thread; afterwards data written by the handler can be
  /// read safely.
  void stop() {
    m_Work.reset();
    m_Context.stop();
    if (m_Thread.joinable())
      m_Thread.join();
  }

  /// \returns the `IP:PORT` of the server.
  const std::string &address() const { return m_Address; }

private:
  Handler m_Handler;
  boost::asio::io_context m_Context{1};
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      m_Work{m_Context.get_executor()};
  std::optional<net::HttpServer> m_Server;
  std::string m_Address;
  std::thread m_Thread;
};

} // namespace dandelionfall::tests

#endif // DANDELIONFALL_TESTS_UNIT_SERVER_THREAD_H
