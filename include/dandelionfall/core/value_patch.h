/// \file
/// Describes a large value as the difference from an older one.
#ifndef DANDELIONFALL_CORE_VALUE_PATCH_H
#define DANDELIONFALL_CORE_VALUE_PATCH_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionfall::core {

/// Part of a value: bytes of the older value, then new bytes.
struct PatchPiece {
  /// Position of the copied bytes in the older value.
  std::uint64_t m_Offset = 0;
  std::uint64_t m_Length = 0;
  /// New bytes that follow the copied ones.
  std::string m_Bytes;
  friend bool operator==(const PatchPiece &, const PatchPiece &) = default;
};

/// Difference between two values.
struct ValuePatch {
  /// Digest of the newer value.
  std::uint64_t m_Digest = 0;
  std::vector<PatchPiece> m_Pieces;
  friend bool operator==(const ValuePatch &, const ValuePatch &) = default;
};

/// Finds the parts that two values share, wherever they are.
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
