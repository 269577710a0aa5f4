/// \file
/// Runs the program's command line in a test.
#ifndef DANDELIONFALL_TESTS_UNIT_COMMAND_RUN_H
#define DANDELIONFALL_TESTS_UNIT_COMMAND_RUN_H

#include "dandelionfall/app/command_line.h"

#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace dandelionfall::tests {

/// Output and exit code of a run of the program.
struct RunResult {
  int m_ExitCode;
  std::string m_Output;
  std::string m_Errors;
};

/// Runs the program in this process.
/// \param Arguments its arguments, without the program's name.
/// \returns the output and the exit code.
inline RunResult run(std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.begin(), "dandelionfall");
  std::vector<char *> Pointers;
  Pointers.reserve(Arguments.size());
  for (std::string &Argument : Arguments)
    Pointers.push_back(Argument.data());
  const std::ostringstream Output;
  const std::ostringstream Errors;
  std::streambuf *const OldOutput = std::cout.rdbuf(Output.rdbuf());
  std::streambuf *const OldErrors = std::cerr.rdbuf(Errors.rdbuf());
  const int ExitCode =
      app::runCommandLine(static_cast<int>(Pointers.size()), Pointers.data());
  std::cout.rdbuf(OldOutput);
  std::cerr.rdbuf(OldErrors);
  return {ExitCode, Output.str(), Errors.str()};
}

} // namespace dandelionfall::tests

#endif // DANDELIONFALL_TESTS_UNIT_COMMAND_RUN_H
