/// \file
/// Connections, limits and unanswered requests of an HTTP server.
#ifndef DANDELIONFALL_SRC_NET_HTTP_SERVER_IMPL_H
#define DANDELIONFALL_SRC_NET_HTTP_SERVER_IMPL_H

#include "dandelionfall/net/http_server.h"
#include "net/answer_queue.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>

namespace dandelionfall::net {

/// Accepts connections and finds the one that a response is for.
class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
public:
  Impl(boost::asio::io_context &Context, HttpServerOptions Options,
       HttpServerHandlers Handlers);

  void start();
  void stop();
  void startDrain();
  void respond(core::CallId Call, core::HttpResponse Response,
               std::shared_ptr<const void> Content);
  core::Duration timeHeld(core::CallId Call) const;

  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  void accept();
  void onAccepted(boost::system::error_code Code,
                  boost::asio::ip::tcp::socket Socket);
  void sweep();

  boost::asio::ip::tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_AcceptTimer;
  boost::asio::steady_timer m_SweepTimer;
  HttpServerOptions m_Options;
  HttpServerHandlers m_Handlers;
  PipelineTotals m_Totals;
  std::unordered_map<Session *, SessionPtr> m_Sessions;
  std::unordered_map<core::CallId, SessionPtr> m_Unanswered;
  core::CallId m_LastCall = 0;
};

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_HTTP_SERVER_IMPL_H
