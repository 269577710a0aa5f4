#include "core/distribution/snapshot_sender.h"

#include <algorithm>

namespace dandelionfall::core {

std::size_t sizeOnLink(const Part &Value) {
  constexpr std::size_t Overhead = 16;
  return Value.m_Name.size() + Value.m_Text.size() + Overhead;
}

std::vector<std::vector<PartPtr>>
cutIntoChunks(const std::vector<PartPtr> &Parts, std::size_t Bytes) {
  std::vector<std::vector<PartPtr>> Chunks(1);
  std::size_t Size = 0;
  for (const PartPtr &Value : Parts) {
    if (Size >= Bytes) {
      Chunks.emplace_back();
      Size = 0;
    }
    Chunks.back().push_back(Value);
    Size += sizeOnLink(*Value);
  }
  return Chunks;
}

bool BulkAllowance::tryConsume(std::size_t Bytes, TimePoint Now) {
  if (m_Refilled != TimePoint()) {
    const std::chrono::duration<double> Passed = Now - m_Refilled;
    m_Available =
        std::min(BurstBytes, m_Available + Passed.count() * BytesPerSecond);
  }
  m_Refilled = Now;
  const double Cost = std::min(static_cast<double>(Bytes), BurstBytes);
  if (Cost > m_Available)
    return false;
  m_Available -= Cost;
  return true;
}

void SnapshotSender::begin(Blackboard &Board, LinkId Link, Stream Which) {
  if (m_Transfers.contains({Link, Which}))
    return;
  Transfer Added;
  Added.m_Parts = Board.m_Streams[indexOf(Which)].m_Parts;
  std::vector<PartPtr> Parts;
  std::size_t Bytes = 0;
  for (const auto &[Name, Value] : Added.m_Parts->m_Parts) {
    Parts.push_back(Value);
    Bytes += sizeOnLink(*Value);
  }
  if (!m_Allowance.tryConsume(Bytes, Board.m_Now))
    return;
  Added.m_Chunks = cutIntoChunks(Parts, ChunkBytes);
  Added.m_Due = Board.m_Now;
  m_Transfers.emplace(std::pair(Link, Which), std::move(Added));
}

void SnapshotSender::run(Blackboard &Board) {
  for (auto Entry = m_Transfers.begin(); Entry != m_Transfers.end();) {
    const auto &[Id, Which] = Entry->first;
    Transfer &Current = Entry->second;
    const auto Link = Board.m_Links.find(Id);
    const bool IsOver = Link == Board.m_Links.end() ||
                        Current.m_Next == Current.m_Chunks.size();
    if (IsOver) {
      Entry = m_Transfers.erase(Entry);
      continue;
    }
    ++Entry;
    if (Board.m_Now < Current.m_Due)
      continue;
    SnapshotChunk Chunk;
    Chunk.m_Stream = Which;
    Chunk.m_Stamp = Current.m_Parts->m_Stamp;
    Chunk.m_Index = Current.m_Next;
    Chunk.m_Count = static_cast<std::uint32_t>(Current.m_Chunks.size());
    Chunk.m_Parts = Current.m_Chunks[Current.m_Next];
    ++Current.m_Next;
    Current.m_Due = Board.m_Now + ChunkInterval;
    Board.send(Link->second, std::move(Chunk));
  }
}

TimePoint SnapshotSender::wakeUp() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Key, Current] : m_Transfers)
    Next = std::min(Next, Current.m_Due);
  return Next;
}

} // namespace dandelionfall::core
