/// \file
/// The node process: ingress for callers, gate for the local target and member
/// of the control overlay.
#ifndef DANDELIONFALL_APP_NODE_H
#define DANDELIONFALL_APP_NODE_H

#include "dandelionfall/app/settings.h"

#include <string>

namespace dandelionfall::app {

/// Runs a node until all admitted requests have finished after SIGTERM or
/// SIGINT, or until a second signal. Then ends the process without returning,
/// with exit code 0 after a planned stop, 10 after a second signal, and 70 if a
/// handler of one of its threads has thrown an exception.
/// \param Config the node's settings, already checked.
/// \param SettingsFile the file that they were read from; read again on SIGHUP.
/// \throws Error of kind AddressInUse before anything is started.
int runNode(const Settings &Config, const std::string &SettingsFile);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_NODE_H
