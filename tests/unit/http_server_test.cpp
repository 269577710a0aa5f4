#include "dandelionfall/core/error.h"
#include "dandelionfall/net/address.h"
#include "dandelionfall/net/http_server.h"

#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace dandelionfall;
using boost::asio::ip::tcp;

namespace {

constexpr std::chrono::seconds WaitLimit{3};

/// A server that responds 200 with the request's path and body, and a raw
/// connection to it.
class Fixture {
public:
  explicit Fixture(net::HttpServerOptions Options = {}) : m_Socket(m_Context) {
    Options.m_Address = "127.0.0.1:0";
    net::HttpServerHandlers Handlers;
    Handlers.m_Request = [this](core::CallId Call,
                                const core::HttpRequestPtr &Request) {
      m_Requests.push_back(Request);
      m_LastCall = Call;
      if (m_AutoRespond)
        m_Server->respond(Call, {200, {}, Request->m_Path + Request->m_Body});
    };
    Handlers.m_CallerDisconnected = [this](core::CallId Call) {
      m_DisconnectedCall = Call;
    };
    Handlers.m_Rejected = [this](const std::string &Fault) {
      m_Faults.push_back(Fault);
    };
    m_Server.emplace(m_Context, Options, Handlers);
    m_Socket.connect(net::parseEndpoint(m_Server->address()));
  }

  void send(const std::string &Bytes) {
    boost::asio::write(m_Socket, boost::asio::buffer(Bytes));
  }

  void runUntil(const std::function<bool()> &Done) {
    const auto Limit = std::chrono::steady_clock::now() + WaitLimit;
    while (!Done() && std::chrono::steady_clock::now() < Limit)
      m_Context.run_for(std::chrono::milliseconds(5));
  }

  /// \returns the bytes received until the server closed the connection,
  /// `Enough` accepted them or the wait limit passed.
  std::string receive(const std::function<bool(const std::string &)> &Enough) {
    std::string All;
    bool Closed = false;
    m_Socket.non_blocking(true);
    runUntil([&] {
      char Buffer[4096];
      boost::system::error_code Code;
      const std::size_t Count =
          m_Socket.read_some(boost::asio::buffer(Buffer), Code);
      All.append(Buffer, Count);
      Closed = Code && Code != boost::asio::error::would_block;
      return Closed || Enough(All);
    });
    m_Closed = Closed;
    return All;
  }

