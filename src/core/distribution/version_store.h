/// \file
/// Takes versions in: only newer ones, only whole ones.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_VERSION_STORE_H
#define DANDELIONFALL_CORE_DISTRIBUTION_VERSION_STORE_H

#include "core/distribution/blackboard.h"

namespace dandelionfall::core {

/// What became of a version that was offered.
enum class HoldResult : std::uint8_t {
  Held,     ///< It is the newest version on this node now.
  NotNewer, ///< This node has one that is as new.
  Conflict, ///< This node has the same number with other content.
  Refused,  ///< It has a fault.
};

/// Checks whether a version may replace the newest one.
/// \param Board the blackboard; a conflict is reported once.
/// \param Which the stream.
/// \param Offered the version's stamp.
/// \returns `Held` if it may; what stands against it otherwise.
HoldResult checkStamp(Blackboard &Board, Stream Which,
                      const VersionStamp &Offered);

/// Takes a version in as the newest one, if it is newer and without fault.
/// \param Board the blackboard.
/// \param Which the stream.
/// \param Offered the version with all its parts.
/// \returns what became of it; a fault is reported once a version.
HoldResult holdVersion(Blackboard &Board, Stream Which, PartSetPtr Offered);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_VERSION_STORE_H
