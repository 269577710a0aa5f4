#include "dandelionfall/net/address.h"
#include "dandelionfall/net/link.h"
#include "net/link_preamble.h"

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <utility>

namespace dandelionfall::net {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::seconds PreambleTimeout{2};
// Delay before accepting again after an error such as too many open files.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};
constexpr std::size_t MaxPendingConnections = 1024;

/// An accepted connection whose preamble is not yet complete.
struct PendingConnection {
  explicit PendingConnection(tcp::socket Connection)
      : m_Socket(std::move(Connection)), m_Timer(m_Socket.get_executor()) {}
  tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  std::array<char, PreambleBytes> m_Preamble{};
};

} // namespace

class LinkListener::Impl
    : public std::enable_shared_from_this<LinkListener::Impl> {
public:
  Impl(boost::asio::io_context &Context, const std::string &Address,
       Handler Accepted)
      : m_Acceptor(listenAt(Context, Address)), m_RetryTimer(Context),
        m_Accepted(std::move(Accepted)) {}

  void accept() {
    m_Acceptor.async_accept(
        [Self = shared_from_this()](error_code Code, tcp::socket Socket) {
          Self->onAccepted(Code, std::move(Socket));
        });
  }

  void stop() {
    error_code Ignored;
    m_Acceptor.close(Ignored);
    m_RetryTimer.cancel();
    m_Accepted = nullptr;
  }

private:
  void onAccepted(error_code Code, tcp::socket Socket) {
    if (!m_Acceptor.is_open())
      return;
    if (Code)
      return retryAccept();
    if (m_PendingCount < MaxPendingConnections)
      readPreamble(std::make_shared<PendingConnection>(std::move(Socket)));
    accept();
  }

  void retryAccept() {
    m_RetryTimer.expires_after(AcceptRetryDelay);
    m_RetryTimer.async_wait([Self = shared_from_this()](error_code Code) {
      if (!Code)
        Self->accept();
    });
  }

  void readPreamble(const std::shared_ptr<PendingConnection> &Peer) {
    ++m_PendingCount;
    Peer->m_Timer.expires_after(PreambleTimeout);
    Peer->m_Timer.async_wait([Peer](error_code Code) {
      error_code Ignored;
      if (!Code)
        Peer->m_Socket.close(Ignored);
    });
    boost::asio::async_read(
        Peer->m_Socket, boost::asio::buffer(Peer->m_Preamble),
        [Self = shared_from_this(), Peer](error_code Code, std::size_t) {
          Peer->m_Timer.cancel();
          --Self->m_PendingCount;
          if (!Code)
            Self->passToOwner(*Peer);
        });
  }

  void passToOwner(PendingConnection &Peer) {
    const auto Kind =
        parsePreamble({Peer.m_Preamble.data(), Peer.m_Preamble.size()});
    if (!Kind.has_value() || !m_Accepted || !Peer.m_Socket.is_open())
      return;
    m_Accepted(*Kind, std::move(Peer.m_Socket));
  }

  tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_RetryTimer;
  Handler m_Accepted;
  std::size_t m_PendingCount = 0;
};

LinkListener::LinkListener(boost::asio::io_context &Context,
                           const std::string &Address, Handler Accepted)
    : m_Impl(std::make_shared<Impl>(Context, Address, std::move(Accepted))) {
  m_Impl->accept();
}

LinkListener::~LinkListener() { m_Impl->stop(); }

} // namespace dandelionfall::net
