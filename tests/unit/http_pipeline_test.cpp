#include "dandelionfall/net/address.h"
#include "dandelionfall/net/http_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace dandelionfall;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds WaitLimit{3};
/// Time in which nothing must happen.
constexpr milliseconds Quiet{150};

/// A server that leaves requests open until the test answers them with their
/// path, and a raw connection to it. GET and HEAD may run beside others.
class Fixture {
public:
  explicit Fixture(net::HttpServerOptions Options = {}, bool Beside = true)
      : m_Socket(m_Context) {
    Options.m_Address = "127.0.0.1:0";
    net::HttpServerHandlers Handlers;
    Handlers.m_Request = [this](core::CallId Call,
                                const core::HttpRequestPtr &Request) {
      m_Begun.push_back(Request->m_Path);
      m_Calls[Request->m_Path] = Call;
      if (m_OnRequest)
        m_OnRequest(Request->m_Path);
    };
    if (Beside)
      Handlers.m_MayRunBeside = [](const core::HttpRequest &Request) {
        return Request.m_Method != "POST";
      };
    Handlers.m_RunsBeside = [this](core::CallId) { ++m_BegunBeside; };
    Handlers.m_CallerDisconnected = [this](core::CallId Call) {
      m_Left.push_back(Call);
    };
    Handlers.m_Rejected = [this](const std::string &) { ++m_Rejected; };
    m_Server.emplace(m_Context, Options, Handlers);
    m_Socket.connect(net::parseEndpoint(m_Server->address()));
  }

  void send(const std::string &Bytes) {
    boost::asio::write(m_Socket, boost::asio::buffer(Bytes));
  }

  void answer(const std::string &Path) {
    m_Server->respond(m_Calls.at(Path), {200, {}, "[" + Path + "]"});
  }

  void runUntil(const std::function<bool()> &Done,
                milliseconds Longest = WaitLimit) {
    const auto Limit = std::chrono::steady_clock::now() + Longest;
    while (!Done() && std::chrono::steady_clock::now() < Limit)
      m_Context.run_for(milliseconds(2));
  }

  void runQuietly() {
    runUntil([] { return false; }, Quiet);
  }

  bool begins(std::size_t Count) {
    runUntil([&] { return m_Begun.size() >= Count; });
    return m_Begun.size() == Count;
  }

  /// \returns the statuses and bodies received until the connection closed,
  /// there were `Count` of them or the wait limit passed.
  std::string receive(std::size_t Count) {
    m_Socket.non_blocking(true);
    std::string Found;
    runUntil([&] {
      char Buffer[4096];
      boost::system::error_code Code;
      const std::size_t Bytes =
          m_Socket.read_some(boost::asio::buffer(Buffer), Code);
      m_Received.append(Buffer, Bytes);
      m_End = Code == boost::asio::error::would_block
                  ? boost::system::error_code()
                  : Code;
      Found = summary();
      return m_End || static_cast<std::size_t>(
                          std::count(Found.begin(), Found.end(), ' ')) >= Count;
    });
    return Found;
  }

  boost::asio::io_context m_Context;
  std::optional<net::HttpServer> m_Server;
  tcp::socket m_Socket;
  std::vector<std::string> m_Begun;
  std::map<std::string, core::CallId> m_Calls;
  std::vector<core::CallId> m_Left;
  std::function<void(const std::string &)> m_OnRequest;
  std::string m_Received;
  boost::system::error_code m_End;
  int m_Rejected = 0;
  int m_BegunBeside = 0;

private:
  // "200/a 200/b! 400 " for two answers, the second with Connection: close, and
  // an error response.
  std::string summary() const {
    std::string Result;
    std::size_t At = 0;
    while ((At = m_Received.find("HTTP/1.1 ", At)) != std::string::npos) {
      const std::size_t End =
          std::min(m_Received.find("HTTP/1.1 ", At + 1), m_Received.size());
      const std::string One = m_Received.substr(At, End - At);
      At = End;
      const std::size_t Body = One.find("\r\n\r\n");
      if (Body == std::string::npos)
        break;
      const std::size_t Open = One.find('[', Body);
      const bool IsWhole = One.ends_with("]");
      Result += One.substr(9, 3);
      if (Open != std::string::npos && IsWhole)
        Result += One.substr(Open + 1, One.size() - Open - 2);
      if (One.find("Connection: close") < Body)
        Result += "!";
      Result += " ";
    }
    return Result;
  }
};

