/// \file
/// Options of TCP sockets that the network library does not name.
#ifndef DANDELIONFALL_SRC_NET_SOCKET_OPTIONS_H
#define DANDELIONFALL_SRC_NET_SOCKET_OPTIONS_H

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace dandelionfall::net {

/// Lets a connection break once sent bytes were not acknowledged for a time.
/// \param Socket a connected socket.
/// \param Timeout the time.
void setTcpUserTimeout(boost::asio::ip::tcp::socket &Socket,
                       std::chrono::milliseconds Timeout);

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_SOCKET_OPTIONS_H
