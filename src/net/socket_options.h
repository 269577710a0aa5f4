/// \file
/// TCP socket options that Asio does not provide.
#ifndef DANDELIONFALL_SRC_NET_SOCKET_OPTIONS_H
#define DANDELIONFALL_SRC_NET_SOCKET_OPTIONS_H

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace dandelionfall::net {

/// Sets TCP_USER_TIMEOUT: the connection is reset if sent bytes stay
/// unacknowledged for \p Timeout. Errors are ignored.
/// \param Socket a connected socket.
void setTcpUserTimeout(boost::asio::ip::tcp::socket &Socket,
                       std::chrono::milliseconds Timeout);

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_SOCKET_OPTIONS_H
