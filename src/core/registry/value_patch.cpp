#include "dandelionfall/core/value_patch.h"

#include <xxhash.h>

#include <array>
#include <unordered_map>

namespace dandelionfall::core {

namespace {

/// Estimated size of a piece beside its bytes.
constexpr std::size_t PieceBytes = 12;

std::uint64_t digestOf(std::string_view Bytes) {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

/// Pseudo-random values of all bytes, for a rolling hash.
constexpr std::array<std::uint64_t, 256> makeByteHashes() {
  std::array<std::uint64_t, 256> Result{};
  std::uint64_t State = 0x9e3779b97f4a7c15U;
  for (std::uint64_t &Each : Result) {
    // xorshift64
    State ^= State << 13U;
    State ^= State >> 7U;
    State ^= State << 17U;
    Each = State;
  }
  return Result;
}

constexpr std::array<std::uint64_t, 256> ByteHashes = makeByteHashes();

// Splits a value where the hash of the last bytes has a pattern, so that equal
// parts are split alike wherever they are.
std::vector<std::string_view> split(std::string_view Value) {
  constexpr std::size_t MinChunk = 32;
  constexpr std::size_t MaxChunk = 512;
  // One position in 64, in the highest bits, which depend on the most bytes.
  constexpr std::uint64_t Pattern = std::uint64_t{63} << 58U;
  std::vector<std::string_view> Result;
  std::size_t Begin = 0;
  std::uint64_t Hash = 0;
  for (std::size_t Index = 0; Index < Value.size(); ++Index) {
    Hash = (Hash << 1U) + ByteHashes[static_cast<unsigned char>(Value[Index])];
    const std::size_t Length = Index + 1 - Begin;
    if (Length < MinChunk || ((Hash & Pattern) != 0 && Length < MaxChunk))
      continue;
    Result.push_back(Value.substr(Begin, Length));
    Begin = Index + 1;
  }
  if (Begin < Value.size())
    Result.push_back(Value.substr(Begin));
  return Result;
}

} // namespace

std::optional<ValuePatch> makePatch(std::string_view Older,
                                    std::string_view Newer,
                                    std::size_t MaxBytes) {
  std::unordered_map<std::string_view, std::size_t> Offsets;
  for (const std::string_view Chunk : split(Older))
    Offsets.emplace(Chunk,
                    static_cast<std::size_t>(Chunk.data() - Older.data()));
  ValuePatch Result;
  Result.m_Digest = digestOf(Newer);
  std::size_t Bytes = 0;
  for (const std::string_view Chunk : split(Newer)) {
    PatchPiece *Last =
        Result.m_Pieces.empty() ? nullptr : &Result.m_Pieces.back();
    // Extends the last copy even if an equal part stands elsewhere, too.
    if (Last != nullptr && Last->m_Bytes.empty() &&
        Older.substr(Last->m_Offset + Last->m_Length).starts_with(Chunk)) {
      Last->m_Length += Chunk.size();
      continue;
    }
    const auto Found = Offsets.find(Chunk);
    if (Found != Offsets.end()) {
      Result.m_Pieces.push_back({Found->second, Chunk.size(), {}});
    } else {
      if (Last == nullptr)
        Last = &Result.m_Pieces.emplace_back();
      Last->m_Bytes += Chunk;
      Bytes += Chunk.size();
    }
    if (Bytes + PieceBytes * Result.m_Pieces.size() > MaxBytes)
      return std::nullopt;
  }
  return Result;
}

std::optional<std::string> applyPatch(std::string_view Older,
                                      const ValuePatch &Patch,
                                      std::size_t MaxBytes) {
  std::string Result;
  for (const PatchPiece &Piece : Patch.m_Pieces) {
    if (Piece.m_Offset > Older.size() ||
        Piece.m_Length > Older.size() - Piece.m_Offset)
      return std::nullopt;
    Result += Older.substr(Piece.m_Offset, Piece.m_Length);
    Result += Piece.m_Bytes;
    if (Result.size() > MaxBytes)
      return std::nullopt;
  }
  if (digestOf(Result) != Patch.m_Digest)
    return std::nullopt;
  return Result;
}

} // namespace dandelionfall::core
