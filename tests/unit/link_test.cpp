#include "dandelionfall/core/error.h"
#include "dandelionfall/net/codec.h"
#include "dandelionfall/net/link.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

using namespace dandelionfall;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds WaitLimit{4};

std::string formatEndpoint(const tcp::endpoint &Endpoint) {
  std::ostringstream Text;
  Text << Endpoint;
  return Text.str();
}

std::string makeFrame(std::string_view Body) {
  std::string Result;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Result.push_back(static_cast<char>(Body.size() >> Shift));
  return Result.append(Body);
}

/// Records the callbacks of a link.
struct LinkObserver {
  net::LinkHandlers handlers() {
    net::LinkHandlers Result;
    Result.m_Opened = [this] { ++m_Opened; };
    Result.m_Frame = [this](std::string_view Bytes) {
      m_Frames.emplace_back(Bytes);
      if (m_OnFrame)
        m_OnFrame();
    };
    Result.m_Closed = [this](const std::string &Reason) {
      m_Closed.push_back(Reason);
    };
    return Result;
  }

  int m_Opened = 0;
  std::vector<std::string> m_Frames;
  std::vector<std::string> m_Closed;
  std::function<void()> m_OnFrame;
};

/// A raw listener, and helpers for both ends of its connections.
class Fixture {
public:
  Fixture()
      : m_Acceptor(m_Context, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
  }

  std::string address() const {
    return formatEndpoint(m_Acceptor.local_endpoint());
  }

  /// Connects to the listener; blocks.
  tcp::socket connectRaw() {
    tcp::socket Peer(m_Context);
    Peer.connect(m_Acceptor.local_endpoint());
    return Peer;
  }

  /// Adopts a link whose other end is `Peer`.
  std::shared_ptr<net::Link> adopt(tcp::socket &Peer, LinkObserver &Observer) {
    Peer = connectRaw();
    return net::Link::adopt(m_Acceptor.accept(), Observer.handlers());
  }

  void runUntil(const std::function<bool()> &Done) {
    m_Context.restart();
    const auto Limit = std::chrono::steady_clock::now() + WaitLimit;
    while (!Done() && std::chrono::steady_clock::now() < Limit)
      m_Context.run_for(milliseconds(2));
  }

  void runFor(milliseconds Time) {
    m_Context.restart();
    m_Context.run_for(Time);
  }

