// Responses that a faulty server repeats or breaks off.
#include "http_client_fixture.h"

#include <doctest/doctest.h>

#include <string>

using namespace dandelionfall;
using Fixture = test::HttpClientFixture;
using net::ExchangeOutcome;
using test::ConnectionAction;

TEST_CASE("an earlier refusal that is sent again does not answer the second "
          "send of the same id") {
  net::HttpClientOptions Options;
  Options.m_EchoField = "Id";
  Fixture Test(Options);
  Test.m_Fields = {{"Id", "one"}};
  const std::string Refusal =
      "HTTP/1.1 503 Busy\r\nId: one\r\nContent-Length: 0\r\n\r\n";
  Test.m_ResponseBytes = Refusal;
  Test.send();
  CHECK(Test.lastResult().m_Response->m_Status == 503);
  // On the first connection the server's next bytes are the refusal again.
  Test.m_ResponseBytes =
      "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 3\r\n\r\nran";
  Test.m_FirstPeerPrefix = Refusal;
  Test.send();
  const net::HttpResult Second = Test.lastResult();
  REQUIRE(Second.m_Outcome == ExchangeOutcome::Answered);
  CHECK(Second.m_Response->m_Status == 200);
  CHECK(Test.m_Peers.size() == 2);
  // Another id can use either connection.
  Test.m_FirstPeerPrefix.clear();
  Test.m_ResponseBytes =
      "HTTP/1.1 200 OK\r\nId: two\r\nContent-Length: 0\r\n\r\n";
  Test.m_Fields = {{"Id", "two"}};
  Test.send();
  CHECK(Test.lastResult().m_Response->m_Status == 200);
  CHECK(Test.m_Peers.size() == 2);
}

TEST_CASE("a connection that has carried many failed requests is not reused") {
  net::HttpClientOptions Options;
  Options.m_EchoField = "Id";
  Fixture Test(Options);
  constexpr int Requests = 200;
  for (int Count = 0; Count < Requests; ++Count) {
    const std::string Id = std::to_string(Count);
    Test.m_Fields = {{"Id", Id}};
    Test.m_ResponseBytes =
        "HTTP/1.1 503 Busy\r\nId: " + Id + "\r\nContent-Length: 0\r\n\r\n";
    Test.send();
    REQUIRE(Test.lastResult().m_Outcome == ExchangeOutcome::Answered);
  }
  CHECK(Test.m_Peers.size() > 1);
  CHECK(Test.m_Peers.size() <= Requests / 10);
  CHECK(Test.m_Client->connections() <= 1);
}

TEST_CASE("a response that ends anywhere within its head is never complete") {
  const std::string Sized = "HTTP/1.1 200 OK\r\nSignature: s\r\n"
                            "Content-Length: 12\r\nX: y\r\n\r\n";
  const std::string Chunked = "HTTP/1.1 200 OK\r\nSignature: s\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "2\r\nhi\r\n0\r\n\r\n";
  const std::string UntilClose =
      "HTTP/1.1 200 OK\r\nSignature: s\r\nX: y\r\n\r\n";
  const std::string Interim =
      "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n" + UntilClose;
  for (const std::string &Whole : {Sized, Chunked, UntilClose, Interim}) {
    for (std::size_t Length = 0; Length < Whole.size(); ++Length) {
      for (const auto Action :
           {ConnectionAction::Close, ConnectionAction::Break}) {
        CAPTURE(Whole);
        CAPTURE(Length);
        net::HttpClientOptions Options;
        Options.m_AllowCloseDelimited = true;
        Fixture Test(Options);
        Test.m_ResponseBytes = Whole.substr(0, Length);
        Test.m_ConnectionAction = Action;
        Test.send();
        CHECK(Test.lastResult().m_Outcome != ExchangeOutcome::Answered);
      }
    }
  }
}
