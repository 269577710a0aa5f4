#include "standin/program.h"

#include "dandelionfall/core/error.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/signal_set.hpp>

#include <charconv>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

namespace dandelionfall::standin {

boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  std::uint16_t Port = 0;
  boost::system::error_code Fault;
  if (Colon != std::string::npos) {
    const char *End = Address.data() + Address.size();
    const auto [Rest, Code] =
        std::from_chars(Address.data() + Colon + 1, End, Port);
    const auto Host =
        boost::asio::ip::make_address(Address.substr(0, Colon), Fault);
    if (!Fault && Code == std::errc() && Rest == End)
      return {Host, Port};
  }
  throw core::Error(core::ErrorKind::Usage, "bad address '" + Address + "'",
                    "write IP:PORT, such as 127.0.0.1:6001");
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    throw core::Error(core::ErrorKind::UnreadableFile, "can't read " + Path,
                      "check the path and its permissions");
  return {std::istreambuf_iterator<char>(File), {}};
}

int serveUntilStopped(
    const std::function<std::shared_ptr<void>(boost::asio::io_context &)>
        &Prepare) {
  try {
    boost::asio::io_context Context(1);
    boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
    Signals.async_wait(
        [&Context](const boost::system::error_code &, int) { Context.stop(); });
    const std::shared_ptr<void> Servers = Prepare(Context);
    std::cout << "listening" << std::endl;
    Context.run();
    return 0;
  } catch (const core::Error &Fault) {
    std::cerr << Fault.what() << "\n";
    return core::describe(Fault.kind()).m_ExitCode;
  } catch (const std::exception &Fault) {
    std::cerr << Fault.what() << "\n";
    return core::describe(core::ErrorKind::Internal).m_ExitCode;
  }
}

} // namespace dandelionfall::standin
