#include "dandelionfall/net/address.h"

#include "dandelionfall/core/error.h"

#include <charconv>
#include <cstdint>

namespace dandelionfall::net {

using boost::asio::ip::tcp;

tcp::endpoint parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  boost::system::error_code Code;
  std::uint16_t Port = 0;
  if (Colon != std::string::npos) {
    std::string Host = Text.substr(0, Colon);
    if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
      Host = Host.substr(1, Host.size() - 2);
    const auto Address = boost::asio::ip::make_address(Host, Code);
    const char *End = Text.data() + Text.size();
    const auto [Rest, Result] =
        std::from_chars(Text.data() + Colon + 1, End, Port);
    if (!Code && Result == std::errc() && Rest == End)
      return {Address, Port};
  }
  throw core::Error(core::ErrorKind::Usage, "'" + Text + "' is not an address",
                    "write an IP address and a port, such as 127.0.0.1:7101");
}

tcp::acceptor listenAt(boost::asio::io_context &Context,
                       const std::string &Address) {
  const tcp::endpoint Endpoint = parseEndpoint(Address);
  tcp::acceptor Acceptor(Context);
  boost::system::error_code Code;
  Acceptor.open(Endpoint.protocol(), Code);
  if (!Code)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Code);
  if (!Code)
    Acceptor.bind(Endpoint, Code);
  if (!Code)
    Acceptor.listen(tcp::acceptor::max_listen_connections, Code);
  if (Code)
    throw core::Error(
        core::ErrorKind::AddressInUse,
        "cannot listen at " + Address + ": " + Code.message(),
        "stop the process that uses the address, or configure another");
  return Acceptor;
}

} // namespace dandelionfall::net
