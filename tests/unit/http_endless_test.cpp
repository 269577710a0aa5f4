// Servers that send bytes without end, which are no response, until the client
// closes the connection.
#include "dandelionfall/net/address.h"
#include "dandelionfall/net/http_client.h"
#include "server_thread.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <optional>
#include <sstream>
#include <string>
#include <thread>

using namespace dandelionfall;
using boost::asio::ip::tcp;
using net::ExchangeOutcome;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Timeout{1000};
constexpr std::uint64_t MaxBodyBytes = 1U << 16U;
/// Far above what the sockets of both sides buffer.
constexpr std::size_t MaxTakenBytes = 24U << 20U;

struct EndlessCase {
  const char *m_Name;
  std::string m_Start;
  std::string m_Repeated;
};

std::vector<EndlessCase> endlessCases() {
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string Long(1000, 'x');
  return {
      {"a status line", "HTTP/1.1 200 ", Long},
      {"a field", "HTTP/1.1 200 OK\r\nA: ", Long},
      {"fields", "HTTP/1.1 200 OK\r\n", "A: " + Long + "\r\n"},
      {"no protocol", "", Long},
      {"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"responses to other requests", "",
       "HTTP/1.1 200 OK\r\nEcho: 1\r\nContent-Length: 2\r\n\r\nhi"},
      {"a stated length",
       "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", Long},
      {"until the connection closes", "HTTP/1.1 200 OK\r\n\r\n", Long},
      {"chunks", Chunked, "3e8\r\n" + Long + "\r\n"},
      {"a chunk", Chunked + "fffffffffff\r\n", Long},
      {"a chunk size", Chunked, "0000000000"},
      {"a chunk extension", Chunked + "3e8;a=", Long},
      {"trailers", Chunked + "0\r\n", "A: " + Long + "\r\n"},
      {"a trailer", Chunked + "0\r\nA: ", Long},
  };
}

/// Answers the first connection without end, and later ones properly.
class EndlessServer {
public:
  explicit EndlessServer(const EndlessCase &Case)
      : m_Case(Case), m_Acceptor(m_Context, net::parseEndpoint("127.0.0.1:0")),
        m_Thread([this] { serve(); }) {}
  ~EndlessServer() { m_Thread.join(); }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  std::string address() const {
    std::ostringstream Text;
    Text << m_Acceptor.local_endpoint();
    return Text.str();
  }
  std::size_t sent() const { return m_Sent.load(); }

private:
  static void readRequest(tcp::socket &Peer) {
    std::string Input;
    boost::system::error_code Ignored;
    boost::asio::read_until(Peer, boost::asio::dynamic_buffer(Input),
                            "\r\n\r\n", Ignored);
  }

  void serve() {
    std::thread Proper;
    {
      tcp::socket Peer = m_Acceptor.accept();
      Proper = std::thread([this] { serveProperly(); });
      readRequest(Peer);
      boost::system::error_code Code;
      m_Sent +=
          boost::asio::write(Peer, boost::asio::buffer(m_Case.m_Start), Code);
      std::string Block;
      constexpr std::size_t BlockBytes = 1U << 16U;
      while (Block.size() < BlockBytes)
        Block += m_Case.m_Repeated;
      constexpr std::size_t MostBytes = std::size_t{1} << 30U;
      while (!Code && m_Sent < MostBytes)
        m_Sent += boost::asio::write(Peer, boost::asio::buffer(Block), Code);
    }
    Proper.join();
  }

  void serveProperly() {
    tcp::socket Peer = m_Acceptor.accept();
    readRequest(Peer);
    boost::system::error_code Ignored;
    boost::asio::write(
        Peer,
        boost::asio::buffer(std::string(
            "HTTP/1.1 200 OK\r\nEcho: 7\r\nContent-Length: 2\r\n\r\nhi")),
        Ignored);
  }

