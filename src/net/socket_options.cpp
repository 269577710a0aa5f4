#include "net/socket_options.h"

#include <netinet/tcp.h>

namespace dandelionfall::net {

void setTcpUserTimeout(boost::asio::ip::tcp::socket &Socket,
                       std::chrono::milliseconds Timeout) {
  using UserTimeout =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                  TCP_USER_TIMEOUT>;
  // If the option can't be set, the exchange's own timeout still ends it, only
  // later.
  boost::system::error_code Ignored;
  Socket.set_option(UserTimeout(static_cast<int>(Timeout.count())), Ignored);
}

} // namespace dandelionfall::net
