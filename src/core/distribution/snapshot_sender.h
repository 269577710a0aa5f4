/// \file
/// Sends complete versions to peers that are too far behind for a change
/// record.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_SNAPSHOT_SENDER_H
#define DANDELIONFALL_CORE_DISTRIBUTION_SNAPSHOT_SENDER_H

#include "core/distribution/blackboard.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace dandelionfall::core {

/// Token bucket for the bytes that a node sends in bulk. The burst serves a few
/// joining nodes at full speed; the slow refill keeps the long-term rate low.
class BulkAllowance {
public:
  static constexpr double BurstBytes = 6.0 * (1U << 20U);
  static constexpr double BytesPerSecond = 8.0 * (1U << 10U);

  /// Consumes bytes from the allowance.
  /// \param Bytes the number of bytes; more than the burst counts as the burst.
  /// \param Now the current time.
  /// \returns false, without consuming any, if not enough bytes are available.
  bool tryConsume(std::size_t Bytes, TimePoint Now);

private:
  double m_Available = BurstBytes;
  TimePoint m_Refilled;
};

/// Sends complete versions in paced chunks. A transfer starts only if the
/// allowance covers all of it; otherwise the peer's pull times out and it pulls
/// from the next holder.
class SnapshotSender {
public:
  static constexpr std::size_t ChunkBytes = 32U << 10U;
  static constexpr Duration ChunkInterval = std::chrono::milliseconds(5);

  /// Starts a transfer, unless one of the same stream is active on the link.
  void begin(Blackboard &Board, LinkId Link, Stream Which);
  /// Sends the chunks that are due.
  void run(Blackboard &Board);
  /// \returns when the next chunk is due.
  TimePoint wakeUp() const;
  /// \returns the allowance.
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

/// Splits parts into groups. A group is closed once it has reached the size, so
/// it can exceed the size by one part.
/// \param Parts the parts.
/// \param Bytes the size at which a group is closed.
/// \returns the groups, at least one.
std::vector<std::vector<PartPtr>>
cutIntoChunks(const std::vector<PartPtr> &Parts, std::size_t Bytes);

/// \returns the approximate size of an encoded part, in bytes.
std::size_t sizeOnLink(const Part &Value);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_SNAPSHOT_SENDER_H
