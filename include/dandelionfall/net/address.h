/// \file
/// Parsing of `IP:PORT` addresses, and listening at them.
#ifndef DANDELIONFALL_NET_ADDRESS_H
#define DANDELIONFALL_NET_ADDRESS_H

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace dandelionfall::net {

/// Parses an address; an IPv6 address is written in square brackets.
/// \throws Error of kind Usage if \p Text is not an IP address with a port.
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &Text);

/// Opens an acceptor that listens at an address, with SO_REUSEADDR set.
/// \param Context the context that the acceptor belongs to.
/// \param Address `IP:PORT`; port 0 lets the system choose one.
/// \throws Error of kind Usage if \p Address does not parse, of kind
/// AddressInUse if it can't be bound.
boost::asio::ip::tcp::acceptor listenAt(boost::asio::io_context &Context,
                                        const std::string &Address);

} // namespace dandelionfall::net

#endif // DANDELIONFALL_NET_ADDRESS_H
