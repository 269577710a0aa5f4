/// \file
/// Splits a command's arguments into flags and operands.
#ifndef DANDELIONFALL_SRC_APP_FLAG_PARSER_H
#define DANDELIONFALL_SRC_APP_FLAG_PARSER_H

#include "app/command.h"

#include <string>
#include <vector>

namespace dandelionfall::app {

/// Result of parsing a command's arguments.
struct ParsedArguments {
  Operands m_Operands;
  bool m_Help = false;
  bool m_Version = false;
};

/// Sets the Abseil flags given in the arguments and resets the command's other
/// flags to their defaults.
///
/// Abseil's own parser is not used because it terminates the process with its
/// own exit code and prints several lines.
/// \param Arguments the arguments after the command's name.
/// \param Allowed the command, which lists the accepted flags.
/// \returns the operands and the requests for help or version.
/// \throws Error of kind Usage for an unknown flag and for a malformed or
/// missing value.
ParsedArguments parseFlags(const std::vector<std::string> &Arguments,
                           const Command &Allowed);

/// Describes a command's flags.
/// \param Described the command.
/// \returns one line per flag with its help text and default.
std::string describeFlags(const Command &Described);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_FLAG_PARSER_H
