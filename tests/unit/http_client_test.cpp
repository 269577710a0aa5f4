#include "http_client_fixture.h"

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace dandelionfall;
using boost::asio::ip::tcp;
using net::ExchangeOutcome;
using std::chrono::milliseconds;

namespace {

using Fixture = test::HttpClientFixture;
using test::ConnectionAction;
using test::ShortTimeout;
using test::WaitLimit;

const std::string CompleteResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
const std::string TruncatedResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi";
const std::string UnfinishedChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n";

struct ResponseCase {
  std::string m_Name;
  std::string m_ResponseBytes;
  ConnectionAction m_ConnectionAction;
  ExchangeOutcome m_Outcome;
  std::uint32_t m_Status;
  const char *m_Method;
};

std::vector<ResponseCase> responseCases() {
  using enum ConnectionAction;
  using enum ExchangeOutcome;
  const std::string Big(2000, 'x');
  return {
      {"complete", CompleteResponse, Keep, Answered, 200, "GET"},
      {"complete, then closed", CompleteResponse, Close, Answered, 200, "GET"},
      {"truncated, then closed", TruncatedResponse, Close, Reset, 0, "GET"},
      {"truncated, then reset", TruncatedResponse, ConnectionAction::Break,
       Reset, 0, "GET"},
      {"truncated, then silent", TruncatedResponse, Keep, TimedOut, 0, "GET"},
      {"half a header, then closed", "HTTP/1.1 200 OK\r\nCont", Close, Reset, 0,
       "GET"},
      {"nothing, then closed", "", Close, Reset, 0, "GET"},
      {"nothing, then reset", "", ConnectionAction::Break, Reset, 0, "GET"},
      {"silent", "", Keep, TimedOut, 0, "GET"},
      {"no length", "HTTP/1.1 200 OK\r\n\r\nhi", Close, Malformed, 0, "GET"},
      {"chunked", UnfinishedChunked + "0\r\n\r\n", Keep, Answered, 200, "GET"},
      {"chunked, truncated", UnfinishedChunked, Close, Reset, 0, "GET"},
      {"chunked, bad size", UnfinishedChunked + "zz\r\n", Keep, Malformed, 0,
       "GET"},
      {"large", "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + Big, Keep,
       Malformed, 0, "GET"},
      {"large, chunked",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + Big +
           "\r\n0\r\n\r\n",
       Keep, Malformed, 0, "GET"},
      {"length and chunks",
       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n"
       "\r\n0\r\n\r\n",
       Keep, Malformed, 0, "GET"},
      {"garbage", "what is this\r\n\r\n", Keep, Malformed, 0, "GET"},
      {"continue, then complete",
       "HTTP/1.1 100 Continue\r\n\r\n" + CompleteResponse, Keep, Answered, 200,
       "GET"},
      {"continue, then closed", "HTTP/1.1 100 Continue\r\n\r\n", Close, Reset,
       0, "GET"},
      {"other protocol",
       "HTTP/1.1 101 Switching Protocols\r\n\r\n" + CompleteResponse, Keep,
       Malformed, 0, "GET"},
      {"head with a length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
       Keep, Answered, 200, "HEAD"},
      {"head without a length", "HTTP/1.1 200 OK\r\n\r\n", Keep, Answered, 200,
       "HEAD"},
      {"no content", "HTTP/1.1 204 No Content\r\n\r\n", Keep, Answered, 204,
       "GET"},
      {"not modified", "HTTP/1.1 304 Not Modified\r\n\r\n", Keep, Answered, 304,
       "GET"},
  };
}

} // namespace

