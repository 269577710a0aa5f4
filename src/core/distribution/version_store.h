/// \file
/// Accepts offered versions if they are newer, complete and valid.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_VERSION_STORE_H
#define DANDELIONFALL_CORE_DISTRIBUTION_VERSION_STORE_H

#include "core/distribution/blackboard.h"

namespace dandelionfall::core {

/// Result of offering a version.
enum class HoldResult : std::uint8_t {
  Held,     ///< It is (or can become) the newest version on this node.
  NotNewer, ///< This node holds the same or a newer version.
  Conflict, ///< This node holds the same number with different content.
  Refused,  ///< It is invalid.
};

/// Checks whether a version can replace the newest one.
/// \param Board the blackboard; a conflict is reported once.
/// \param Which the stream.
/// \param Offered the version's stamp.
/// \returns `Held` if it can; the reason against it otherwise.
HoldResult checkStamp(Blackboard &Board, Stream Which,
                      const VersionStamp &Offered);

/// Makes a version the newest held one, if it is newer and valid.
/// \param Board the blackboard.
/// \param Which the stream.
/// \param Offered the version with all its parts.
/// \returns the result; an invalid version is reported once.
HoldResult holdVersion(Blackboard &Board, Stream Which, PartSetPtr Offered);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_VERSION_STORE_H
