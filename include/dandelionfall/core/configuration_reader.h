/// \file
/// Builds a validated configuration from published values.
#ifndef DANDELIONFALL_CORE_CONFIGURATION_READER_H
#define DANDELIONFALL_CORE_CONFIGURATION_READER_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/error.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionfall::core {

/// Maximum size of a published value in bytes.
inline constexpr std::size_t MaxValueBytes = 1U << 20U;

/// Lists the parts of a version with their digests.
struct Manifest {
  VersionStamp m_Stamp;
  std::map<std::string, Digest, std::less<>> m_Parts;
  friend bool operator==(const Manifest &, const Manifest &) = default;
};

/// One published value besides the manifest: `zones`, `profiles` or
/// `service/NAME`.
struct Part {
  std::string m_Name;
  Digest m_Digest = 0;
  std::string m_Text;
  friend bool operator==(const Part &, const Part &) = default;
};

/// Shared ownership of an immutable part.
using PartPtr = std::shared_ptr<const Part>;

/// Parts by name.
using PartMap = std::map<std::string, PartPtr, std::less<>>;

/// Computes the digest of a published value.
/// \param Text the value as published.
/// \returns its XXH3 digest; platform and nodes compute it in the same way.
Digest computeDigest(std::string_view Text);

/// Formats a digest as it is published.
/// \param Value the digest.
/// \returns 16 hexadecimal digits.
std::string formatDigest(Digest Value);

/// Creates a part from its published text and computes its digest.
/// \param Name the part's name.
/// \param Text the value as published.
/// \returns the part with its digest.
PartPtr makePart(std::string Name, std::string Text);

/// Parses a manifest.
/// \param Text the value as published, INI.
/// \returns the manifest; its stamp contains the digest of the text.
/// \throws Error of kind BadConfiguration for any fault, so that a faulty
/// manifest is never used in part.
Manifest readManifest(std::string_view Text);

/// Formats a manifest as it is published; `readManifest` is the inverse.
/// \param Number the version number.
/// \param Parts the parts' digests.
/// \returns the text; equal input gives equal text.
std::string
writeManifest(Version Number,
              const std::map<std::string, Digest, std::less<>> &Parts);

/// Finds the parts that must be fetched before a version can be built.
/// \param List the version's manifest.
/// \param Parts the stored parts.
/// \returns the names of the listed parts that are absent or have another
/// digest, sorted.
std::vector<std::string> missingParts(const Manifest &List,
                                      const PartMap &Parts);

/// Builds a version from its parts and validates all digests and references.
/// \param List the version's manifest.
/// \param Parts the stored parts; parts that the manifest does not list are
/// ignored.
/// \param Previous an earlier version from which unchanged services are reused;
/// can be null.
/// \param PreviousParts the parts that \p Previous was built from; null if
/// \p Previous is null.
/// \returns the complete version.
/// \throws Error of kind BadConfiguration, the first fault found, if a part is
/// missing, malformed or contains an undefined reference.
ConfigurationPtr buildConfiguration(const Manifest &List, const PartMap &Parts,
                                    const Configuration *Previous = nullptr,
                                    const PartMap *PreviousParts = nullptr);

/// Finds all faults because of which buildConfiguration would reject a set of
/// parts.
/// \param Parts the parts; all of them count as listed by the manifest.
/// \returns the faults in the order of the parts, each of kind
/// BadConfiguration with part, line and a hint how to fix it.
std::vector<Error> checkConfiguration(const PartMap &Parts);

/// Finds all faults in the parts that a manifest lists.
/// \param List the version's manifest.
/// \param Parts the stored parts.
/// \returns the faults, including absent parts and differing digests.
std::vector<Error> checkConfiguration(const Manifest &List,
                                      const PartMap &Parts);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_CONFIGURATION_READER_H
