/// \file
/// The first bytes of a connection between nodes, which name the link's kind.
#ifndef DANDELIONFALL_SRC_NET_LINK_PREAMBLE_H
#define DANDELIONFALL_SRC_NET_LINK_PREAMBLE_H

#include "dandelionfall/net/link.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace dandelionfall::net {

/// Size of a preamble in bytes; its last byte is the protocol version.
inline constexpr std::size_t PreambleBytes = 4;

/// \returns the preamble that the opener of a link sends.
constexpr std::string_view preambleFor(LinkKind Kind) {
  return Kind == LinkKind::Traffic ? "DFT1" : "DFC1";
}

/// \returns the kind of link, or no value for an unknown preamble.
constexpr std::optional<LinkKind> parsePreamble(std::string_view Preamble) {
  for (const LinkKind Kind : {LinkKind::Traffic, LinkKind::Control}) {
    if (preambleFor(Kind) == Preamble)
      return Kind;
  }
  return std::nullopt;
}

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_LINK_PREAMBLE_H
