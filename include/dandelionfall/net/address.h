/// \file
/// Addresses as texts of the form `IP:PORT`.
#ifndef DANDELIONFALL_NET_ADDRESS_H
#define DANDELIONFALL_NET_ADDRESS_H

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace dandelionfall::net {

/// Reads an address; IPv6 numbers stand in square brackets.
/// \param Text the address.
/// \returns the endpoint.
/// \throws Error of kind Usage if the text is no IP number with a port.
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &Text);

/// Opens an acceptor that listens at an address.
/// \param Context the context that the acceptor belongs to.
/// \param Address the address.
/// \returns the listening acceptor.
/// \throws Error of kind AddressInUse if the address can't be bound.
boost::asio::ip::tcp::acceptor listenAt(boost::asio::io_context &Context,
                                        const std::string &Address);

} // namespace dandelionfall::net

#endif // DANDELIONFALL_NET_ADDRESS_H
