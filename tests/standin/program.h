/// \file
/// What the stand-ins' main functions share.
#ifndef DANDELIONFALL_STANDIN_PROGRAM_H
#define DANDELIONFALL_STANDIN_PROGRAM_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace dandelionfall::standin {

/// Reads an address.
/// \param Address `IP:PORT`.
/// \returns the endpoint.
/// \throws core::Error of kind Usage if it is malformed.
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &Address);

/// Reads a whole file.
/// \param Path its name.
/// \returns its contents.
/// \throws core::Error of kind UnreadableFile.
std::string readFile(const std::string &Path);

/// Runs a stand-in: prepares it, prints `listening` and serves until SIGTERM or
/// SIGINT.
/// \param Prepare makes the servers on the given context and returns
/// a handle that keeps them alive.
/// \returns the exit code; faults are printed in one line.
int serveUntilStopped(
    const std::function<std::shared_ptr<void>(boost::asio::io_context &)>
        &Prepare);

} // namespace dandelionfall::standin

#endif // DANDELIONFALL_STANDIN_PROGRAM_H
