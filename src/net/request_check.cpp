#include "net/request_check.h"

#include <boost/beast/http/rfc7230.hpp>

namespace dandelionfall::net {

namespace {

namespace http = boost::beast::http;

bool announcesBody(const BeastRequest &Request) {
  return Request.count(http::field::transfer_encoding) > 0 ||
         Request[http::field::content_length].find_first_not_of('0') !=
             boost::beast::string_view::npos;
}

} // namespace

std::optional<std::string> findFault(const BeastRequest &Request) {
  if (Request.version() >= 11 && Request.count(http::field::host) != 1)
    return "a request needs exactly one Host field";
  if (Request.target().empty() || Request.target().front() != '/')
    return "the request target must begin with '/'";
  if (Request.count(http::field::content_length) > 1 ||
      Request.count(http::field::transfer_encoding) > 1)
    return "Content-Length and Transfer-Encoding may occur once";
  if (Request.count(http::field::transfer_encoding) > 0 &&
      !boost::beast::iequals(Request[http::field::transfer_encoding],
                             "chunked"))
    return "only the transfer coding chunked is known";
  if (Request.count(http::field::upgrade) > 0 ||
      Request.method() == http::verb::connect)
    return "protocols can't be switched here";
  if (Request.method() == http::verb::trace && announcesBody(Request))
    return "a TRACE request must not have a body";
  return std::nullopt;
}

} // namespace dandelionfall::net
