/// \file
/// An HTTP server on a thread of its own.
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
  /// Makes the answer to a request, on the server's thread; no value leaves the
  /// request without an answer.
  using Handler = std::function<std::optional<core::HttpResponse>(
      const core::HttpRequest &)>;

  /// \param Respond makes the answers.
  /// \param Options limits; the address is not used.
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

  /// Ends the thread, after which what its handler wrote may be read.
  void stop() {
    m_Work.reset();
    m_Context.stop();
    if (m_Thread.joinable())
      m_Thread.join();
  }

  /// \returns the address it serves at.
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
