// Either a host list is rejected, or it is equal after formatting and parsing.
#include "dandelionfall/core/error.h"
#include "dandelionfall/core/host_list.h"
#include "require.h"

#include <cstdint>

using namespace dandelionfall::core;
using dandelionfall::fuzz::require;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  try {
    const HostList List = readHostList(Text);
    require(readHostList(writeHostList(List)) == List,
            "a host list is equal after formatting and parsing");
  } catch (const Error &Fault) {
    require(Fault.kind() == ErrorKind::BadConfiguration,
            "a fault is of kind BadConfiguration");
  }
  return 0;
}
