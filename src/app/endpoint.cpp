#include "app/endpoint.h"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>
#include <string>

namespace dandelionfall::app {

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  boost::system::error_code Code;
  const auto Address = boost::asio::ip::make_address_v4(
      std::string(Text.substr(0, Colon)), Code);
  if (Code)
    return std::nullopt;
  const std::string_view PortText = Text.substr(Colon + 1);
  const char *End = PortText.data() + PortText.size();
  std::uint16_t Port = 0;
  const auto [Rest, Fault] = std::from_chars(PortText.data(), End, Port);
  if (Fault != std::errc() || Rest != End || Port == 0)
    return std::nullopt;
  return Endpoint{Address.to_uint(), Port};
}

bool isLoopback(const Endpoint &Value) {
  return boost::asio::ip::address_v4(Value.m_Address).is_loopback();
}

} // namespace dandelionfall::app
