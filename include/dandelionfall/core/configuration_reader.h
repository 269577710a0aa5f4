/// \file
/// Turns published values into a checked configuration.
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

/// Largest value that the platform publishes, in bytes.
inline constexpr std::size_t MaxValueBytes = 1U << 20U;

/// The list of a version's parts with their digests.
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

/// Shared ownership of a part that never changes again.
using PartPtr = std::shared_ptr<const Part>;

/// Parts by name.
using PartMap = std::map<std::string, PartPtr, std::less<>>;

/// Computes the digest of a published value.
/// \param Text the value as published.
/// \returns its XXH3 digest, which platform and nodes compute alike.
Digest computeDigest(std::string_view Text);

/// Writes a digest in the published form.
/// \param Value the digest.
/// \returns 16 hexadecimal digits.
std::string formatDigest(Digest Value);

/// Makes a part from its published text.
/// \param Name the part's name.
/// \param Text the value as published.
/// \returns the part with its digest.
PartPtr makePart(std::string Name, std::string Text);

/// Reads a manifest.
/// \param Text the value as published, INI.
/// \returns the manifest; the digest of its stamp is that of the text.
/// \throws Error of kind BadConfiguration for any fault; nothing of the value
/// is used then.
Manifest readManifest(std::string_view Text);

/// Writes a manifest in the published form; `readManifest` gives the same
/// manifest back.
/// \param Number the version number.
/// \param Parts the parts' digests.
/// \returns the text, the same for equal input.
std::string
writeManifest(Version Number,
              const std::map<std::string, Digest, std::less<>> &Parts);

/// Finds the parts that are still to be read before a version can be built.
/// \param List the version's manifest.
/// \param Parts the parts on hand.
/// \returns the names of the listed parts that are absent or whose digest is
/// another, in order.
std::vector<std::string> missingParts(const Manifest &List,
                                      const PartMap &Parts);

/// Builds a version from all its parts, with every digest and every reference
/// checked.
/// \param List the version's manifest.
/// \param Parts the parts on hand; those the manifest does not list are
/// ignored.
/// \param Previous an earlier version; unchanged services are taken from it.
/// May be null.
/// \param PreviousParts the parts that \p Previous was built from; null if it
/// is.
/// \returns the whole version.
/// \throws Error of kind BadConfiguration if a part is missing, malformed or
/// refers to something that isn't there; it is the first of all faults.
ConfigurationPtr buildConfiguration(const Manifest &List, const PartMap &Parts,
                                    const Configuration *Previous = nullptr,
                                    const PartMap *PreviousParts = nullptr);

/// Finds every fault that would make buildConfiguration refuse a set of parts.
/// \param Parts the parts, all of them taken as listed.
/// \returns the faults in the order of the parts, each of kind
/// BadConfiguration with its part, line and remedy.
std::vector<Error> checkConfiguration(const PartMap &Parts);

/// Does the same for the parts that a manifest lists.
/// \param List the version's manifest.
/// \param Parts the parts on hand.
/// \returns the faults, absent parts and differing digests among them.
std::vector<Error> checkConfiguration(const Manifest &List,
                                      const PartMap &Parts);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_CONFIGURATION_READER_H
