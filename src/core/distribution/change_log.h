/// \file
/// Bounded history of a stream, used to send only changes to neighbours that
/// are a few versions behind.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_CHANGE_LOG_H
#define DANDELIONFALL_CORE_DISTRIBUTION_CHANGE_LOG_H

#include "core/distribution/part_set.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace dandelionfall::core {

/// Records the names of the parts that changed from version to version. Their
/// texts are taken from the newest version, so the history stores only names.
class ChangeLog {
public:
  /// Limit of the memory for names of changed parts, in bytes.
  static constexpr std::size_t MaxBytes = 256U << 10U;

  /// Appends the step between two versions and drops the oldest steps while the
  /// history exceeds `MaxBytes`.
  /// \param Old the version before the step.
  /// \param New the version after the step.
  void append(const PartSet &Old, const PartSet &New);

  /// Merges all steps from an earlier version to the newest one.
  /// \param Earlier the stamp of the earlier version.
  /// \param Newest the version after the last step.
  /// \returns one record that contains each changed part once; nothing if the
  /// history does not reach back to \p Earlier.
  std::optional<ChangeRecord> changeSince(const VersionStamp &Earlier,
                                          const PartSet &Newest) const;

  /// \returns the size of the history in bytes.
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
