#include "dandelionfall/app/command_line.h"

#include "dandelionfall/core/error.h"

#include <iostream>

namespace dandelionfall::app {

int runCommandLine(int Count, char ** /*Arguments*/) {
  if (Count < 2) {
    std::cerr << "dandelionfall: no command; see dandelionfall --help\n";
    return core::describe(core::ErrorKind::Usage).m_ExitCode;
  }
  return 0;
}

} // namespace dandelionfall::app
