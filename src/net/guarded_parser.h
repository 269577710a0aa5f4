/// \file
/// HTTP parser that reports a field it can't hold as an error code.
#ifndef DANDELIONFALL_SRC_NET_GUARDED_PARSER_H
#define DANDELIONFALL_SRC_NET_GUARDED_PARSER_H

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <exception>

namespace dandelionfall::net {

/// Beast's parser throws if a name or value of a field exceeds 65,533 bytes,
/// which the header limit prevents neither in trailers nor if it is larger.
/// This parser fails with `header_limit` instead.
template <bool IsRequest>
class GuardedParser
    : public boost::beast::http::parser<IsRequest,
                                        boost::beast::http::string_body> {
private:
  void on_field_impl(boost::beast::http::field Id,
                     boost::beast::string_view Name,
                     boost::beast::string_view Value,
                     boost::system::error_code &Code) override {
    try {
      this->get().insert(Id, Name, Value);
    } catch (const std::exception &) {
      Code = boost::beast::http::error::header_limit;
    }
  }
};

using RequestParser = GuardedParser<true>;
using ResponseParser = GuardedParser<false>;

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_GUARDED_PARSER_H
