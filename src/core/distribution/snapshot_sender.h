/// \file
/// Sends whole versions to peers that are too far behind for a change record.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_SNAPSHOT_SENDER_H
#define DANDELIONFALL_CORE_DISTRIBUTION_SNAPSHOT_SENDER_H

#include "core/distribution/blackboard.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace dandelionfall::core {

/// Bytes that a node may send in bulk: a burst that serves a few joining nodes
/// at full speed, refilled slowly so that the long-run rate stays low.
class BulkAllowance {
public:
  static constexpr double BurstBytes = 6.0 * (1U << 20U);
  static constexpr double BytesPerSecond = 8.0 * (1U << 10U);

  /// Takes bytes off the allowance.
  /// \param Bytes how many; more than the burst counts as the burst.
  /// \param Now the time.
  /// \returns false, and takes nothing, if they are not there.
  bool tryConsume(std::size_t Bytes, TimePoint Now);

private:
  double m_Available = BurstBytes;
  TimePoint m_Refilled;
};

/// Sends whole versions in paced chunks. A transfer is begun only if the
/// allowance covers all of it; otherwise the peer's timer leads it to the next
/// holder.
class SnapshotSender {
public:
  static constexpr std::size_t ChunkBytes = 32U << 10U;
  static constexpr Duration ChunkInterval = std::chrono::milliseconds(5);

  /// Begins a transfer, unless one of the same stream runs on the link.
  void begin(Blackboard &Board, LinkId Link, Stream Which);
  /// Sends the chunks that are due.
  void run(Blackboard &Board);
  /// \returns when the next chunk is due.
  TimePoint wakeUp() const;
  /// \returns the allowance, which change records draw on too.
  BulkAllowance &allowance() { return m_Allowance; }

private:
  struct Transfer {
    PartSetPtr m_Parts;
    std::vector<std::vector<PartPtr>> m_Chunks;
    std::uint32_t m_Next = 0;
    TimePoint m_Due;
  };

  BulkAllowance m_Allowance;
  std::map<std::pair<LinkId, Stream>, Transfer> m_Transfers;
};

/// Cuts parts into groups of limited size.
/// \param Parts the parts.
/// \param Bytes size that a group is closed at.
/// \returns the groups, at least one.
std::vector<std::vector<PartPtr>>
cutIntoChunks(const std::vector<PartPtr> &Parts, std::size_t Bytes);

/// \returns the bytes that a part takes on a link.
std::size_t sizeOnLink(const Part &Value);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_SNAPSHOT_SENDER_H
