/// \file
/// Describes a large value as the difference from an older one.
#ifndef DANDELIONFALL_CORE_VALUE_PATCH_H
#define DANDELIONFALL_CORE_VALUE_PATCH_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionfall::core {

/// Difference between two values.
struct ValuePatch {
  /// Digest of the newer value.
  std::uint64_t m_Digest = 0;
  /// The newer value as a Zstandard frame whose dictionary is the older value.
  std::string m_Compressed;
  friend bool operator==(const ValuePatch &, const ValuePatch &) = default;
};

/// Finds the parts that a value shares with an older one or repeats itself.
/// \param Older the older value; empty for a patch that needs none.
/// \param MaxBytes limit of the patch's own size, in bytes.
/// \returns the patch that turns \p Older into \p Newer; nothing if it would
/// exceed the limit.
std::optional<ValuePatch>
makePatch(std::string_view Older, std::string_view Newer, std::size_t MaxBytes);

/// \param MaxBytes limit of the newer value's size, in bytes.
/// \returns the newer value; nothing if the patch does not fit \p Older, or the
/// result does not have the patch's digest or exceeds the limit.
std::optional<std::string> applyPatch(std::string_view Older,
                                      const ValuePatch &Patch,
                                      std::size_t MaxBytes);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_VALUE_PATCH_H
