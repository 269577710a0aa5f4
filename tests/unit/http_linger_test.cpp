// Guards against connections that are reset behind their last response, so that
// the caller loses what it has not received yet.
#include "dandelionfall/net/address.h"
#include "dandelionfall/net/http_server.h"

#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>

using namespace dandelionfall;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds WaitLimit{5};
constexpr int ReceiveWindow = 4096;
const std::string Body(30'000, 'b');
const std::string Get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

/// A server with a long response, and a caller with a small receive window.
class Fixture {
public:
  explicit Fixture(net::HttpServerOptions Options = {})
      : m_Caller(m_Context, tcp::v4()) {
    Options.m_Address = "127.0.0.1:0";
    net::HttpServerHandlers Handlers;
    Handlers.m_Request = [this](core::CallId Call,
                                const core::HttpRequestPtr &) {
      ++m_Requests;
      m_Call = Call;
    };
    Handlers.m_MayRunBeside = [](const core::HttpRequest &) { return true; };
    Handlers.m_Undelivered = [this](std::size_t Bytes) {
      m_Undelivered = Bytes;
    };
    m_Server.emplace(m_Context, Options, Handlers);
    m_Caller.set_option(tcp::socket::receive_buffer_size(ReceiveWindow));
    m_Caller.connect(net::parseEndpoint(m_Server->address()));
  }

  void runUntil(const std::function<bool()> &Done) {
    const auto Limit = std::chrono::steady_clock::now() + WaitLimit;
    while (!Done() && std::chrono::steady_clock::now() < Limit)
      m_Context.run_for(milliseconds(2));
  }

  void send(const std::string &Bytes) {
    boost::asio::write(m_Caller, boost::asio::buffer(Bytes));
  }

  /// Replaces the connection, which the server must have closed if it takes
  /// only one.
  void connectAgain() {
    m_Previous.emplace(std::move(m_Caller));
    m_Caller = tcp::socket(m_Context);
    m_Caller.connect(net::parseEndpoint(m_Server->address()));
  }

  /// Sends a request, and waits until it has begun.
  void begin(const std::string &Request = Get) {
    const int Before = m_Requests;
    send(Request);
    runUntil([&] { return m_Requests > Before; });
    REQUIRE(m_Requests == Before + 1);
  }

  /// Responds, and waits until the system has taken all of the response.
  void respond() {
    m_Server->respond(m_Call, {200, {}, Body});
    runUntil([&] { return m_Server->busyConnections() == 0; });
    REQUIRE(m_Server->busyConnections() == 0);
  }

  /// Receives until the server closes.
  /// \param Pause the time between two reads.
  /// \param ReadSize the size of each.
  void receive(milliseconds Pause = milliseconds(2),
               std::size_t ReadSize = 4096) {
    m_Caller.non_blocking(true);
    std::string Buffer(ReadSize, '\0');
    m_End = {};
    runUntil([&] {
      m_Context.run_for(Pause);
      boost::system::error_code Code;
      const std::size_t Bytes =
          m_Caller.read_some(boost::asio::buffer(Buffer), Code);
      m_Received.append(Buffer, 0, Bytes);
      if (Code != boost::asio::error::would_block)
        m_End = Code;
      return m_End.failed();
    });
  }

  boost::asio::io_context m_Context;
  std::optional<net::HttpServer> m_Server;
  tcp::socket m_Caller;
  std::optional<tcp::socket> m_Previous;
  core::CallId m_Call = 0;
  int m_Requests = 0;
  std::optional<std::size_t> m_Undelivered;
  std::string m_Received;
  boost::system::error_code m_End;
};

} // namespace

TEST_CASE("the caller's next request doesn't cut off its last response") {
  struct Row {
    const char *m_Name;
    std::function<void(Fixture &)> m_Play;
  };
  const Row Rows[] = {
      {"the caller closes",
       [](Fixture &Test) {
         Test.begin("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
         Test.respond();
       }},
      {"a stop",
       [](Fixture &Test) {
         Test.begin();
         Test.m_Server->disableKeepAlive();
         Test.respond();
       }},
      {"a stop, the next request during the response",
       [](Fixture &Test) {
         Test.begin();
         Test.m_Server->disableKeepAlive();
         Test.m_Server->respond(Test.m_Call, {200, {}, Body});
         Test.send(Get);
         Test.runUntil([&] { return Test.m_Server->busyConnections() == 0; });
       }},
      {"a drain that begins behind the response",
       [](Fixture &Test) {
         Test.begin();
         Test.respond();
         Test.m_Server->startDrain();
       }},
      {"the idle timeout",
       [](Fixture &Test) {
         Test.begin();
         Test.respond();
         Test.m_Context.run_for(milliseconds(600));
       }},
      {"a request that can't be read",
       [](Fixture &Test) {
         Test.begin();
         Test.respond();
         Test.send("no request\r\n\r\n");
         Test.m_Context.run_for(milliseconds(50));
       }},
  };
  for (const Row &Each : Rows) {
    CAPTURE(Each.m_Name);
    net::HttpServerOptions Options;
    Options.m_IdleTimeout = milliseconds(200);
    Fixture Test(Options);
    Each.m_Play(Test);
    Test.m_Context.run_for(milliseconds(20));
    Test.send(Get);
    Test.m_Context.run_for(milliseconds(20));
    Test.receive();
    CHECK(Test.m_Received.find(Body) != std::string::npos);
    CHECK(Test.m_End == boost::asio::error::eof);
    CHECK(Test.m_Requests == 1);
    CHECK_FALSE(Test.m_Undelivered.has_value());
  }
}

TEST_CASE("a finished connection is closed when its caller closes its side") {
  net::HttpServerOptions Options;
  Options.m_MaxConnections = 1;
  Fixture Test(Options);
  Test.begin();
  Test.m_Server->disableKeepAlive();
  Test.respond();
  Test.receive();
  CHECK(Test.m_End == boost::asio::error::eof);
  Test.m_Caller.shutdown(tcp::socket::shutdown_send);
  Test.m_Context.run_for(milliseconds(20));
  Test.connectAgain();
  Test.begin();
}

TEST_CASE("a finished connection waits for a slow caller, but not for ever") {
  net::HttpServerOptions Options;
  Options.m_LingerTimeout = milliseconds(1000);
  Options.m_MaxConnections = 1;
  Fixture Test(Options);
  Test.begin();
  Test.m_Server->disableKeepAlive();
  Test.respond();
  Test.send(Get);
  SUBCASE("one that receives gets all") {
    Test.receive(milliseconds(100), 1000);
    CHECK(Test.m_Received.ends_with(Body));
    CHECK(Test.m_End == boost::asio::error::eof);
    CHECK_FALSE(Test.m_Undelivered.has_value());
  }
  SUBCASE("one that receives nothing is disconnected") {
    Test.runUntil([&] { return Test.m_Undelivered.has_value(); });
    REQUIRE(Test.m_Undelivered.has_value());
    CHECK(*Test.m_Undelivered > 0);
    CHECK(*Test.m_Undelivered < Body.size() + 200);
    Test.connectAgain();
    Test.begin();
  }
}
