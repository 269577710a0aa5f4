#include "dandelionfall/net/connection_check.h"

#include "dandelionfall/net/address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace dandelionfall::net {

namespace {

using boost::system::error_code;

struct Attempt {
  explicit Attempt(boost::asio::io_context &Context)
      : m_Socket(Context), m_Timer(Context) {}

  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
};

ConnectionCheck classify(error_code Code) {
  if (!Code)
    return ConnectionCheck::Accepted;
  return Code == boost::asio::error::connection_refused
             ? ConnectionCheck::Refused
             : ConnectionCheck::Unknown;
}

} // namespace

void checkConnection(boost::asio::io_context &Context,
                     const std::string &Address,
                     std::chrono::milliseconds Timeout,
                     std::function<void(ConnectionCheck)> Done) {
  const auto Pending = std::make_shared<Attempt>(Context);
  Pending->m_Timer.expires_after(Timeout);
  // Closing the socket ends the attempt with an error.
  Pending->m_Timer.async_wait([Pending](error_code Code) {
    error_code Ignored;
    if (!Code)
      Pending->m_Socket.close(Ignored);
  });
  Pending->m_Socket.async_connect(
      parseEndpoint(Address),
      [Pending, Done = std::move(Done)](error_code Code) {
        error_code Ignored;
        Pending->m_Timer.cancel();
        Pending->m_Socket.close(Ignored);
        Done(classify(Code));
      });
}

} // namespace dandelionfall::net
