#include "net/http_server_impl.h"

#include <utility>

namespace dandelionfall::net {

HttpServer::HttpServer(boost::asio::io_context &Context,
                       HttpServerOptions Options, HttpServerHandlers Handlers)
    : m_Impl(std::make_shared<Impl>(Context, std::move(Options),
                                    std::move(Handlers))) {
  m_Impl->start();
}

HttpServer::~HttpServer() { m_Impl->stop(); }

void HttpServer::respond(core::CallId Call, core::HttpResponse Response,
                         std::shared_ptr<const void> Content) {
  m_Impl->respond(Call, std::move(Response), std::move(Content));
}

void HttpServer::startDrain() { m_Impl->startDrain(); }

core::Duration HttpServer::timeHeld(core::CallId Call) const {
  return m_Impl->timeHeld(Call);
}

void HttpServer::disableKeepAlive() {
  m_Impl->m_Totals.m_KeepAliveDisabled = true;
}

void HttpServer::setLimits(std::uint32_t MaxHeaderBytes,
                           std::uint64_t MaxBodyBytes,
                           std::chrono::milliseconds RequestTimeout,
                           std::chrono::milliseconds IdleTimeout) {
  HttpServerOptions &Options = m_Impl->m_Options;
  Options.m_MaxHeaderBytes = MaxHeaderBytes;
  Options.m_MaxBodyBytes = MaxBodyBytes;
  Options.m_RequestTimeout = RequestTimeout;
  Options.m_IdleTimeout = IdleTimeout;
}

std::string HttpServer::address() const {
  const boost::asio::ip::tcp::endpoint Local =
      m_Impl->m_Acceptor.local_endpoint();
  return Local.address().to_string() + ":" + std::to_string(Local.port());
}

std::size_t HttpServer::busyConnections() const {
  return m_Impl->m_Totals.m_BusyConnections;
}

std::size_t HttpServer::connections() const {
  return m_Impl->m_Sessions.size();
}

} // namespace dandelionfall::net
