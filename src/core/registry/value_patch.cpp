#include "dandelionfall/core/value_patch.h"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>
#include <new>

namespace dandelionfall::core {

namespace {

/// The fastest standard level; higher ones take several times as long for
/// patches of nearly the same size.
constexpr int CompressionLevel = 1;

std::uint64_t digestOf(std::string_view Bytes) {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

/// The window must cover both values, so that all of the older one can be
/// referred to.
int windowLogFor(std::size_t Bytes) {
  constexpr int MinWindowLog = 10;
  return std::max(MinWindowLog, static_cast<int>(std::bit_width(Bytes)));
}

} // namespace

std::optional<ValuePatch> makePatch(std::string_view Older,
                                    std::string_view Newer,
                                    std::size_t MaxBytes) {
  const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> Context(
      ZSTD_createCCtx(), &ZSTD_freeCCtx);
  if (Context == nullptr)
    throw std::bad_alloc();
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_compressionLevel,
                         CompressionLevel);
  ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_windowLog,
                         windowLogFor(Older.size() + Newer.size()));
  ZSTD_CCtx_refPrefix(Context.get(), Older.data(), Older.size());
  ValuePatch Result;
  Result.m_Compressed.resize(
      std::min(MaxBytes, ZSTD_compressBound(Newer.size())));
  const std::size_t Size =
      ZSTD_compress2(Context.get(), Result.m_Compressed.data(),
                     Result.m_Compressed.size(), Newer.data(), Newer.size());
  // The only failure left is an output that exceeds its limit.
  if (ZSTD_isError(Size) != 0)
    return std::nullopt;
  Result.m_Compressed.resize(Size);
  Result.m_Compressed.shrink_to_fit();
  Result.m_Digest = digestOf(Newer);
  return Result;
}

std::optional<std::string> applyPatch(std::string_view Older,
                                      const ValuePatch &Patch,
                                      std::size_t MaxBytes) {
  const unsigned long long Size = ZSTD_getFrameContentSize(
      Patch.m_Compressed.data(), Patch.m_Compressed.size());
  // Values that mean "unknown" and "no frame" are above any limit.
  if (Size > MaxBytes)
    return std::nullopt;
  const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> Context(
      ZSTD_createDCtx(), &ZSTD_freeDCtx);
  if (Context == nullptr)
    throw std::bad_alloc();
  ZSTD_DCtx_refPrefix(Context.get(), Older.data(), Older.size());
  std::string Result(static_cast<std::size_t>(Size), '\0');
  const std::size_t Written =
      ZSTD_decompressDCtx(Context.get(), Result.data(), Result.size(),
                          Patch.m_Compressed.data(), Patch.m_Compressed.size());
  if (ZSTD_isError(Written) != 0 || Written != Result.size() ||
      digestOf(Result) != Patch.m_Digest)
    return std::nullopt;
  return Result;
}

} // namespace dandelionfall::core
