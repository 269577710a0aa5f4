/// \file
/// Checks a received request's header before its body is read.
#ifndef DANDELIONFALL_SRC_NET_REQUEST_CHECK_H
#define DANDELIONFALL_SRC_NET_REQUEST_CHECK_H

#include "net/http_conversion.h"

#include <optional>
#include <string>

namespace dandelionfall::net {

/// Finds faults that the parser accepts but other HTTP implementations may
/// interpret differently (request smuggling), requests to switch protocols, and
/// TRACE requests with content, which clients must not send (RFC 9110, 9.3.8).
/// \returns the text of the error response, or no value for a proper request.
std::optional<std::string> findFault(const BeastRequest &Request);

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_REQUEST_CHECK_H
