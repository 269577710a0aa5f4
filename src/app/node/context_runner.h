/// \file
/// Runs the handlers of a thread and reports what they throw.
#ifndef DANDELIONFALL_SRC_APP_NODE_CONTEXT_RUNNER_H
#define DANDELIONFALL_SRC_APP_NODE_CONTEXT_RUNNER_H

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace dandelionfall::app {

/// Runs the handlers of \p Context until it is stopped or has no work. A
/// handler that throws ends; the others still run.
/// \param Context the context.
/// \param Report called on the same thread with the type and text of what a
/// handler has thrown; must not throw.
void runContext(boost::asio::io_context &Context,
                const std::function<void(const std::string &)> &Report);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_CONTEXT_RUNNER_H
