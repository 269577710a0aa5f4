/// \file
/// TCP endpoints as they stand in settings and on the command line.
#ifndef DANDELIONFALL_SRC_APP_ENDPOINT_H
#define DANDELIONFALL_SRC_APP_ENDPOINT_H

#include <cstdint>
#include <optional>
#include <string_view>
#include <tuple>

namespace dandelionfall::app {

/// An IPv4 address with its TCP port.
struct Endpoint {
  std::uint32_t m_Address = 0;
  std::uint16_t m_Port = 0;
  friend bool operator==(const Endpoint &, const Endpoint &) = default;
  friend bool operator<(const Endpoint &Left, const Endpoint &Right) {
    return std::tie(Left.m_Address, Left.m_Port) <
           std::tie(Right.m_Address, Right.m_Port);
  }
};

/// Reads `IP:PORT`.
/// \param Text the text; names are not resolved.
/// \returns the endpoint, or nothing if the text is none or its port is 0.
std::optional<Endpoint> parseEndpoint(std::string_view Text);

/// Tells whether an endpoint is on the host's own loopback interface.
/// \param Value the endpoint.
/// \returns whether its address is in 127.0.0.0/8.
bool isLoopback(const Endpoint &Value);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_ENDPOINT_H
