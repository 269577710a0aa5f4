/// \file
/// Connection pool and request queue of an HTTP client.
#ifndef DANDELIONFALL_SRC_NET_HTTP_CLIENT_POOL_H
#define DANDELIONFALL_SRC_NET_HTTP_CLIENT_POOL_H

#include "dandelionfall/net/address.h"
#include "dandelionfall/net/http_client.h"
#include "net/http_conversion.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dandelionfall::net {

/// Assigns exchanges to connections and enforces the connection limit, the idle
/// times and the deadlines of queued exchanges.
class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
public:
  Impl(boost::asio::io_context &Context, HttpClientOptions Options)
      : m_Context(Context), m_Sweep(Context), m_QueueTimer(Context),
        m_Options(std::move(Options)),
        m_Endpoint(parseEndpoint(m_Options.m_Address)) {}

  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  struct Exchange {
    ExchangeId m_Id = 0;
    /// Shared with a pending write, which can outlive the exchange.
    std::shared_ptr<const BeastRequest> m_Request;
    std::chrono::steady_clock::time_point m_Deadline;
    bool m_Idempotent = false;
    bool m_IsHead = false;
    Callback m_Done;
  };

  ExchangeId send(core::HttpRequest Request, core::Duration Timeout,
                  bool Idempotent, Callback Done);
  void cancel(ExchangeId Id);
  void stop();
  void sweep();
  ConnectionPtr acquireIdle(const Exchange &Next);
  void release(const ConnectionPtr &Released);
  void removeConnection(const ConnectionPtr &Removed);
  void startQueued();
  ConnectionPtr acquireConnection(const Exchange &Next);
  void armQueueTimer();
  void expireQueued();
  void postNotSent(Exchange Ended, const std::string &Detail);
  void postResult(Exchange Ended, HttpResult Result);
  void finish(Exchange &Ended, const HttpResult &Result);

  boost::asio::io_context &m_Context;
  boost::asio::steady_timer m_Sweep;
  boost::asio::steady_timer m_QueueTimer;
  HttpClientOptions m_Options;
  boost::asio::ip::tcp::endpoint m_Endpoint;
  std::vector<ConnectionPtr> m_Open;
  std::vector<ConnectionPtr> m_Idle;
  std::deque<Exchange> m_Queue;
  std::unordered_map<ExchangeId, ConnectionPtr> m_Running;
  ExchangeId m_LastId = 0;
  bool m_Stopped = false;
};

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_HTTP_CLIENT_POOL_H
