/// \file
/// Spreads versions over the control links.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_REPLICATION_H
#define DANDELIONFALL_CORE_DISTRIBUTION_REPLICATION_H

#include "core/distribution/blackboard.h"
#include "core/distribution/snapshot_sender.h"

#include <array>
#include <optional>

namespace dandelionfall::core {

/// Announces what this node holds, and pulls what others announce: from the
/// first announcer, and from the next one if it does not deliver.
class Replication : public Controller {
public:
  /// Time for the first message of a reply to a pull.
  static constexpr Duration ReplyTimeout = std::chrono::milliseconds(400);
  /// Time between two chunks of a snapshot.
  static constexpr Duration ChunkTimeout = std::chrono::seconds(1);
  /// Largest version that is taken from a peer, in bytes.
  static constexpr std::size_t MaxVersionBytes = 32U << 20U;
  /// Time before the same peer is asked again after it did not deliver.
  static constexpr Duration PullRetryDelay = std::chrono::seconds(1);

  void run(Blackboard &Board) override;
  TimePoint wakeUp(const Blackboard &Board) const override;

  void onHeld(Blackboard &Board, ControlLink &Link, Stream Which,
              const VersionStamp &Held) const;
  void onPull(Blackboard &Board, ControlLink &Link, const Pull &Request);
  void onRecords(Blackboard &Board, ControlLink &Link,
                 const ChangeRecords &Message);
  void onChunk(Blackboard &Board, ControlLink &Link,
               const SnapshotChunk &Chunk);
  /// Pulls from the node that showed a newer version in traffic.
  void pullFromAddress(Blackboard &Board, Version Seen,
                       const std::string &Address);

private:
  struct PendingPull {
    LinkId m_Link = 0;
    TimePoint m_Deadline;
    VersionStamp m_Stamp;
    std::uint32_t m_NextChunk = 0;
    PartMap m_Parts;
    std::size_t m_Bytes = 0;
  };

  void announce(Blackboard &Board);
  void pull(Blackboard &Board, Stream Which);
  ControlLink *chooseHolder(Blackboard &Board, Stream Which) const;
  void startPull(Blackboard &Board, ControlLink &Link, Stream Which);
  void endPull(Blackboard &Board, Stream Which);

  SnapshotSender m_Sender;
  std::array<std::optional<PendingPull>, StreamCount> m_Pending;
  TimePoint m_RetryPullAt = TimePoint::max();
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_REPLICATION_H
