/// \file
/// Functions shared by the stand-ins' main functions.
#ifndef DANDELIONFALL_STANDIN_PROGRAM_H
#define DANDELIONFALL_STANDIN_PROGRAM_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace dandelionfall::standin {

/// \param Address `IP:PORT`.
/// \throws core::Error of kind Usage if it is malformed.
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &Address);

/// \returns the contents of a file.
/// \throws core::Error of kind UnreadableFile if it cannot be opened.
std::string readFile(const std::string &Path);

/// Runs a stand-in: prepares it, prints `listening` and serves until SIGTERM or
/// SIGINT.
/// \param Prepare creates the servers on the given context and returns a handle
/// that keeps them alive.
/// \returns the exit code. An error is printed to standard error as one line.
int serveUntilStopped(
    const std::function<std::shared_ptr<void>(boost::asio::io_context &)>
        &Prepare);

} // namespace dandelionfall::standin

#endif // DANDELIONFALL_STANDIN_PROGRAM_H
