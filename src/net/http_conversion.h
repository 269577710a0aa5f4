/// \file
/// Conversion between core's HTTP messages and Beast's.
#ifndef DANDELIONFALL_SRC_NET_HTTP_CONVERSION_H
#define DANDELIONFALL_SRC_NET_HTTP_CONVERSION_H

#include "dandelionfall/core/http_message.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace dandelionfall::net {

/// Maximum number of received bytes that a parser has not consumed, in addition
/// to a header. The parser's own limits leave out chunk sizes, chunk extensions
/// and trailers.
inline constexpr std::size_t MaxUnparsedBytes = 1U << 17U;

using BeastRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Copies the header fields to forward to the next hop (RFC 9110, 7.6.1).
/// \param Fields the fields as received.
/// \returns all fields except Host, Expect, Content-Length, the hop-by-hop
/// fields and those named in Connection.
std::vector<core::HttpField>
endToEndFields(const boost::beast::http::fields &Fields);

/// Converts a received request; the Host field becomes m_HostName.
std::shared_ptr<core::HttpRequest> fromBeast(BeastRequest Message);

/// Converts a received response.
std::shared_ptr<core::HttpResponse> fromBeast(BeastResponse Message);

/// Makes a request to send, with a Content-Length for its body.
/// \param DefaultHost Host field of a request without a host name.
/// \throws Error of kind MalformedMessage if HTTP can't carry the request.
BeastRequest toBeast(core::HttpRequest Request, const std::string &DefaultHost);

/// Makes a response to send.
/// \param IsHead whether the request's method was HEAD; its response has no
/// body.
/// \param KeepAlive whether the connection stays open after the response.
/// \throws Error of kind MalformedMessage if HTTP can't carry the response, or
/// its status is not final.
BeastResponse toBeast(core::HttpResponse Response, bool IsHead, bool KeepAlive);

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_HTTP_CONVERSION_H
