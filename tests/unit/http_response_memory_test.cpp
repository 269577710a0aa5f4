// Responses of one server that are read at the same time: together they take no
// more than their memory, whatever each of them is.
#include "dandelionfall/net/address.h"
#include "dandelionfall/net/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <list>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

using namespace dandelionfall;
using boost::asio::ip::tcp;
using net::ExchangeOutcome;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t MaxBodyBytes = 1U << 20U;
constexpr std::size_t MaxSmallBytes = 32U << 10U;
constexpr milliseconds Timeout{1500};

/// What the server sends on each connection.
struct Reply {
  std::string m_Start;
  /// Sent again and again until the client closes, if not empty.
  std::string m_Repeated;
};

Reply wholeReply(std::size_t BodyBytes) {
  return {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) +
              "\r\n\r\n" + std::string(BodyBytes, 'x'),
          ""};
}

/// How an exchange ended; keeps no response, which would hold its memory.
struct Ended {
  std::size_t m_Index = 0;
  ExchangeOutcome m_Outcome = ExchangeOutcome::NotSent;
  std::string m_Detail;
  std::size_t m_BodyBytes = 0;
};

/// A client with little memory for responses, and a server in the same thread
/// that counts the bytes it could send.
class MemoryFixture {
public:
  MemoryFixture()
      : m_Memory(
            std::make_shared<const core::ResponseMemory>(core::ResponseMemory{
                core::ByteBudget::create(
                    {MaxBodyBytes, 8 * MaxSmallBytes, MaxSmallBytes}),
                core::ByteBudget::create({2 * MaxBodyBytes, 0, 0})})),
        m_Acceptor(m_Context, net::parseEndpoint("127.0.0.1:0")) {
    net::HttpClientOptions Options;
    std::ostringstream Text;
    Text << m_Acceptor.local_endpoint();
    Options.m_Address = Text.str();
    Options.m_MaxBodyBytes = MaxBodyBytes;
    Options.m_ResponseMemory = m_Memory;
    Options.m_AllowCloseDelimited = true;
    m_Client = std::make_unique<net::HttpClient>(m_Context, Options);
    accept();
  }

  /// Sends a request whose path is the index of the reply.
  void send(std::size_t Index) {
    core::HttpRequest Request;
    Request.m_Method = "GET";
    Request.m_Path = "/" + std::to_string(Index);
    m_Client->send(Request, Timeout, true,
                   [this, Index](const net::HttpResult &Result) {
                     const auto &Response = Result.m_Response;
                     m_Results.push_back(
                         {Index, Result.m_Outcome, Result.m_Detail,
                          Response == nullptr ? 0 : Response->m_Body.size()});
                   });
  }

  /// Runs until all exchanges have ended and checks the bound all the while.
  void runUntilEnded(std::size_t Count) {
    const auto End = std::chrono::steady_clock::now() + 3 * Timeout;
    while (m_Results.size() < Count && std::chrono::steady_clock::now() < End) {
      m_Context.run_for(milliseconds(1));
      m_Most = std::max(m_Most, m_Memory->held());
    }
    // The beginnings of bodies that wait count beyond the limit.
    CHECK(m_Most <= m_Memory->limit() + Count * (16U << 10U));
    REQUIRE(m_Results.size() == Count);
    // Room is given back in a handler of its own.
    m_Context.run_for(milliseconds(10));
  }

  std::size_t count(std::size_t Index, ExchangeOutcome Outcome) const {
    return static_cast<std::size_t>(std::count_if(
        m_Results.begin(), m_Results.end(), [&](const auto &Each) {
          return Each.m_Index == Index && Each.m_Outcome == Outcome;
        }));
  }

  std::vector<Reply> m_Replies;
  std::vector<Ended> m_Results;
  std::size_t m_BytesSent = 0;
  std::uint64_t m_Most = 0;
  std::shared_ptr<const core::ResponseMemory> m_Memory;

private:
  struct Peer {
    explicit Peer(tcp::socket Socket) : m_Socket(std::move(Socket)) {}
    tcp::socket m_Socket;
    std::string m_Input;
    const Reply *m_Reply = nullptr;
  };

  void accept() {
    m_Acceptor.async_accept(
        [this](boost::system::error_code Code, tcp::socket Socket) {
          if (Code)
            return;
          serve(m_Peers.emplace_back(std::move(Socket)));
          accept();
        });
  }

