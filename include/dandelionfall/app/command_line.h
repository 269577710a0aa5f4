/// \file
/// The command line of the one binary.
#ifndef DANDELIONFALL_APP_COMMAND_LINE_H
#define DANDELIONFALL_APP_COMMAND_LINE_H

namespace dandelionfall::app {

/// Runs the command that the arguments name.
/// \param Count number of arguments, the program's name among them.
/// \param Arguments the arguments.
/// \returns the exit code; docs/OPERATIONS.md lists them.
int runCommandLine(int Count, char **Arguments);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_COMMAND_LINE_H