std::string get(const std::string &Path, const std::string &Fields = "") {
  return "GET " + Path + " HTTP/1.1\r\nHost: x\r\n" + Fields + "\r\n";
}

std::string post(const std::string &Path, const std::string &Fields = "") {
  return "POST " + Path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n" +
         Fields + "\r\nhi";
}

} // namespace

TEST_CASE("six requests of 0.3 s are answered in under 1 s, in order") {
  for (const bool InOnePacket : {true, false}) {
    Fixture Test;
    std::vector<std::unique_ptr<boost::asio::steady_timer>> Timers;
    Test.m_OnRequest = [&](const std::string &Path) {
      auto &Timer = *Timers.emplace_back(
          std::make_unique<boost::asio::steady_timer>(Test.m_Context));
      // The first is the slowest.
      Timer.expires_after(milliseconds(Path == "/1" ? 300 : 250));
      Timer.async_wait(
          [&, Path](boost::system::error_code) { Test.answer(Path); });
    };
    const auto Start = std::chrono::steady_clock::now();
    std::string All;
    for (const char *Path : {"/1", "/2", "/3", "/4", "/5", "/6"}) {
      if (!InOnePacket) {
        Test.send(get(Path));
        Test.runUntil([] { return false; }, milliseconds(5));
      }
      All += get(Path);
    }
    if (InOnePacket)
      Test.send(All);
    CHECK(Test.receive(6) == "200/1 200/2 200/3 200/4 200/5 200/6 ");
    CHECK(std::chrono::steady_clock::now() - Start < milliseconds(1000));
    CHECK(Test.m_BegunBeside == 5);
    CHECK(Test.m_Server->busyConnections() == 0);
  }
}

TEST_CASE("answers that are ready wait for a slow one before them") {
  Fixture Test;
  Test.send(get("/1") + "HEAD /2 HTTP/1.1\r\nHost: x\r\n\r\n" + get("/3"));
  REQUIRE(Test.begins(3));
  Test.answer("/3");
  Test.answer("/2");
  Test.runQuietly();
  CHECK(Test.m_Received.empty());
  CHECK(Test.m_Server->busyConnections() == 1);
  Test.answer("/1");
  CHECK(Test.receive(3) == "200/1 200 200/3 ");
}

TEST_CASE("a server without a rule serves one by one") {
  Fixture Test({}, false);
  Test.send(get("/1") + get("/2"));
  REQUIRE(Test.begins(1));
  Test.runQuietly();
  CHECK(Test.m_Begun.size() == 1);
  Test.answer("/1");
  REQUIRE(Test.begins(2));
  Test.answer("/2");
  CHECK(Test.receive(2) == "200/1 200/2 ");
  CHECK(Test.m_BegunBeside == 0);
}

TEST_CASE("a request that must not repeat runs alone") {
  Fixture Test;
  Test.send(get("/1") + get("/2") + post("/3") + get("/4") + get("/5"));
  REQUIRE(Test.begins(2));
  Test.answer("/2");
  Test.runQuietly();
  CHECK(Test.m_Begun.size() == 2);
  Test.answer("/1");
  REQUIRE(Test.begins(3));
  CHECK(Test.m_Server->timeHeld(Test.m_Calls.at("/3")) >= Quiet);
  CHECK(Test.receive(2) == "200/1 200/2 ");
  Test.runQuietly();
  CHECK(Test.m_Begun.size() == 3);
  Test.answer("/3");
  REQUIRE(Test.begins(5));
  Test.answer("/5");
  Test.answer("/4");
  CHECK(Test.receive(5) == "200/1 200/2 200/3 200/4 200/5 ");
}