  void serve(Peer &Served) {
    boost::asio::async_read_until(
        Served.m_Socket, boost::asio::dynamic_buffer(Served.m_Input),
        "\r\n\r\n",
        [this, &Served](boost::system::error_code Code, std::size_t) {
          if (Code)
            return;
          const std::size_t Begin = Served.m_Input.find('/') + 1;
          Served.m_Reply =
              &m_Replies.at(std::stoul(Served.m_Input.substr(Begin)));
          Served.m_Input.clear();
          write(Served, Served.m_Reply->m_Start);
        });
  }

  void write(Peer &Served, const std::string &Text) {
    boost::asio::async_write(
        Served.m_Socket, boost::asio::buffer(Text),
        [this, &Served](boost::system::error_code Code, std::size_t Sent) {
          m_BytesSent += Sent;
          if (Code)
            return;
          if (Served.m_Reply->m_Repeated.empty())
            return serve(Served);
          write(Served, Served.m_Reply->m_Repeated);
        });
  }

  boost::asio::io_context m_Context;
  tcp::acceptor m_Acceptor;
  std::list<Peer> m_Peers;
  std::unique_ptr<net::HttpClient> m_Client;
};

} // namespace

TEST_CASE("endless bodies on many connections share a bounded memory") {
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string Block(1000, 'x');
  constexpr std::size_t Connections = 30;
  const Reply Replies[] = {
      {Chunked, "3e8\r\n" + Block + "\r\n"},
      {"HTTP/1.1 200 OK\r\n\r\n", Block},
      // Broken off in silence just below the limit.
      {Chunked + "f4240\r\n" + std::string(1'000'000, 'x'), ""},
      {"HTTP/1.1 200 OK\r\nContent-Length: 1040000\r\n\r\n" +
           std::string(1'000'000, 'x'),
       ""},
  };
  for (const Reply &Each : Replies) {
    CAPTURE(Each.m_Start.substr(0, 80));
    MemoryFixture Test;
    Test.m_Replies = {Each, wholeReply(10'000)};
    for (std::size_t Index = 0; Index < Connections; ++Index)
      Test.send(0);
    for (std::size_t Index = 0; Index < 3; ++Index)
      Test.send(1);
    Test.runUntilEnded(Connections + 3);
    CHECK(Test.count(0, ExchangeOutcome::Answered) == 0);
    CHECK(Test.count(1, ExchangeOutcome::Answered) == 3);
    CHECK(Test.m_Memory->held() == 0);
    CHECK(Test.m_Memory->waiting() == 0);
  }
}

TEST_CASE("large responses that don't fit side by side are all received") {
  MemoryFixture Test;
  Test.m_Replies = {wholeReply(MaxBodyBytes),
                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "f4240\r\n" +
                         std::string(1'000'000, 'x') + "\r\n0\r\n\r\n",
                     ""}};
  constexpr std::size_t Each = 10;
  for (std::size_t Index = 0; Index < Each; ++Index) {
    Test.send(0);
    Test.send(1);
  }
  Test.runUntilEnded(2 * Each);
  CHECK(Test.count(0, ExchangeOutcome::Answered) == Each);
  CHECK(Test.count(1, ExchangeOutcome::Answered) == Each);
  for (const Ended &Result : Test.m_Results)
    CHECK(Result.m_BodyBytes ==
          (Result.m_Index == 0 ? MaxBodyBytes : 1'000'000));
  CHECK(Test.m_Memory->held() == 0);
}

TEST_CASE("a response that waits for memory stops the server's sending") {
  MemoryFixture Test;
  // Nothing is left but the memory of small responses.
  const auto Shared = Test.m_Memory->m_Shared->tryReserve(MaxBodyBytes);
  const auto Whole = Test.m_Memory->m_Whole->tryReserve(2 * MaxBodyBytes);
  Test.m_Replies = {{"HTTP/1.1 200 OK\r\n\r\n", std::string(100'000, 'x')},
                    wholeReply(1000)};
  Test.send(0);
  Test.send(1);
  Test.runUntilEnded(2);
  CHECK(Test.count(1, ExchangeOutcome::Answered) == 1);
  CHECK(Test.count(0, ExchangeOutcome::TimedOut) == 1);
  CHECK(Test.m_Results.back().m_Detail == "timed out waiting for memory");
  // What the sockets of both sides buffer.
  CHECK(Test.m_BytesSent < 16U << 20U);
}
