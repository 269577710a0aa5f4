#include "app/command.h"
#include "app/file_reader.h"
#include "dandelionfall/app/settings.h"
#include "dandelionfall/core/error.h"

#include <iostream>
#include <limits>

namespace dandelionfall::app {

namespace {

std::vector<core::Error> checkFile(const std::string &File) {
  Settings Result;
  try {
    return checkSettings(readFile(File), File, Result);
  } catch (const core::Error &Fault) {
    return {Fault};
  }
}

int run(const Operands &Given) {
  int ExitCode = 0;
  for (const std::string &File : Given) {
    const std::vector<core::Error> Faults = checkFile(File);
    for (const core::Error &Fault : Faults)
      std::cerr << Fault.what() << "\n";
    if (Faults.empty())
      std::cout << File << ": no faults\n";
    else if (ExitCode == 0)
      ExitCode = core::describe(Faults.front().kind()).m_ExitCode;
  }
  return ExitCode;
}

} // namespace

const Command CheckCommand = {
    "check",
    "FILE...",
    "reports every fault of settings and published configuration",
    {},
    1,
    std::numeric_limits<std::size_t>::max(),
    run};

} // namespace dandelionfall::app
