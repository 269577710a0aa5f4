// Status lines of responses: which are interim, final, or none.
#include "http_client_fixture.h"
#include "net/http_conversion.h"

#include "dandelionfall/core/error.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace dandelionfall;
using net::ExchangeOutcome;
using std::chrono::milliseconds;

namespace {

using Fixture = test::HttpClientFixture;

const std::string Whole = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged";
/// Fields and content of a response whose content is itself a response.
const std::string WithWhole =
    "Content-Length: " + std::to_string(Whole.size()) + "\r\n\r\n" + Whole;

/// What follows a status line.
const std::vector<std::string> Forms = {
    "Content-Length: 2\r\n\r\nhi",
    "Content-Length: 0\r\n\r\n",
    "\r\n",
    "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    WithWhole,
    "\r\n" + Whole,
};

net::HttpResult receive(const std::string &Bytes,
                        const std::string &Method = "GET") {
  net::HttpClientOptions Options;
  Options.m_AllowCloseDelimited = true;
  Fixture Test(Options);
  Test.m_ResponseBytes = Bytes;
  Test.send(false, test::WaitLimit, Method);
  const auto Start = std::chrono::steady_clock::now();
  net::HttpResult Result = Test.lastResult();
  CHECK(std::chrono::steady_clock::now() - Start < test::WaitLimit / 2);
  return Result;
}

} // namespace

// Guards against a caller that gets the content of an invalid response as the
// answer to its request, or waits for its deadline though the target answered.
TEST_CASE("a response with an invalid status is malformed at once") {
  for (const char *Version : {"HTTP/1.1 ", "HTTP/1.0 "}) {
    for (const char *Status :
         {"000", "001", "007", "010", "099", "600", "700", "999"}) {
      for (const std::string &Form : Forms) {
        for (const char *Method : {"GET", "POST", "HEAD"}) {
          const std::string Bytes =
              std::string(Version) + Status + " Odd\r\n" + Form;
          CAPTURE(Bytes);
          CAPTURE(Method);
          const net::HttpResult Result = receive(Bytes, Method);
          CHECK(Result.m_Outcome == ExchangeOutcome::Malformed);
          CHECK(Result.m_Response == nullptr);
        }
      }
    }
  }
}

TEST_CASE("an interim response with content is malformed") {
  for (const char *Status : {"100", "102", "103", "199"}) {
    for (const std::string &Form :
         {WithWhole, std::string("Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"
                                 "0\r\n\r\n") +
                         Whole}) {
      const std::string Bytes =
          std::string("HTTP/1.1 ") + Status + " Odd\r\n" + Form;
      CAPTURE(Bytes);
      CHECK(receive(Bytes).m_Outcome == ExchangeOutcome::Malformed);
    }
  }
}

TEST_CASE("valid interim responses precede a final one") {
  std::string Interim;
  for (const char *Status : {"100", "102", "103", "199"})
    Interim += std::string("HTTP/1.1 ") + Status + " Odd\r\nA: b\r\n\r\n";
  Interim += "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n";
  for (const std::uint32_t Status : {200U, 299U, 404U, 499U, 500U, 599U}) {
    CAPTURE(Status);
    const net::HttpResult Result =
        receive(Interim + "HTTP/1.1 " + std::to_string(Status) +
                " Odd\r\nContent-Length: 2\r\n\r\nhi");
    CHECK(Result.m_Outcome == ExchangeOutcome::Answered);
    REQUIRE(Result.m_Response != nullptr);
    CHECK(Result.m_Response->m_Status == Status);
    CHECK(Result.m_Response->m_Body == "hi");
  }
}

TEST_CASE("an invalid status after interim responses is malformed") {
  for (const char *Status : {"000", "099", "600"}) {
    const std::string Bytes =
        std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 ") + Status +
        " Odd\r\n" + WithWhole;
    CHECK(receive(Bytes).m_Outcome == ExchangeOutcome::Malformed);
  }
}

TEST_CASE("a response whose status is not final is not sent to a caller") {
  for (const std::uint32_t Status :
       {0U, 1U, 99U, 100U, 199U, 600U, 999U, 1000U, 65736U}) {
    CAPTURE(Status);
    CHECK_THROWS_AS(
        net::toBeast(core::HttpResponse{Status, {}, ""}, false, true),
        core::Error);
  }
  for (const std::uint32_t Status : {200U, 599U})
    CHECK(net::toBeast(core::HttpResponse{Status, {}, ""}, false, true)
              .result_int() == Status);
}