TEST_CASE("only a complete response counts as answered") {
  for (const ResponseCase &Case : responseCases()) {
    CAPTURE(Case.m_Name);
    net::HttpClientOptions Options;
    Options.m_MaxBodyBytes = 1000;
    Fixture Test(Options);
    Test.m_ResponseBytes = Case.m_ResponseBytes;
    Test.m_ConnectionAction = Case.m_ConnectionAction;
    const bool ExpectsTimeout = Case.m_Outcome == ExchangeOutcome::TimedOut;
    Test.send(false, ExpectsTimeout ? ShortTimeout : milliseconds(WaitLimit),
              Case.m_Method);
    const net::HttpResult Result = Test.lastResult();
    CHECK(Result.m_Outcome == Case.m_Outcome);
    CHECK(Test.m_Requests == 1);
    CHECK((Result.m_Response != nullptr) == (Case.m_Status != 0));
    if (Result.m_Response != nullptr)
      CHECK(Result.m_Response->m_Status == Case.m_Status);
    if (Result.m_Outcome != ExchangeOutcome::Answered)
      CHECK(Test.m_Client->connections() == 0);
  }
}

TEST_CASE("bytes after a response are not taken for the next response") {
  Fixture Test;
  Test.m_ResponseBytes =
      CompleteResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
  Test.send();
  CHECK(Test.lastResult().m_Response->m_Body == "hi");
  Test.m_ResponseBytes = CompleteResponse;
  Test.send();
  CHECK(Test.lastResult().m_Response->m_Body == "hi");
  CHECK(Test.m_Peers.size() == 2);
}

TEST_CASE("an idle connection is reused unless the server closed it") {
  for (const bool Closed : {false, true}) {
    CAPTURE(Closed);
    Fixture Test;
    Test.m_ResponseBytes = CompleteResponse;
    Test.send();
    CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::Answered);
    if (Closed)
      Test.finishConnection(Test.m_Peers.back(), ConnectionAction::Close);
    Test.send();
    CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::Answered);
    CHECK(Test.m_Peers.size() == (Closed ? 2U : 1U));
    CHECK(Test.m_Requests == 2);
  }
}

TEST_CASE("only an early close of an idle connection is reported") {
  for (const bool Early : {true, false}) {
    CAPTURE(Early);
    int EarlyCloses = 0;
    net::HttpClientOptions Options;
    Options.m_MaxIdleNonIdempotent = milliseconds(Early ? 2000 : 20);
    Options.m_IdleClosedEarly = [&EarlyCloses] { ++EarlyCloses; };
    Fixture Test(Options);
    Test.m_ResponseBytes = CompleteResponse;
    Test.send(true);
    CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::Answered);
    Test.runFor(milliseconds(40));
    Test.finishConnection(Test.m_Peers.back(), ConnectionAction::Close);
    Test.runFor(milliseconds(5));
    CHECK(EarlyCloses == 0);
    Test.send(true);
    CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::Answered);
    CHECK(EarlyCloses == (Early ? 1 : 0));
  }
}

TEST_CASE("an old idle connection carries only idempotent requests") {
  for (const bool Idempotent : {false, true}) {
    CAPTURE(Idempotent);
    net::HttpClientOptions Options;
    Options.m_MaxIdleNonIdempotent = milliseconds(30);
    Fixture Test(Options);
    Test.m_ResponseBytes = CompleteResponse;
    Test.send();
    Test.lastResult();
    Test.runFor(milliseconds(60));
    Test.send(Idempotent);
    CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::Answered);
    CHECK(Test.m_Peers.size() == (Idempotent ? 1U : 2U));
  }
}

TEST_CASE("an old idle connection is replaced at the connection limit") {
  net::HttpClientOptions Options;
  Options.m_MaxIdleNonIdempotent = milliseconds(30);
  Options.m_MaxConnections = 1;
  Fixture Test(Options);
  Test.m_ResponseBytes = CompleteResponse;
  Test.send();
  Test.lastResult();
  Test.runFor(milliseconds(60));
  Test.send();
  CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::Answered);
  CHECK(Test.m_Client->connections() == 1);
  CHECK(Test.m_Peers.size() == 2);
}

TEST_CASE("a refused connection ends as not sent") {
  Fixture Test;
  Test.m_Acceptor.close();
  Test.send();
  CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::NotSent);
  CHECK(Test.m_Client->connections() == 0);
}

