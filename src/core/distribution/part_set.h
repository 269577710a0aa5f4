/// \file
/// All parts of one version of a stream.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_PART_SET_H
#define DANDELIONFALL_CORE_DISTRIBUTION_PART_SET_H

#include "dandelionfall/core/configuration_reader.h"
#include "dandelionfall/core/control_message.h"

#include <memory>

namespace dandelionfall::core {

/// One version of a stream, whole.
struct PartSet {
  VersionStamp m_Stamp;
  PartMap m_Parts;
};

/// Shared ownership of a version that never changes again.
using PartSetPtr = std::shared_ptr<const PartSet>;

/// Computes the stamp of a version from its parts, so that no manifest has to
/// travel with a change.
/// \param Number the version number.
/// \param Parts the parts.
/// \returns the number and the digest of the manifest in canonical form.
VersionStamp stampOf(Version Number, const PartMap &Parts);

/// Puts the stamp of a published manifest into canonical form, so that nodes
/// agree on it however the platform lays out the text.
/// \param Published the manifest as read.
/// \returns the stamp over `writeManifest`'s text.
VersionStamp canonicalStamp(const Manifest &Published);

/// Applies a change record.
/// \param Base the version that the record starts from.
/// \param Record the change.
/// \returns the later version.
/// \throws Error of kind BadConfiguration if the record starts elsewhere or
/// the parts do not give the digest that it names.
PartSetPtr applyRecord(const PartSet &Base, const ChangeRecord &Record);

/// Joins the parts of a snapshot.
/// \param Stamp the version that the parts belong to.
/// \param Parts all its parts.
/// \returns the version.
/// \throws Error of kind BadConfiguration if the parts do not give the digest.
PartSetPtr joinParts(const VersionStamp &Stamp, PartMap Parts);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_PART_SET_H
