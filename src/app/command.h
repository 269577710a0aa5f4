/// \file
/// Table rows that define the commands of the binary.
#ifndef DANDELIONFALL_SRC_APP_COMMAND_H
#define DANDELIONFALL_SRC_APP_COMMAND_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionfall::app {

/// Positional arguments of a command.
using Operands = std::vector<std::string>;

/// One command of the binary.
struct Command {
  std::string_view m_Name;
  /// Operands as shown in the usage line; empty if the command accepts none.
  std::string_view m_OperandUsage;
  std::string_view m_Summary;
  /// Names of the flags that the command accepts.
  std::span<const std::string_view> m_Flags;
  std::size_t m_MinOperands;
  std::size_t m_MaxOperands;
  /// Runs the command and returns the exit code; flags are already set.
  int (*m_Run)(const Operands &);
};

extern const Command NodeCommand;
extern const Command CheckCommand;
extern const Command StatusCommand;
extern const Command TimelineCommand;
extern const Command LoadCommand;
extern const Command ExplainCommand;

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_COMMAND_H