TEST_CASE("a connect timeout ends as not sent") {
  Fixture Test;
  // A listener with a full backlog drops further connection attempts.
  boost::asio::io_context Other;
  tcp::acceptor Full(Other);
  Full.open(tcp::v4());
  Full.bind(net::parseEndpoint("127.0.0.1:0"));
  Full.listen(0);
  tcp::socket Filler(Other);
  Filler.connect(Full.local_endpoint());
  net::HttpClientOptions Options;
  Options.m_Address = test::formatEndpoint(Full.local_endpoint());
  Options.m_ConnectTimeout = ShortTimeout;
  Test.m_Client.emplace(Test.m_Context, Options);
  Test.send();
  Test.runFor(ShortTimeout / 3);
  CHECK_FALSE(Test.m_Results.back().has_value());
  CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::NotSent);
}

TEST_CASE("a cancelled exchange reports whether bytes were sent") {
  Fixture Test;
  const net::ExchangeId Early = Test.send();
  Test.m_Client->cancel(Early);
  CHECK_FALSE(Test.m_Results.back().has_value());
  CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::NotSent);
  const net::ExchangeId Late = Test.send();
  Test.runUntil([&] { return Test.m_Requests == 1; });
  Test.m_Client->cancel(Late);
  CHECK_FALSE(Test.m_Results.back().has_value());
  CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::Cancelled);
  Test.m_Client->cancel(Late);
  Test.runFor(milliseconds(20));
  CHECK(Test.m_Requests == 1);
}

TEST_CASE("a queued exchange times out or is cancelled without sending") {
  net::HttpClientOptions Options;
  Options.m_MaxConnections = 1;
  Fixture Test(Options);
  Test.send();
  Test.runUntil([&] { return Test.m_Requests == 1; });
  Test.send(true, ShortTimeout);
  CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::NotSent);
  const net::ExchangeId Waiting = Test.send();
  Test.m_Client->cancel(Waiting);
  CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::NotSent);
  CHECK_FALSE(Test.m_Results.front().has_value());
  CHECK(Test.m_Requests == 1);
}

TEST_CASE("a request without time left is not sent on an idle connection") {
  Fixture Test;
  Test.m_ResponseBytes = CompleteResponse;
  Test.send();
  Test.lastResult();
  Test.send(true, milliseconds(0));
  CHECK_FALSE(Test.m_Results.back().has_value());
  CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::NotSent);
  Test.runFor(milliseconds(20));
  CHECK(Test.m_Requests == 1);
}

TEST_CASE("a destroyed client calls no callback") {
  Fixture Test;
  Test.send();
  Test.runUntil([&] { return Test.m_Requests == 1; });
  Test.m_Client.reset();
  Test.runFor(milliseconds(20));
  CHECK_FALSE(Test.m_Results.back().has_value());
}

TEST_CASE("a request buffer outlives its exchange during the write") {
  constexpr std::size_t LargerThanSocketBuffers = 64U << 20U;
  Fixture Test;
  Test.m_Body.assign(LargerThanSocketBuffers, 'x');
  const net::ExchangeId Id = Test.send();
  Test.runFor(ShortTimeout);
  Test.m_Client->cancel(Id);
  CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::Cancelled);
  Test.runFor(ShortTimeout);
}

TEST_CASE("a response to an earlier request is skipped by its id") {
  net::HttpClientOptions Options;
  Options.m_EchoField = "Id";
  Fixture Test(Options);
  Test.m_Fields = {{"Id", "two"}};
  Test.m_ResponseBytes =
      "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 3\r\n\r\nold"
      "HTTP/1.1 200 OK\r\nId: two\r\nContent-Length: 3\r\n\r\nnew";
  Test.send();
  const net::HttpResult Result = Test.lastResult();
  REQUIRE(Result.m_Outcome == ExchangeOutcome::Answered);
  CHECK(Result.m_Response->m_Body == "new");
  // Further stale responses may follow, so the connection is not reused.
  CHECK(Test.m_Client->connections() == 0);
}

