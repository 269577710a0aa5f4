// Checking settings never throws, and each reported fault contains the file
// name and a remedy.
#include "dandelionfall/app/settings.h"
#include "require.h"

#include <cstdint>

using dandelionfall::fuzz::require;
namespace app = dandelionfall::app;
namespace core = dandelionfall::core;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  app::Settings Result;
  for (const core::Error &Fault :
       app::checkSettings(Text, "node.ini", Result)) {
    require(Fault.kind() == core::ErrorKind::BadSettings,
            "a fault is of kind BadSettings");
    require(Fault.location().m_File == "node.ini", "a fault names its file");
    require(!Fault.remedy().empty(), "a fault names its remedy");
  }
  return 0;
}
