/// \file
/// An HTTP client connected to a server that sends fixed bytes.
#ifndef DANDELIONFALL_TESTS_UNIT_HTTP_CLIENT_FIXTURE_H
#define DANDELIONFALL_TESTS_UNIT_HTTP_CLIENT_FIXTURE_H

#include "dandelionfall/net/address.h"
#include "dandelionfall/net/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <functional>
#include <list>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace dandelionfall::test {

using boost::asio::ip::tcp;
using net::ExchangeOutcome;
using std::chrono::milliseconds;

constexpr std::chrono::seconds WaitLimit{3};
constexpr milliseconds ShortTimeout{150};

inline std::string formatEndpoint(const tcp::endpoint &Endpoint) {
  std::ostringstream Text;
  Text << Endpoint;
  return Text.str();
}

enum class ConnectionAction : std::uint8_t { Keep, Close, Break };

/// A server that counts complete request headers and sends fixed bytes in
/// response, and a client connected to it.
class HttpClientFixture {
public:
  explicit HttpClientFixture(net::HttpClientOptions Options = {})
      : m_Acceptor(m_Context, net::parseEndpoint("127.0.0.1:0")) {
    Options.m_Address = formatEndpoint(m_Acceptor.local_endpoint());
    m_Client.emplace(m_Context, Options);
    accept();
  }

  net::ExchangeId send(bool Idempotent = false,
                       milliseconds Timeout = WaitLimit,
                       const std::string &Method = "GET") {
    core::HttpRequest Request;
    Request.m_Method = Method;
    Request.m_Path = "/";
    Request.m_Fields = m_Fields;
    Request.m_Body = m_Body;
    const std::size_t Index = m_Results.size();
    m_Results.emplace_back();
    return m_Client->send(Request, Timeout, Idempotent,
                          [this, Index](const net::HttpResult &Result) {
                            CHECK_FALSE(m_Results[Index].has_value());
                            m_Results[Index] = Result;
                          });
  }

  void runUntil(const std::function<bool()> &Done) {
    const auto Limit = std::chrono::steady_clock::now() + WaitLimit;
    while (!Done() && std::chrono::steady_clock::now() < Limit)
      m_Context.run_for(milliseconds(5));
  }

  void runFor(milliseconds Time) { m_Context.run_for(Time); }

  /// \returns the result of the most recent exchange; waits for it.
  net::HttpResult lastResult() {
    runUntil([this] { return m_Results.back().has_value(); });
    REQUIRE(m_Results.back().has_value());
    return *m_Results.back();
  }

  void finishConnection(tcp::socket &Peer, ConnectionAction Next) {
    boost::system::error_code Ignored;
    if (Next == ConnectionAction::Keep)
      return;
    if (Next == ConnectionAction::Break)
      Peer.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
    Peer.close(Ignored);
  }

  boost::asio::io_context m_Context;
  tcp::acceptor m_Acceptor;
  std::optional<net::HttpClient> m_Client;
  std::vector<std::optional<net::HttpResult>> m_Results;
  std::list<tcp::socket> m_Peers;
  std::vector<core::HttpField> m_Fields;
  std::string m_Body;
  std::string m_ResponseBytes;
  /// Bytes sent before a response on the first connection.
  std::string m_FirstPeerPrefix;
  ConnectionAction m_ConnectionAction = ConnectionAction::Keep;
  std::size_t m_Requests = 0;

private:
  void accept() {
    m_Acceptor.async_accept(
        [this](boost::system::error_code Code, tcp::socket Peer) {
          if (Code)
            return;
          m_Peers.push_back(std::move(Peer));
          serve(m_Peers.back());
          accept();
        });
  }

  void serve(tcp::socket &Peer) {
    const auto Input = std::make_shared<std::string>();
    boost::asio::async_read_until(
        Peer, boost::asio::dynamic_buffer(*Input), "\r\n\r\n",
        [this, &Peer, Input](boost::system::error_code Code, std::size_t) {
          if (Code)
            return;
          ++m_Requests;
          const bool IsFirst = &Peer == &m_Peers.front();
          boost::asio::write(
              Peer, boost::asio::buffer((IsFirst ? m_FirstPeerPrefix : "") +
                                        m_ResponseBytes));
          finishConnection(Peer, m_ConnectionAction);
          if (m_ConnectionAction == ConnectionAction::Keep)
            serve(Peer);
        });
  }
};

} // namespace dandelionfall::test

#endif // DANDELIONFALL_TESTS_UNIT_HTTP_CLIENT_FIXTURE_H