TEST_CASE("a close-delimited response needs an orderly close") {
  net::HttpClientOptions Options;
  Options.m_AllowCloseDelimited = true;
  Fixture Test(Options);
  Test.m_ResponseBytes = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody";
  SUBCASE("the server closes") {
    Test.m_ConnectionAction = ConnectionAction::Close;
    Test.send();
    const net::HttpResult Result = Test.lastResult();
    REQUIRE(Result.m_Outcome == ExchangeOutcome::Answered);
    CHECK(Result.m_Response->m_Body == "body");
  }
  SUBCASE("the connection is reset") {
    Test.m_ConnectionAction = ConnectionAction::Break;
    Test.send();
    CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::Reset);
  }
}

TEST_CASE("a connection is not reused near its keep-alive timeout") {
  Fixture Test;
  Test.m_ResponseBytes = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
                         "Content-Length: 0\r\n\r\n";
  Test.send(true);
  Test.lastResult();
  Test.send(true);
  Test.lastResult();
  CHECK(Test.m_Peers.size() == 2);
}

TEST_CASE("a response whose body keeps arriving may take longer than the time "
          "limit") {
  net::HttpClientOptions Options;
  Options.m_BodySilenceTimeout = milliseconds(100);
  Options.m_MaxBodyTime = milliseconds(600);
  Fixture Test(Options);
  const auto Drip = [&](int Pieces, milliseconds Pause) {
    Test.m_ResponseBytes =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Pieces) +
        "\r\n\r\n";
    Test.send(false, ShortTimeout);
    Test.runUntil([&] { return !Test.m_Peers.empty(); });
    Test.runFor(milliseconds(20));
    for (int Sent = 0; Sent < Pieces && !Test.m_Results.back(); ++Sent) {
      boost::system::error_code Ignored;
      boost::asio::write(Test.m_Peers.back(), boost::asio::buffer("x", 1),
                         Ignored);
      Test.runFor(Pause);
    }
    return Test.lastResult();
  };
  SUBCASE("it ends") {
    const net::HttpResult Result = Drip(8, milliseconds(40));
    REQUIRE(Result.m_Outcome == ExchangeOutcome::Answered);
    CHECK(Result.m_Response->m_Body == "xxxxxxxx");
    CHECK(Test.m_Client->connections() == 1);
  }
  SUBCASE("it becomes silent") {
    CHECK(Drip(3, milliseconds(250)).m_Outcome == ExchangeOutcome::TimedOut);
  }
  SUBCASE("it goes on beyond its own limit") {
    CHECK(Drip(100, milliseconds(40)).m_Outcome == ExchangeOutcome::TimedOut);
    CHECK(Test.m_Client->connections() == 0);
  }
}

TEST_CASE("a request that can't be written as HTTP fails alone") {
  Fixture Test;
  Test.m_ResponseBytes = CompleteResponse;
  Test.m_Body = "hello";
  Test.send(true, WaitLimit, "TRACE");
  CHECK_FALSE(Test.m_Results.back().has_value());
  const net::HttpResult Trace = Test.lastResult();
  CHECK(Trace.m_Outcome == ExchangeOutcome::Unsendable);
  CHECK(Trace.m_Response == nullptr);
  CHECK_FALSE(Trace.m_Detail.empty());
  Test.m_Fields = {{"Name", std::string(70'000, 'v')}};
  Test.send(true);
  CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::Unsendable);
  Test.m_Fields.clear();
  Test.send(true);
  CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::Answered);
  CHECK(Test.m_Requests == 1);
}

TEST_CASE("a trailer longer than the HTTP library can hold is malformed") {
  Fixture Test;
  Test.m_ResponseBytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                         "\r\n0\r\nX: " +
                         std::string(70'000, 'x') + "\r\n\r\n";
  Test.send();
  CHECK(Test.lastResult().m_Outcome == ExchangeOutcome::Malformed);
}