  /// \returns the bytes received until the peer closes, at least `Expected`
  /// bytes have arrived or the wait limit passed.
  std::string receive(tcp::socket &Peer, std::size_t Expected) {
    std::string All;
    m_PeerClosed = false;
    Peer.non_blocking(true);
    runUntil([&] {
      std::vector<char> Buffer(65'536);
      boost::system::error_code Code;
      const std::size_t Count =
          Peer.read_some(boost::asio::buffer(Buffer), Code);
      All.append(Buffer.data(), Count);
      m_PeerClosed = Code && Code != boost::asio::error::would_block;
      return m_PeerClosed || All.size() >= Expected;
    });
    return All;
  }

  boost::asio::io_context m_Context;
  tcp::acceptor m_Acceptor;
  bool m_PeerClosed = false;
};

constexpr std::size_t AllBytes = std::size_t{1} << 30U;

struct FrameCase {
  std::string m_Name;
  std::vector<std::string> m_Writes;
  std::vector<std::string> m_Frames;
  bool m_Closed;
};

std::vector<std::string> splitIntoBytes(const std::string &Text) {
  std::vector<std::string> Result;
  for (const char Each : Text)
    Result.emplace_back(1, Each);
  return Result;
}

std::vector<FrameCase> frameCases() {
  const std::string Big(200'000, 'b');
  std::vector<std::string> Hundred(100, "x");
  std::string HundredBytes;
  for (const std::string &Each : Hundred)
    HundredBytes += makeFrame(Each);
  return {
      {"one", {makeFrame("abc")}, {"abc"}, false},
      {"byte by byte",
       splitIntoBytes(makeFrame("abc") + makeFrame("de")),
       {"abc", "de"},
       false},
      {"many in one write", {HundredBytes}, Hundred, false},
      {"one and a half",
       {makeFrame("abc") + makeFrame("de").substr(0, 5)},
       {"abc"},
       false},
      {"larger than the first buffer",
       {makeFrame(Big) + makeFrame("z")},
       {Big, "z"},
       false},
      {"empty", {makeFrame("abc") + makeFrame("")}, {"abc"}, true},
      {"oversized", {std::string("\x00\xc0\x00\x01", 4)}, {}, true},
      {"largest number", {std::string("\xff\xff\xff\xff", 4)}, {}, true},
  };
}

struct PreambleCase {
  std::string m_Name;
  std::string m_Bytes;
  std::optional<net::LinkKind> m_Kind;
};

} // namespace

TEST_CASE(
    "frames arrive complete and in order, invalid lengths close the link") {
  for (const FrameCase &Case : frameCases()) {
    CAPTURE(Case.m_Name);
    Fixture Test;
    LinkObserver Observer;
    tcp::socket Peer(Test.m_Context);
    const auto Link = Test.adopt(Peer, Observer);
    for (const std::string &Each : Case.m_Writes) {
      boost::asio::write(Peer, boost::asio::buffer(Each));
      Test.runFor(milliseconds(1));
    }
    Test.runUntil([&] {
      return Observer.m_Frames.size() >= Case.m_Frames.size() &&
             Observer.m_Closed.empty() != Case.m_Closed;
    });
    Test.runFor(milliseconds(5));
    CHECK(Observer.m_Frames == Case.m_Frames);
    CHECK(Observer.m_Closed.size() == (Case.m_Closed ? 1U : 0U));
  }
}

TEST_CASE("a frame that the handler rejects as malformed closes the link") {
  Fixture Test;
  LinkObserver Observer;
  Observer.m_OnFrame = [] {
    throw core::Error(core::ErrorKind::MalformedMessage, "malformed", "fix it");
  };
  tcp::socket Peer(Test.m_Context);
  const auto Link = Test.adopt(Peer, Observer);
  boost::asio::write(Peer,
                     boost::asio::buffer(makeFrame("a") + makeFrame("b")));
  Test.runUntil([&] { return !Observer.m_Closed.empty(); });
  CHECK(Observer.m_Frames == std::vector<std::string>{"a"});
  CHECK(Observer.m_Closed.size() == 1);
  Test.receive(Peer, AllBytes);
  CHECK(Test.m_PeerClosed);
}

TEST_CASE("no handler is called after a close from within a handler") {
  Fixture Test;
  LinkObserver Observer;
  tcp::socket Peer(Test.m_Context);
  auto Link = Test.adopt(Peer, Observer);
  Observer.m_OnFrame = [&] {
    Link->close();
    Link.reset();
  };
  boost::asio::write(Peer,
                     boost::asio::buffer(makeFrame("a") + makeFrame("b")));
  Test.receive(Peer, AllBytes);
  CHECK(Test.m_PeerClosed);
  CHECK(Observer.m_Frames == std::vector<std::string>{"a"});
  CHECK(Observer.m_Closed.empty());
}

TEST_CASE("a link that cannot be opened reports it once") {
  Fixture Test;
  const std::string Refused = Test.address();
  Test.m_Acceptor.close();
  for (const std::string &Address : {Refused, std::string("nowhere")}) {
    CAPTURE(Address);
    LinkObserver Observer;
    const auto Link = net::Link::open(
        Test.m_Context, Address, net::LinkKind::Traffic, Observer.handlers());
    CHECK(Observer.m_Closed.empty());
    Link->send(makeFrame("a"));
    Test.runUntil([&] { return !Observer.m_Closed.empty(); });
    Test.runFor(milliseconds(5));
    CHECK(Observer.m_Closed.size() == 1);
    CHECK(Observer.m_Opened == 0);
  }
}

TEST_CASE("an opened link sends its preamble, then the queued frames") {
  Fixture Test;
  LinkObserver Observer;
  const auto Link =
      net::Link::open(Test.m_Context, Test.address(), net::LinkKind::Control,
                      Observer.handlers());
  Link->send(makeFrame("early"));
  CHECK(Observer.m_Opened == 0);
  tcp::socket Peer = Test.m_Acceptor.accept();
  const std::string Expected = "DFC1" + makeFrame("early");
  CHECK(Test.receive(Peer, Expected.size()) == Expected);
  CHECK(Observer.m_Opened == 1);
  Peer.close();
  Test.runUntil([&] { return !Observer.m_Closed.empty(); });
  CHECK(Observer.m_Closed.size() == 1);
}

TEST_CASE("close sends the queued frames") {
  Fixture Test;
  LinkObserver Observer;
  tcp::socket Peer(Test.m_Context);
  const auto Link = Test.adopt(Peer, Observer);
  std::string Expected;
  for (int Count = 0; Count < 20; ++Count) {
    const std::string Each = makeFrame(std::string(500'000, 'c'));
    Expected += Each;
    Link->send(Each);
  }
  Link->close();
  Link->send(makeFrame("dropped"));
  CHECK(Test.receive(Peer, AllBytes) == Expected);
  CHECK(Test.m_PeerClosed);
  CHECK(Observer.m_Closed.empty());
}

TEST_CASE("close does not wait for a peer that does not read") {
  Fixture Test;
  LinkObserver Observer;
  tcp::socket Peer(Test.m_Context);
  auto Link = Test.adopt(Peer, Observer);
  for (int Count = 0; Count < 20; ++Count)
    Link->send(makeFrame(std::string(1'000'000, 'c')));
  Link.reset();
  // The context runs out of work once the connection is closed.
  Test.m_Acceptor.close();
  Test.m_Context.run_for(WaitLimit);
  CHECK(Test.m_Context.stopped());
}

TEST_CASE("a peer that does not read is disconnected at the limit") {
  Fixture Test;
  LinkObserver Observer;
  tcp::socket Peer(Test.m_Context);
  const auto Link = Test.adopt(Peer, Observer);
  const std::string Each = makeFrame(std::string(1'000'000, 'd'));
  std::size_t Sent = 0;
  while (Observer.m_Closed.empty() && Sent < 4 * net::Link::MaxPendingBytes) {
    Link->send(Each);
    Sent += Each.size();
    Test.runFor(milliseconds(1));
  }
  CHECK(Observer.m_Closed.size() == 1);
  CHECK(Sent > net::Link::MaxPendingBytes);
  CHECK(Sent < 2 * net::Link::MaxPendingBytes);
}

TEST_CASE("a listener passes on only connections with a timely preamble") {
  const std::vector<PreambleCase> Cases = {
      {"traffic", "DFT1", net::LinkKind::Traffic},
      {"control", "DFC1", net::LinkKind::Control},
      {"newer version", "DFT2", std::nullopt},
      {"other protocol", "GET / HTTP/1.1\r\n\r\n", std::nullopt},
      {"incomplete", "DF", std::nullopt},
      {"nothing", "", std::nullopt},
  };
  for (const PreambleCase &Case : Cases) {
    CAPTURE(Case.m_Name);
    Fixture Test;
    const std::string Address = Test.address();
    const auto Endpoint = Test.m_Acceptor.local_endpoint();
    Test.m_Acceptor.close();
    std::vector<net::LinkKind> Kinds;
    std::vector<tcp::socket> Sockets;
    const net::LinkListener Listener(
        Test.m_Context, Address, [&](net::LinkKind Kind, tcp::socket Socket) {
          Kinds.push_back(Kind);
          Sockets.push_back(std::move(Socket));
        });
    tcp::socket Peer(Test.m_Context);
    Peer.connect(Endpoint);
    for (const char Each : Case.m_Bytes) {
      boost::system::error_code Ignored;
      boost::asio::write(Peer, boost::asio::buffer(&Each, 1), Ignored);
      Test.runFor(milliseconds(1));
    }
    if (Case.m_Kind.has_value()) {
      Test.runUntil([&] { return !Kinds.empty(); });
      CHECK(Kinds == std::vector{*Case.m_Kind});
      continue;
    }
    Test.receive(Peer, AllBytes);
    CHECK(Test.m_PeerClosed);
    CHECK(Kinds.empty());
  }
}
