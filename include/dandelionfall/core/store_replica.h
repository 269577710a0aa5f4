/// \file
/// Keeps a node's copy of a shared store current, from the store and from other
/// nodes.
#ifndef DANDELIONFALL_CORE_STORE_REPLICA_H
#define DANDELIONFALL_CORE_STORE_REPLICA_H

#include "dandelionfall/core/control_link.h"
#include "dandelionfall/core/freshness.h"
#include "dandelionfall/core/registry.h"
#include "dandelionfall/core/store_reader.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelionfall::core {

/// Identity, settings and limits of the node.
struct StoreReplicaOptions {
  RegistryOptions m_Registry;
  /// Link address of this node, `IP:PORT`.
  std::string m_LinkAddress;
  /// Availability zone of this node.
  std::string m_Zone;
  /// Link addresses of other nodes; some may no longer exist.
  std::vector<std::string> m_Seeds;
  /// Prefixes of the keys whose records are small and urgent; a node that reads
  /// for others watches each of them apart from the larger records.
  std::vector<std::string> m_UrgentPrefixes;
  /// Seed of the random jitter between calls.
  std::uint64_t m_RandomSeed = 0;
  /// Number of nodes that may follow this one.
  std::size_t m_MaxFollowers = 0;
  /// Whether proofs are made that the configuration is the newest one; nodes
  /// that are followed are then asked for theirs.
  bool m_ProvesFreshness = false;
  /// Whether the store never loses what it has acknowledged, unless it raises
  /// its era. Otherwise proofs wait, after a failed call, until what a restored
  /// store lost has been written again.
  bool m_StoreKeepsWrites = false;
};

/// Applies a newer configuration; versions ascend.
struct ApplyRecords {
  ConfigurationPtr m_Configuration;
};

/// Command to the driver, which executes commands in the order given. A proof
/// is for the configuration of the last `ApplyRecords` before it.
using StoreReplicaCommand =
    std::variant<ListRecords, WatchRecords, AbandonCall, OpenControlLink,
                 CloseControlLink, SendControl, ApplyRecords, FreshnessProof,
                 Event>;

/// State machine that decides how a node reads the store. One node of each
/// availability zone watches it linearizably and announces the revision that it
/// confirms, with what changed; all others follow two nodes that read or pass
/// on these announcements, and make no calls while they are sent everything.
/// What a follower lacks it reads from the store, or from a peer if the store
/// does not answer. A node with no reliable feed watches linearizably itself.
///
/// It performs no I/O. Not thread-safe.
class StoreReplica {
public:
  /// \param Decoder decodes the records; must outlive this object.
  /// \param Options the node's identity, settings and limits.
  StoreReplica(const RecordDecoder &Decoder,
               const StoreReplicaOptions &Options);
  ~StoreReplica();
  StoreReplica(const StoreReplica &) = delete;
  StoreReplica &operator=(const StoreReplica &) = delete;

  /// Starts to read; must be called once, before any other method.
  void start(TimePoint Now);
  /// Handles the store's reply to a call.
  void onStoreReply(StoreReply Reply, TimePoint Now);
  /// Handles a link, opened by this node, that can now carry messages.
  void onLinkOpened(LinkId Link, TimePoint Now);
  /// Handles a link that broke or could not be opened. Links of other nodes are
  /// numbered from `FirstInboundLink`.
  void onLinkClosed(LinkId Link, TimePoint Now);
  /// Handles a message of another node.
  void onMessage(LinkId Link, const ControlMessage &Message, TimePoint Now);
  /// Handles the observation, made on a traffic link, that another node has a
  /// newer revision.
  /// \param Seen the other node's revision.
  /// \param Address the other node's link address.
  void onPeerRevision(Revision Seen, const std::string &Address, TimePoint Now);
  /// Asks the followers to follow other nodes, before a planned stop.
  void startDrain(TimePoint Now);
  /// Performs all actions that are due.
  void onTick(TimePoint Now);
  /// \returns when `onTick` must be called next.
  std::optional<TimePoint> nextWakeUp() const;

  /// \returns the records held.
  const Registry &registry() const;
  /// \returns how the store is watched.
  WatchMode mode() const;
  /// \returns the number of calls to the store since the start.
  std::uint64_t calls() const;
  /// \returns when the store last confirmed the state that is held, to this
  /// node or one that it follows, if ever.
  std::optional<TimePoint> confirmedAt(TimePoint Now) const;
  /// \returns the last proof that the configuration was the newest one, if
  /// there was any.
  const std::optional<FreshnessProof> &proof() const;
  /// \returns the number of nodes that follow this one.
  std::size_t followers() const;
  /// Removes and returns the commands collected since the last call.
  std::vector<StoreReplicaCommand> takeCommands();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_STORE_REPLICA_H
