/// \file
/// Conversion between the plain HTTP values and Beast's messages.
#ifndef DANDELIONFALL_SRC_NET_HTTP_CONVERSION_H
#define DANDELIONFALL_SRC_NET_HTTP_CONVERSION_H

#include "dandelionfall/core/http_message.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <vector>

namespace dandelionfall::net {

using BeastRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Copies the fields that go on to the next hop (RFC 9110, 7.6.1).
/// \param Fields the fields as received.
/// \returns all but hop-by-hop fields, Host and Content-Length.
std::vector<core::HttpField>
endToEndFields(const boost::beast::http::fields &Fields);

/// Takes a received request over into a plain value.
core::HttpRequestPtr fromBeast(BeastRequest Message);

/// Takes a received response over into a plain value.
core::HttpResponsePtr fromBeast(BeastResponse Message);

/// Makes a request to send; its body gets a length.
BeastRequest toBeast(const core::HttpRequest &Request,
                     const std::string &DefaultHost);

/// Makes a response to send.
/// \param Response the response.
/// \param IsHead whether the request's method was HEAD, which allows no body.
/// \param KeepAlive whether the connection stays open.
BeastResponse toBeast(const core::HttpResponse &Response, bool IsHead,
                      bool KeepAlive);

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_HTTP_CONVERSION_H
