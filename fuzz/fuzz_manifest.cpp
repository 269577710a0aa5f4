// Either a manifest is rejected, or it is equal after formatting and parsing.
#include "dandelionfall/core/configuration_reader.h"
#include "require.h"

#include <cstdint>

using namespace dandelionfall::core;
using dandelionfall::fuzz::require;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  try {
    const Manifest List = readManifest(Text);
    require(List.m_Stamp.m_Version > 0, "a version is above 0");
    require(List.m_Stamp.m_Digest == computeDigest(Text),
            "the digest is that of the text");
    const Manifest Again =
        readManifest(writeManifest(List.m_Stamp.m_Version, List.m_Parts));
    require(Again.m_Parts == List.m_Parts &&
                Again.m_Stamp.m_Version == List.m_Stamp.m_Version,
            "a manifest is equal after formatting and parsing");
  } catch (const Error &Fault) {
    require(Fault.kind() == ErrorKind::BadConfiguration,
            "a fault is of kind BadConfiguration");
  }
  return 0;
}
