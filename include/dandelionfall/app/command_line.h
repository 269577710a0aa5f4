/// \file
/// Command line of the `dandelionfall` binary.
#ifndef DANDELIONFALL_APP_COMMAND_LINE_H
#define DANDELIONFALL_APP_COMMAND_LINE_H

namespace dandelionfall::app {

/// Runs the command that the arguments name.
/// \param Count number of arguments, including the program's name.
/// \param Arguments the arguments.
/// \returns the exit code; docs/OPERATIONS.md lists the codes.
int runCommandLine(int Count, char **Arguments);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_COMMAND_LINE_H
