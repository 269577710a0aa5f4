#include "dandelionfall/app/command_line.h"

#include "app/command.h"
#include "app/flag_parser.h"
#include "dandelionfall/core/error.h"

#include <cstdio>
#include <exception>
#include <iostream>

namespace dandelionfall::app {

namespace {

using core::Error;
using core::ErrorKind;

constexpr const Command *Commands[] = {&NodeCommand,   &CheckCommand,
                                       &StatusCommand, &TimelineCommand,
                                       &LoadCommand,   &ExplainCommand};

constexpr const char *GeneralRemedy = "see dandelionfall --help";

void printVersion() {
  std::cout << "dandelionfall " DANDELIONFALL_VERSION "\n";
}

void printGeneralHelp() {
  std::cout << "usage: dandelionfall COMMAND [FLAG]... [OPERAND]...\n\n"
               "commands:\n";
  for (const Command *Row : Commands) {
    constexpr std::size_t NameWidth = 10;
    std::string Name(Row->m_Name);
    Name.resize(NameWidth, ' ');
    std::cout << "  " << Name << Row->m_Summary << "\n";
  }
  std::cout
      << "\nflags:\n"
         "  --help     shows the usage; after a command's name, its usage\n"
         "  --version  shows the program's version\n\n"
         "exit codes:\n"
         "  0   success\n";
  for (auto Kind = ErrorKind::Usage; Kind <= ErrorKind::Internal;
       Kind = static_cast<ErrorKind>(static_cast<std::uint8_t>(Kind) + 1)) {
    const core::ErrorKindInfo &Info = core::describe(Kind);
    std::string Code = std::to_string(Info.m_ExitCode);
    constexpr std::size_t CodeWidth = 4;
    Code.resize(CodeWidth, ' ');
    std::cout << "  " << Code << Info.m_Name << "\n";
  }
}

void printCommandHelp(const Command &Shown) {
  std::cout << "usage: dandelionfall " << Shown.m_Name;
  if (!Shown.m_Flags.empty())
    std::cout << " [FLAG]...";
  if (!Shown.m_OperandUsage.empty())
    std::cout << " " << Shown.m_OperandUsage;
  std::cout << "\n\n" << Shown.m_Summary << "\n";
  if (!Shown.m_Flags.empty())
    std::cout << "\nflags:\n" << describeFlags(Shown);
}

const Command &findCommand(const std::string &Name) {
  for (const Command *Row : Commands) {
    if (Row->m_Name == Name)
      return *Row;
  }
  const bool IsFlag = Name.starts_with('-');
  throw Error(ErrorKind::Usage,
              std::string("unknown ") + (IsFlag ? "flag " : "command ") + Name,
              GeneralRemedy);
}

void checkOperands(const Command &Chosen, const Operands &Given) {
  const std::string Remedy =
      "see dandelionfall " + std::string(Chosen.m_Name) + " --help";
  if (Given.size() < Chosen.m_MinOperands)
    throw Error(ErrorKind::Usage,
                "operand " + std::string(Chosen.m_OperandUsage) + " is missing",
                Remedy);
  if (Given.size() > Chosen.m_MaxOperands)
    throw Error(ErrorKind::Usage,
                "operand '" + Given[Chosen.m_MaxOperands] + "' is one too many",
                Remedy);
}

int runCommand(const std::vector<std::string> &Arguments) {
  if (Arguments.empty())
    throw Error(ErrorKind::Usage, "no command", GeneralRemedy);
  if (Arguments.front() == "--help") {
    printGeneralHelp();
    return 0;
  }
  if (Arguments.front() == "--version") {
    printVersion();
    return 0;
  }
  const Command &Chosen = findCommand(Arguments.front());
  const ParsedArguments Parsed =
      parseFlags({Arguments.begin() + 1, Arguments.end()}, Chosen);
  if (Parsed.m_Help) {
    printCommandHelp(Chosen);
    return 0;
  }
  if (Parsed.m_Version) {
    printVersion();
    return 0;
  }
  checkOperands(Chosen, Parsed.m_Operands);
  return Chosen.m_Run(Parsed.m_Operands);
}

int reportError(const Error &Fault) {
  std::cerr << "dandelionfall: " << Fault.what() << "\n";
  return core::describe(Fault.kind()).m_ExitCode;
}

} // namespace

int runCommandLine(int Count, char **Arguments) {
  const std::vector<std::string> Given(Arguments + (Count > 0 ? 1 : 0),
                                       Arguments + Count);
  try {
    return runCommand(Given);
  } catch (const Error &Fault) {
    return reportError(Fault);
  } catch (const std::exception &Fault) {
    return reportError(Error(ErrorKind::Internal, Fault.what(),
                             "report it with the command line"));
  }
}

} // namespace dandelionfall::app
