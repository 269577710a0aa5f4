#include "app/command.h"
#include "dandelionfall/app/logging.h"
#include "dandelionfall/app/node.h"
#include "dandelionfall/core/error.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, settings, "", "settings file of the node, INI");

namespace dandelionfall::app {

namespace {

constexpr std::string_view Flags[] = {"settings"};

int run(const Operands & /*Given*/) {
  const std::string File = absl::GetFlag(FLAGS_settings);
  if (File.empty())
    throw core::Error(core::ErrorKind::Usage, "flag --settings is missing",
                      "write dandelionfall node --settings FILE");
  const Settings Config = readSettings(File);
  setUpLogging(Config.m_LogLevel);
  return runNode(Config, File);
}

} // namespace

const Command NodeCommand = {"node", "", "runs a node until SIGTERM", Flags, 0,
                             0,      run};

} // namespace dandelionfall::app
