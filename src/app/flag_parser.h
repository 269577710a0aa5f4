/// \file
/// Splits a command's arguments into flags and operands.
#ifndef DANDELIONFALL_SRC_APP_FLAG_PARSER_H
#define DANDELIONFALL_SRC_APP_FLAG_PARSER_H

#include "app/command.h"

#include <string>
#include <vector>

namespace dandelionfall::app {

/// What a command's arguments ask for.
struct ParsedArguments {
  Operands m_Operands;
  bool m_Help = false;
  bool m_Version = false;
};

/// Sets the Abseil flags that the arguments name.
///
/// The parser of the library is not used, for it ends the process itself with
/// an exit code of its own and several lines of text.
/// \param Arguments the arguments behind the command's name.
/// \param Allowed the command, whose flags may be given.
/// \returns the rest.
/// \throws Error of kind Usage for an unknown flag, a malformed value and a
/// missing one.
ParsedArguments parseFlags(const std::vector<std::string> &Arguments,
                           const Command &Allowed);

/// Describes a command's flags.
/// \param Described the command.
/// \returns a line for each flag with its help text and its default.
std::string describeFlags(const Command &Described);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_FLAG_PARSER_H
