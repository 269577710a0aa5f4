/// \file
/// All parts of one version of a stream.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_PART_SET_H
#define DANDELIONFALL_CORE_DISTRIBUTION_PART_SET_H

#include "dandelionfall/core/configuration_reader.h"
#include "dandelionfall/core/control_message.h"

#include <memory>

namespace dandelionfall::core {

/// A complete version of a stream.
struct PartSet {
  VersionStamp m_Stamp;
  PartMap m_Parts;
};

/// Shared ownership of an immutable version.
using PartSetPtr = std::shared_ptr<const PartSet>;

/// Computes the stamp of a version from its parts, so that no manifest has to
/// be sent with a change.
/// \param Number the version number.
/// \param Parts the parts.
/// \returns the number and the digest of the manifest in canonical form.
VersionStamp stampOf(Version Number, const PartMap &Parts);

/// Computes the stamp of a manifest from its canonical form, so that all nodes
/// compute the same stamp regardless of the layout of the published text.
/// \param Published the parsed manifest.
/// \returns the stamp over `writeManifest`'s text.
VersionStamp canonicalStamp(const Manifest &Published);

/// Applies a change record.
/// \param Base the version that the record starts from.
/// \param Record the change.
/// \returns the later version.
/// \throws Error of kind BadConfiguration if the record starts from another
/// version or the resulting parts do not match its digest.
PartSetPtr applyRecord(const PartSet &Base, const ChangeRecord &Record);

/// Creates a version from all its parts.
/// \param Stamp the stamp of the version.
/// \param Parts all parts of the version.
/// \returns the version.
/// \throws Error of kind BadConfiguration if the parts do not match the digest
/// in the stamp.
PartSetPtr joinParts(const VersionStamp &Stamp, PartMap Parts);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_PART_SET_H
