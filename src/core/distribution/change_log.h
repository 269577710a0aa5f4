/// \file
/// Bounded history of a stream, from which neighbours that are a little behind
/// are served.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_CHANGE_LOG_H
#define DANDELIONFALL_CORE_DISTRIBUTION_CHANGE_LOG_H

#include "core/distribution/part_set.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace dandelionfall::core {

/// Remembers which parts changed from version to version. The texts are taken
/// from the newest version, so that the history costs only names.
class ChangeLog {
public:
  /// Names of changed parts that are kept, in bytes.
  static constexpr std::size_t MaxBytes = 256U << 10U;

  /// Notes a step.
  /// \param Old the version before.
  /// \param New the version after; older steps are dropped beyond the bound.
  void append(const PartSet &Old, const PartSet &New);

  /// Finds the change that leads from an earlier version to the newest.
  /// \param Earlier the earlier version.
  /// \param Newest the version of the last step.
  /// \returns one record with each changed part once; nothing if the history
  /// does not reach back to \p Earlier.
  std::optional<ChangeRecord> changeSince(const VersionStamp &Earlier,
                                          const PartSet &Newest) const;

  /// \returns the bytes in use.
  std::size_t bytes() const { return m_Bytes; }

private:
  struct Step {
    VersionStamp m_Base;
    std::vector<std::string> m_Names;
    std::size_t m_Bytes = 0;
  };
  std::deque<Step> m_Steps;
  std::size_t m_Bytes = 0;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_CHANGE_LOG_H
