/// \file
/// The first bytes of a connection between nodes, which tell its kind.
#ifndef DANDELIONFALL_SRC_NET_LINK_PREAMBLE_H
#define DANDELIONFALL_SRC_NET_LINK_PREAMBLE_H

#include "dandelionfall/net/link.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace dandelionfall::net {

/// Bytes of a preamble; its last one is the protocol's version.
inline constexpr std::size_t PreambleBytes = 4;

/// \returns the preamble of a kind of link.
constexpr std::string_view preambleFor(LinkKind Kind) {
  return Kind == LinkKind::Traffic ? "DFT1" : "DFC1";
}

/// \returns the kind that a preamble stands for, if any.
constexpr std::optional<LinkKind> parsePreamble(std::string_view Preamble) {
  for (const LinkKind Kind : {LinkKind::Traffic, LinkKind::Control}) {
    if (preambleFor(Kind) == Preamble)
      return Kind;
  }
  return std::nullopt;
}

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_LINK_PREAMBLE_H