  const EndlessCase &m_Case;
  boost::asio::io_context m_Context;
  tcp::acceptor m_Acceptor;
  std::atomic<std::size_t> m_Sent{0};
  std::thread m_Thread;
};

} // namespace

TEST_CASE("bytes without end are bounded in time and memory and no response") {
  for (const EndlessCase &Case : endlessCases()) {
    for (const bool CloseDelimited : {false, true}) {
      CAPTURE(std::string(Case.m_Name));
      CAPTURE(CloseDelimited);
      EndlessServer Server(Case);
      boost::asio::io_context Context;
      net::HttpClientOptions Options;
      Options.m_Address = Server.address();
      Options.m_MaxBodyBytes = MaxBodyBytes;
      Options.m_AllowCloseDelimited = CloseDelimited;
      Options.m_EchoField = "Echo";
      net::HttpClient Client(Context, Options);
      core::HttpRequest Request;
      Request.m_Method = "GET";
      Request.m_Path = "/";
      Request.m_Fields = {{"Echo", "7"}};
      std::optional<net::HttpResult> Endless;
      std::optional<net::HttpResult> Proper;
      const auto Start = std::chrono::steady_clock::now();
      Client.send(Request, Timeout, false,
                  [&](const net::HttpResult &Result) { Endless = Result; });
      Context.run_for(milliseconds(20));
      Client.send(Request, Timeout, false,
                  [&](const net::HttpResult &Result) { Proper = Result; });
      while ((!Endless || !Proper) &&
             std::chrono::steady_clock::now() < Start + 3 * Timeout)
        Context.run_for(milliseconds(5));
      REQUIRE(Endless.has_value());
      const bool IsNoResponse =
          Endless->m_Outcome == ExchangeOutcome::Malformed ||
          Endless->m_Outcome == ExchangeOutcome::TimedOut;
      CHECK(IsNoResponse);
      CHECK(Endless->m_Response == nullptr);
      CHECK(Server.sent() < MaxTakenBytes);
      REQUIRE(Proper.has_value());
      CHECK(Proper->m_Outcome == ExchangeOutcome::Answered);
    }
  }
}

TEST_CASE("a caller that sends bytes without end is disconnected") {
  const std::string Head = "POST / HTTP/1.1\r\nHost: mesh\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Long(1000, 'x');
  const EndlessCase Cases[] = {
      {"a path", "POST /", Long},
      {"fields", Head, "A: " + Long + "\r\n"},
      {"a body", Head + "Content-Length: 99999999999\r\n\r\n", Long},
      {"chunks", Chunked, "3e8\r\n" + Long + "\r\n"},
      {"a chunk size", Chunked, "0000000000"},
      {"a chunk extension", Chunked + "3e8;a=", Long},
      {"trailers", Chunked + "0\r\n", "A: " + Long + "\r\n"},
  };
  for (const EndlessCase &Case : Cases) {
    CAPTURE(std::string(Case.m_Name));
    net::HttpServerOptions Options;
    Options.m_MaxBodyBytes = MaxBodyBytes;
    Options.m_RequestTimeout = Timeout;
    std::atomic<int> Delivered{0};
    tests::ServerThread Server(
        [&](const core::HttpRequest &) -> std::optional<core::HttpResponse> {
          ++Delivered;
          return core::HttpResponse{200, {}, ""};
        },
        Options);
    boost::asio::io_context Context;
    tcp::socket Caller(Context);
    Caller.connect(net::parseEndpoint(Server.address()));
    boost::system::error_code Code;
    std::size_t Sent =
        boost::asio::write(Caller, boost::asio::buffer(Case.m_Start), Code);
    while (!Code && Sent < 2 * MaxTakenBytes)
      Sent += boost::asio::write(Caller, boost::asio::buffer(Case.m_Repeated),
                                 Code);
    CHECK(Sent < MaxTakenBytes);
    CHECK(Delivered == 0);
  }
}
