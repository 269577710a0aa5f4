#include "net/socket_options.h"

#include <boost/asio/socket_base.hpp>

#include <netinet/tcp.h>

namespace dandelionfall::net {

namespace {

/// Seconds without traffic before a probe, and between two; the shortest that
/// the system knows.
constexpr int ProbeSeconds = 1;
/// Probes without an acknowledgement that end a connection.
constexpr int LostProbes = 1;

template <int Name>
void setTcpOption(boost::asio::ip::tcp::socket &Socket, int Value) {
  // Without the option the exchange's own timeout ends it, only later.
  boost::system::error_code Ignored;
  Socket.set_option(
      boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>(Value),
      Ignored);
}

} // namespace

void setSilenceTimeout(boost::asio::ip::tcp::socket &Socket,
                       std::chrono::milliseconds Timeout) {
  setTcpOption<TCP_USER_TIMEOUT>(Socket, static_cast<int>(Timeout.count()));
  setTcpOption<TCP_KEEPIDLE>(Socket, ProbeSeconds);
  setTcpOption<TCP_KEEPINTVL>(Socket, ProbeSeconds);
  setTcpOption<TCP_KEEPCNT>(Socket, LostProbes);
  boost::system::error_code Ignored;
  Socket.set_option(boost::asio::socket_base::keep_alive(true), Ignored);
}

} // namespace dandelionfall::net