TEST_CASE("what ends the connection is answered in its turn, and is the last") {
  struct Row {
    const char *m_Name;
    std::string m_Bytes;
    std::size_t m_Begun;
    const char *m_Expected;
  };
  const std::string Http10 = "GET /2 HTTP/1.0\r\n\r\n";
  const Row Rows[] = {
      {"malformed", "GARBAGE\r\n\r\n" + get("/3"), 1, "200/1 400! "},
      {"two lengths", post("/2", "Content-Length: 3\r\n"), 1, "200/1 400! "},
      {"close", get("/2", "Connection: close\r\n") + get("/3"), 2,
       "200/1 200/2! "},
      {"old version", Http10 + get("/3"), 2, "200/1 200/2! "},
      {"close that must not repeat",
       post("/2", "Connection: close\r\n") + get("/3"), 1, "200/1 200/2! "},
      {"incomplete", "GET /2 HTT", 1, "200/1 408! "},
  };
  for (const Row &Each : Rows) {
    CAPTURE(Each.m_Name);
    net::HttpServerOptions Options;
    Options.m_RequestTimeout = milliseconds(200);
    Fixture Test(Options);
    Test.send(get("/1") + Each.m_Bytes);
    REQUIRE(Test.begins(Each.m_Begun));
    Test.runUntil([] { return false; }, milliseconds(600));
    CHECK(Test.m_Received.empty());
    // More bytes than are read at once, which must not reset the connection. A
    // read that the timeout left pending gets none.
    if (Each.m_Bytes.ends_with("\r\n\r\n") || Each.m_Bytes.ends_with("hi"))
      Test.send(get("/9", "X: " + std::string(200'000, 'x') + "\r\n"));
    if (Each.m_Begun == 2)
      Test.answer("/2");
    Test.answer("/1");
    if (Each.m_Begun == 1 &&
        std::string(Each.m_Expected).find("/2") != std::string::npos) {
      REQUIRE(Test.begins(2));
      Test.answer("/2");
    }
    CHECK(Test.receive(3) == Each.m_Expected);
    CHECK(Test.m_End == boost::asio::error::eof);
    boost::system::error_code WasReset;
    Test.m_Socket.write_some(boost::asio::buffer("more", 4), WasReset);
    CHECK_FALSE(WasReset);
    CHECK(Test.m_Begun.size() <= 2);
    CHECK(Test.m_Left.empty());
    CHECK(Test.m_Server->busyConnections() == 0);
  }
}

TEST_CASE("a caller that still sends after a rejection can read it") {
  Fixture Test;
  Test.send("GET / HTTP/1.1\r\n\r\n");
  Test.runUntil([&] { return Test.m_Rejected == 1; });
  Test.runQuietly();
  for (int Count = 0; Count < 3; ++Count) {
    boost::system::error_code WasReset;
    Test.m_Socket.write_some(boost::asio::buffer("more", 4), WasReset);
    CHECK_FALSE(WasReset);
    Test.runUntil([] { return false; }, milliseconds(5));
  }
  CHECK(Test.receive(1) == "400! ");
}

TEST_CASE("all calls of a caller that leaves are reported once") {
  struct Row {
    const char *m_Name;
    std::string m_Bytes;
    std::size_t m_Begun;
  };
  std::string Seventeen;
  for (int Index = 10; Index < 27; ++Index)
    Seventeen += get("/" + std::to_string(Index));
  const Row Rows[] = {
      {"reading on", get("/1") + get("/2") + get("/3"), 3},
      {"in a request", get("/1") + get("/2") + "GET /3", 2},
      {"one is held", get("/1") + get("/2") + post("/3"), 2},
      {"bytes behind what is held", get("/1") + post("/3") + get("/4"), 1},
      {"at the bound", Seventeen, 16},
      {"behind a close", get("/1") + get("/2", "Connection: close\r\n"), 2},
      {"awaits 100", get("/1") + post("/2", "Expect: 100-continue\r\n"), 1},
      {"behind what must not repeat", post("/1") + get("/2"), 1},
  };
  for (const Row &Each : Rows) {
    for (const bool WithReset : {false, true}) {
      CAPTURE(Each.m_Name);
      CAPTURE(WithReset);
      Fixture Test;
      Test.send(Each.m_Bytes);
      REQUIRE(Test.begins(Each.m_Begun));
      Test.runUntil([] { return false; }, milliseconds(20));
      CHECK(Test.m_Left.empty());
      if (WithReset)
        Test.m_Socket.set_option(tcp::socket::linger(true, 0));
      Test.m_Socket.close();
      Test.runUntil([&] { return !Test.m_Left.empty(); });
      std::sort(Test.m_Left.begin(), Test.m_Left.end());
      std::vector<core::CallId> Expected;
      for (const auto &[Path, Call] : Test.m_Calls)
        Expected.push_back(Call);
      std::sort(Expected.begin(), Expected.end());
      CHECK(Test.m_Left == Expected);
      CHECK(Test.m_Server->busyConnections() == 0);
      Test.answer(Test.m_Begun.front());
      Test.runQuietly();
      CHECK(Test.m_Left == Expected);
      CHECK(Test.m_Begun.size() == Each.m_Begun);
    }
  }
}

TEST_CASE("at a bound the rest is read once there is room") {
  net::HttpServerOptions ByBytes;
  ByBytes.m_Pipeline.m_MaxBytes = 8;
  net::HttpServerOptions ByTotal;
  ByTotal.m_Pipeline.m_MaxTotalRequests = 15;
  constexpr int Count = 40;
  std::string All;
  std::string Expected;
  for (int Index = 10; Index < 10 + Count; ++Index) {
    All += get("/" + std::to_string(Index));
    Expected += "200/" + std::to_string(Index) + " ";
  }
  for (const net::HttpServerOptions &Options :
       {net::HttpServerOptions{}, ByBytes, ByTotal}) {
    Fixture Test(Options);
    if (Options.m_Pipeline.m_MaxBytes < 100) {
      // All but the first are answered at once.
      Test.m_OnRequest = [&](const std::string &Path) {
        if (Path != "/10")
          Test.answer(Path);
      };
    }
    Test.send(All);
    Test.runQuietly();
    CHECK(Test.m_Begun.size() ==
          (Options.m_Pipeline.m_MaxBytes < 100 ? 3 : 16));
    for (const std::string &Path : std::vector(Test.m_Begun))
      Test.answer(Path);
    Test.m_OnRequest = [&](const std::string &Path) { Test.answer(Path); };
    Test.runUntil([&] { return Test.m_Begun.size() == Count; });
    CHECK(Test.receive(Count) == Expected);
  }
}

TEST_CASE("a caller that expects 100 gets it after the earlier answers") {
  net::HttpServerOptions Options;
  Options.m_RequestTimeout = milliseconds(800);
  Fixture Test(Options);
  Test.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
                        "Expect: 100-continue\r\n\r\n");
  REQUIRE(Test.begins(1));
  // Longer than the request timeout, which doesn't pass while it waits.
  Test.runUntil([] { return false; }, milliseconds(1000));
  CHECK(Test.m_Received.empty());
  Test.answer("/1");
  CHECK(Test.receive(2) == "200/1 100 ");
  Test.runUntil([] { return false; }, milliseconds(300));
  Test.send("hi");
  REQUIRE(Test.begins(2));
  Test.answer("/2");
  CHECK(Test.receive(3) == "200/1 100 200/2 ");
}

TEST_CASE("a planned stop answers what was begun and begins nothing behind") {
  for (const bool HoldsOne : {false, true}) {
    Fixture Test;
    Test.send(get("/1") + get("/2") + (HoldsOne ? post("/3") : ""));
    REQUIRE(Test.begins(2));
    Test.answer("/2");
    Test.m_Server->disableKeepAlive();
    Test.send(get("/4"));
    Test.runQuietly();
    CHECK(Test.m_Server->busyConnections() == 1);
    Test.answer("/1");
    CHECK(Test.receive(3) == "200/1 200/2! ");
    CHECK(Test.m_End == boost::asio::error::eof);
    CHECK(Test.m_Begun.size() == 2);
    CHECK(Test.m_Left.empty());
    CHECK(Test.m_Server->busyConnections() == 0);
  }
}

TEST_CASE("a connection with open calls isn't idle") {
  net::HttpServerOptions Options;
  Options.m_IdleTimeout = milliseconds(100);
  Options.m_RequestTimeout = milliseconds(100);
  Fixture Test(Options);
  Test.send(get("/1") + get("/2"));
  REQUIRE(Test.begins(2));
  Test.answer("/2");
  Test.runUntil([] { return false; }, milliseconds(600));
  Test.answer("/1");
  CHECK(Test.receive(2) == "200/1 200/2 ");
  Test.receive(3);
  CHECK(Test.m_End == boost::asio::error::eof);
}
