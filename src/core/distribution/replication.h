/// \file
/// Replicates versions over the control links.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_REPLICATION_H
#define DANDELIONFALL_CORE_DISTRIBUTION_REPLICATION_H

#include "core/distribution/blackboard.h"
#include "core/distribution/snapshot_sender.h"

#include <array>
#include <optional>

namespace dandelionfall::core {

/// Announces the held versions, and pulls newer versions from the peer that
/// announced them first, or from the next one if that peer does not deliver.
class Replication : public Controller {
public:
  /// Time limit for the first message of a reply to a pull.
  static constexpr Duration ReplyTimeout = std::chrono::milliseconds(400);
  /// Time limit between two chunks of a snapshot.
  static constexpr Duration ChunkTimeout = std::chrono::seconds(1);
  /// Largest version that is accepted from a peer, in bytes.
  static constexpr std::size_t MaxVersionBytes = 32U << 20U;
  /// Delay before the next pull from a peer that did not deliver.
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
  /// Pulls from a node whose traffic showed a newer version.
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
