/// \file
/// The running node: ingress for callers, gate for its own target, member of
/// the overlay.
#ifndef DANDELIONFALL_APP_NODE_H
#define DANDELIONFALL_APP_NODE_H

#include "dandelionfall/app/settings.h"

#include <string>

namespace dandelionfall::app {

/// Runs a node until SIGTERM or SIGINT has been followed by the end of all
/// admitted work, or by a second signal.
/// \param Config the node's settings, already checked.
/// \param SettingsFile the file that they came from, read again on SIGHUP.
/// \returns the exit code: 0 after a planned stop, 10 after a second signal.
/// \throws Error of kind AddressInUse before anything is started.
int runNode(const Settings &Config, const std::string &SettingsFile);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_NODE_H