  boost::asio::io_context m_Context;
  std::optional<net::HttpServer> m_Server;
  tcp::socket m_Socket;
  std::vector<core::HttpRequestPtr> m_Requests;
  std::vector<std::string> m_Faults;
  std::optional<core::CallId> m_DisconnectedCall;
  core::CallId m_LastCall = 0;
  bool m_AutoRespond = true;
  bool m_Closed = false;
};

bool endsWithBody(const std::string &Text) {
  return Text.find("\r\n\r\n") != std::string::npos &&
         Text.find("HTTP/1.1 200") == 0;
}

struct InvalidRequest {
  const char *m_Name;
  std::string m_Bytes;
  const char *m_Status;
};

std::vector<InvalidRequest> invalidRequests() {
  return {
      {"no HTTP", "hello there\r\n\r\n", "400"},
      {"no host", "GET / HTTP/1.1\r\n\r\n", "400"},
      {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
      {"absolute target", "GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
      {"connect", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
      {"two lengths",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
       "Content-Length: 4\r\n\r\nabcd",
       "400"},
      {"the same length twice",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
       "Content-Length: 3\r\n\r\nabc",
       "400"},
      {"length and chunks",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"chunks and length",
       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
       "Content-Length: 3\r\n\r\n0\r\n\r\n",
       "400"},
      {"unknown coding",
       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n"
       "\r\n0\r\n\r\n",
       "400"},
      {"two codings",
       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"bad chunk",
       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
       "400"},
      {"space before colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", "400"},
      {"negative length",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", "400"},
      {"large header",
       "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20'000, 'x') +
           "\r\n\r\n",
       "431"},
      {"large body",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n", "413"},
      {"trace with a body",
       "TRACE / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello", "400"},
      {"trace with chunks",
       "TRACE / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
       "5\r\nhello\r\n0\r\n\r\n",
       "400"},
      {"large trailer",
       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
       "0\r\nX: " +
           std::string(70'000, 'x') + "\r\n\r\n",
       "431"},
      {"upgrade",
       "GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
       "400"},
  };
}

} // namespace

TEST_CASE("requests on one connection are answered in order") {
  Fixture Test;
  Test.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(endsWithBody(Test.receive(endsWithBody)));
  Test.send("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
            "Connection: drop-me\r\nDrop-Me: 1\r\nKeep: 2\r\n\r\nhi");
  CHECK(endsWithBody(Test.receive(endsWithBody)));
  REQUIRE(Test.m_Requests.size() == 2);
  CHECK(Test.m_Requests[1]->m_Body == "hi");
  CHECK(Test.m_Requests[1]->m_HostName == "x");
  CHECK(Test.m_Requests[1]->m_Fields ==
        std::vector<core::HttpField>{{"Keep", "2"}});
  CHECK_FALSE(Test.m_Closed);
}

TEST_CASE(
    "an invalid request gets an error response and closes the connection") {
  for (const InvalidRequest &Case : invalidRequests()) {
    CAPTURE(Case.m_Name);
    net::HttpServerOptions Options;
    Options.m_MaxBodyBytes = 1000;
    Fixture Test(Options);
    Test.send(Case.m_Bytes);
    const std::string Reply =
        Test.receive([](const std::string &) { return false; });
    CHECK(Reply.find(std::string("HTTP/1.1 ") + Case.m_Status) == 0);
    CHECK(Test.m_Closed);
    CHECK(Test.m_Requests.empty());
    CHECK(Test.m_Faults.size() == 1);
  }
}

TEST_CASE("an incomplete request gets a 408 response and is disconnected") {
  net::HttpServerOptions Options;
  Options.m_RequestTimeout = std::chrono::seconds(1);
  Fixture Test(Options);
  Test.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
  const std::string Reply =
      Test.receive([](const std::string &) { return false; });
  CHECK(Reply.find("HTTP/1.1 408") == 0);
  CHECK(Test.m_Closed);
  CHECK(Test.m_Requests.empty());
}

TEST_CASE("a caller's disconnect before its response is reported") {
  Fixture Test;
  Test.m_AutoRespond = false;
  Test.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  Test.runUntil([&] { return !Test.m_Requests.empty(); });
  REQUIRE(Test.m_LastCall != 0);
  Test.m_Socket.close();
  Test.runUntil([&] { return Test.m_DisconnectedCall.has_value(); });
  CHECK(Test.m_DisconnectedCall == Test.m_LastCall);
  Test.m_Server->respond(Test.m_LastCall, {200, {}, "late"});
  CHECK(Test.m_Server->busyConnections() == 0);
}

TEST_CASE("a drain closes a connection after its pending response") {
  Fixture Test;
  Test.m_AutoRespond = false;
  Test.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  Test.runUntil([&] { return !Test.m_Requests.empty(); });
  Test.m_Server->startDrain();
  Test.m_Server->respond(Test.m_LastCall, {200, {}, "complete"});
  const std::string Reply =
      Test.receive([](const std::string &) { return false; });
  CHECK(Reply.find("Connection: close") != std::string::npos);
  CHECK(Reply.ends_with("complete"));
  CHECK(Test.m_Closed);
}

TEST_CASE("an address in use gives an error with a remedy") {
  Fixture Test;
  boost::asio::io_context Context;
  net::HttpServerOptions Options;
  Options.m_Address = Test.m_Server->address();
  try {
    net::HttpServer Second(Context, Options, {});
    FAIL("bound twice");
  } catch (const core::Error &Fault) {
    CHECK(Fault.kind() == core::ErrorKind::AddressInUse);
    CHECK_FALSE(Fault.remedy().empty());
  }
}

TEST_CASE("a field longer than the HTTP library can hold gets a 431 response") {
  net::HttpServerOptions Options;
  Options.m_MaxHeaderBytes = 200'000;
  Fixture Test(Options);
  Test.send("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(70'000, 'x') +
            "\r\n\r\n");
  const std::string Reply =
      Test.receive([](const std::string &) { return false; });
  CHECK(Reply.find("HTTP/1.1 431") == 0);
  CHECK(Test.m_Requests.empty());
}

TEST_CASE("a trace request without content is passed on") {
  for (const char *Length : {"", "Content-Length: 0\r\n"}) {
    Fixture Test;
    Test.send(std::string("TRACE /a HTTP/1.1\r\nHost: x\r\n") + Length +
              "\r\n");
    CHECK(endsWithBody(Test.receive(endsWithBody)));
    REQUIRE(Test.m_Requests.size() == 1);
    CHECK(Test.m_Requests[0]->m_Method == "TRACE");
  }
}

TEST_CASE("a response that can't be written as HTTP becomes a 502 response") {
  const std::vector<core::HttpResponse> Responses = {
      {0, {}, ""},
      {99, {}, "body"},
      {100, {}, "body"},
      {101, {}, ""},
      {1000, {}, ""},
      {200, {{std::string(70'000, 'n'), "v"}}, ""},
      {200, {{"Name", std::string(70'000, 'v')}}, ""}};
  for (const core::HttpResponse &Each : Responses) {
    CAPTURE(Each.m_Status);
    Fixture Test;
    Test.m_AutoRespond = false;
    Test.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    Test.runUntil([&] { return !Test.m_Requests.empty(); });
    Test.m_Server->respond(Test.m_LastCall, Each);
    const auto IsComplete = [](const std::string &Text) {
      return Text.find("\r\n\r\n") != std::string::npos;
    };
    CHECK(Test.receive(IsComplete).find("HTTP/1.1 502") == 0);
    CHECK_FALSE(Test.m_Closed);
    Test.m_AutoRespond = true;
    Test.send("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(endsWithBody(Test.receive(endsWithBody)));
  }
}

namespace {

constexpr core::ByteBudgetLimits RoomLimits{
    .m_LargeTotal = 4096, .m_SmallTotal = 128, .m_MaxSmall = 64};

/// Refuses requests without room at once if `MaxWait` is 0.
net::HttpServerHandlers withRoom(net::HttpServerHandlers Handlers,
                                 std::chrono::milliseconds MaxWait) {
  Handlers.m_MaxRoomWait = [MaxWait](const core::HttpRequest &) {
    return MaxWait;
  };
  Handlers.m_NoRoom = [](const core::HttpRequest &Header) {
    return core::HttpResponse{503, {}, "no room for " + Header.m_Path};
  };
  return Handlers;
}

/// A server with a budget for bodies that leaves requests unanswered.
struct RoomFixture {
  explicit RoomFixture(std::chrono::milliseconds MaxWait) {
    net::HttpServerOptions Options;
    Options.m_Address = "127.0.0.1:0";
    Options.m_BodyBudget = m_Budget;
    net::HttpServerHandlers Handlers;
    Handlers.m_Request = [this](core::CallId, core::HttpRequestPtr Request) {
      m_Requests.push_back(std::move(Request));
    };
    m_Server.emplace(m_Context, Options,
                     withRoom(std::move(Handlers), MaxWait));
    m_Socket.connect(net::parseEndpoint(m_Server->address()));
  }

  void send(const std::string &Bytes) {
    boost::asio::write(m_Socket, boost::asio::buffer(Bytes));
  }

  void runUntil(const std::function<bool()> &Done) {
    const auto Limit = std::chrono::steady_clock::now() + WaitLimit;
    while (!Done() && std::chrono::steady_clock::now() < Limit)
      m_Context.run_for(std::chrono::milliseconds(5));
  }

  std::shared_ptr<core::ByteBudget> m_Budget =
      core::ByteBudget::create(RoomLimits);
  boost::asio::io_context m_Context;
  std::vector<core::HttpRequestPtr> m_Requests;
  std::optional<net::HttpServer> m_Server;
  tcp::socket m_Socket{m_Context};
};

std::string post(std::size_t Length) {
  return "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(Length) + "\r\n\r\n" + std::string(Length, 'b');
}

} // namespace

TEST_CASE("a body is read once there is room, which its request then holds") {
  RoomFixture Test(WaitLimit);
  auto Other = Test.m_Budget->tryReserve(4000);
  Test.send(post(1000));
  Test.runUntil([&] { return Test.m_Budget->waiting() == 1; });
  CHECK(Test.m_Budget->waiting() == 1);
  CHECK(Test.m_Requests.empty());
  Other.release();
  Test.runUntil([&] { return !Test.m_Requests.empty(); });
  REQUIRE(Test.m_Requests.size() == 1);
  CHECK(Test.m_Requests[0]->m_Body.size() == 1000);
  CHECK(Test.m_Budget->held() == 2000);
  Test.m_Requests.clear();
  CHECK(Test.m_Budget->held() == 0);
}

TEST_CASE("a request without room in time gets the owner's response") {
  RoomFixture Test(std::chrono::milliseconds(1));
  const auto Other = Test.m_Budget->tryReserve(4000);
  Test.send(post(1000));
  Test.m_Socket.non_blocking(true);
  std::string Reply;
  bool Closed = false;
  Test.runUntil([&] {
    char Buffer[1024];
    boost::system::error_code Code;
    Reply.append(Buffer,
                 Test.m_Socket.read_some(boost::asio::buffer(Buffer), Code));
    Closed = Code == boost::asio::error::eof;
    return Closed;
  });
  CHECK(Closed);
  CHECK(Reply.starts_with("HTTP/1.1 503"));
  CHECK(Reply.ends_with("no room for /a"));
  CHECK(Test.m_Requests.empty());
  CHECK(Test.m_Budget->waiting() == 0);
}

TEST_CASE("a chunked body reserves more as it grows and keeps its size") {
  net::HttpServerOptions Options;
  RoomFixture Test(WaitLimit);
  Test.m_Server->setLimits(Options.m_MaxHeaderBytes, 2000,
                           Options.m_RequestTimeout, Options.m_IdleTimeout);
  // The new limits hold for the connections opened after it.
  tcp::socket Later(Test.m_Context);
  Later.connect(net::parseEndpoint(Test.m_Server->address()));
  const std::string Chunk = "64\r\n" + std::string(100, 'c') + "\r\n";
  std::string Bytes =
      "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int Count = 0; Count < 9; ++Count)
    Bytes += Chunk;
  boost::asio::write(Later, boost::asio::buffer(Bytes + "0\r\n\r\n"));
  Test.runUntil([&] { return !Test.m_Requests.empty(); });
  REQUIRE(Test.m_Requests.size() == 1);
  CHECK(Test.m_Requests[0]->m_Body.size() == 900);
  CHECK(Test.m_Budget->held() == 1800);
}

TEST_CASE("a connection that closes while it waits leaves no waiter") {
  RoomFixture Test(std::chrono::milliseconds(1));
  const auto Other = Test.m_Budget->tryReserve(4000);
  Test.send(post(1000));
  Test.runUntil([&] { return Test.m_Budget->waiting() == 1; });
  Test.m_Server.reset();
  CHECK(Test.m_Budget->waiting() == 0);
  CHECK(Test.m_Budget->held() == 4000);
}
