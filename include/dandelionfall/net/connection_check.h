/// \file
/// Checks whether an address accepts connections.
#ifndef DANDELIONFALL_NET_CONNECTION_CHECK_H
#define DANDELIONFALL_NET_CONNECTION_CHECK_H

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace dandelionfall::net {

/// Result of a connection check.
enum class ConnectionCheck : std::uint8_t {
  Accepted,
  Refused, ///< No process listens at the address.
  Unknown, ///< No reply in time, or another error.
};

/// Opens a connection and closes it at once, without sending anything.
/// \param Address `IP:PORT`.
/// \param Done called once, never from within this call.
/// \throws Error of kind Usage if \p Address does not parse.
void checkConnection(boost::asio::io_context &Context,
                     const std::string &Address,
                     std::chrono::milliseconds Timeout,
                     std::function<void(ConnectionCheck)> Done);

} // namespace dandelionfall::net

#endif // DANDELIONFALL_NET_CONNECTION_CHECK_H
