/// \file
/// What a node believes of targets, routes and availability zones, from the
/// records of a shared store.
#ifndef DANDELIONFALL_CORE_REGISTRY_H
#define DANDELIONFALL_CORE_REGISTRY_H

#include "dandelionfall/core/control_message.h"
#include "dandelionfall/core/event.h"
#include "dandelionfall/core/published.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandelionfall::core {

/// Bound on the retries of all nodes together: in any window, for each service,
/// a share of its requests and a fixed number.
struct RetryAllowance {
  double m_Ratio = 0.1;
  double m_Slack = 0;
  Duration m_Window = std::chrono::seconds(10);
  friend bool operator==(const RetryAllowance &,
                         const RetryAllowance &) = default;
};

/// What a registry is told about the deployment.
struct RegistryOptions {
  /// Regions by availability zone.
  std::map<std::string, std::string, std::less<>> m_Zones;
  /// Port at which the node beside each target takes links.
  std::uint16_t m_LinkPort = 0;
  /// What all nodes together may add to a service's requests by retries.
  RetryAllowance m_Retries;
};

/// Records of a store as of one revision, and what follows from them. Revisions
/// and versions of the configuration only rise. Not safe for use by several
/// threads at once.
class Registry {
public:
  /// \param Decoder decodes the records; must outlive this object.
  /// \param Options the deployment.
  Registry(const RecordDecoder &Decoder, RegistryOptions Options);

  /// Takes all records of a later revision; what is not among them is gone.
  /// \returns whether anything but the revision changed.
  bool replaceAll(const std::vector<StoreRecord> &Records, Revision AsOf,
                  TimePoint Now);
  /// Takes the changes up to a later revision.
  /// \returns whether anything but the revision changed.
  bool apply(const std::vector<StoreRecord> &Changes, Revision AsOf,
             TimePoint Now);
  /// Notes whether the store can be reached. Targets whose entries lapsed while
  /// it could not are kept until they had time to write again.
  void onStoreReachable(bool Reachable, TimePoint Now);
  /// Drops targets whose time to write again is over.
  /// \returns whether there were any.
  bool onTick(TimePoint Now);
  /// \returns when `onTick` is next needed, if at all.
  std::optional<TimePoint> nextWakeUp() const;

  /// \returns the revision of the records.
  Revision revision() const { return m_Revision; }
  /// \returns the version of the operators' configuration; 0 before the first.
  Version version() const;
  /// \returns all records, by key.
  const std::map<std::string, StoreRecord, std::less<>> &records() const {
    return m_Records;
  }
  /// Takes a peer's records, if they are of a later revision.
  /// \returns whether anything but the revision changed.
  bool applyPush(const RecordsPush &Push, TimePoint Now);
  /// Answers a peer that knows the records as of a revision.
  RecordsPush makePush(Revision PeerRevision) const;
  /// \returns the configuration that follows from the records, with the
  /// revision as its version; null before the operators' first.
  ConfigurationPtr configuration() const;
  /// Takes the events collected since the last call.
  std::vector<Event> takeEvents();

private:
  /// A target as it is believed to be.
  struct KnownTarget {
    TargetEntry m_Entry;
    Revision m_Revision = 0;
    std::optional<TimePoint> m_ColdUntil;
    /// The entry lapsed while the store was away; until when it may return.
    std::optional<TimePoint> m_LapsedUntil;
  };
  using TargetsByKey = std::map<std::string, KnownTarget, std::less<>>;

  bool applyRecord(const StoreRecord &Record, TimePoint Now);
  bool remove(const std::string &Key, Revision At, TimePoint Now);
  bool applyTarget(const StoreRecord &Record, const TargetEntry &Entry,
                   TimePoint Now);
  bool applyPublished(std::shared_ptr<const PublishedConfiguration> Published);
  std::optional<TimePoint> lapseGraceEnd(TimePoint Now) const;
  std::vector<const KnownTarget *> usableTargets() const;
  Target makeTarget(const KnownTarget &Known) const;
  Profile makeProfile(std::size_t Nodes) const;
  void report(EventId Id, std::string Detail);

  const RecordDecoder &m_Decoder;
  RegistryOptions m_Options;
  std::map<std::string, StoreRecord, std::less<>> m_Records;
  Revision m_Revision = 0;
  /// Revisions by which removed records are known to be gone, by key; peers are
  /// told of them.
  std::map<std::string, Revision, std::less<>> m_Removed;
  /// Removals up to this revision are no longer remembered.
  Revision m_RemovalHistoryStart = 0;
  std::shared_ptr<const PublishedConfiguration> m_Published;
  /// Index of the published routes, made once a version.
  RouteIndex m_RouteIndex;
  TargetsByKey m_Targets;
  /// Availability zones taken out, by the key of the record that says so.
  std::map<std::string, std::string, std::less<>> m_ZonesOut;
  bool m_StoreReachable = true;
  std::optional<TimePoint> m_ReachableSince;
  std::vector<Event> m_Events;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_REGISTRY_H
