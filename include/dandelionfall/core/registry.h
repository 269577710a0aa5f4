/// \file
/// Targets, routes and availability zones as a node derives them from the
/// records of a shared store.
#ifndef DANDELIONFALL_CORE_REGISTRY_H
#define DANDELIONFALL_CORE_REGISTRY_H

#include "dandelionfall/core/control_message.h"
#include "dandelionfall/core/event.h"
#include "dandelionfall/core/published.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace dandelionfall::core {

/// Limit on the retries of all nodes together. In any window, the retries of a
/// service may reach a share of its requests plus a fixed number.
struct RetryAllowance {
  /// Allowed retries per request.
  double m_Ratio = 0.1;
  /// Fixed number of retries allowed per window.
  double m_Slack = 0;
  Duration m_Window = std::chrono::seconds(10);
  friend bool operator==(const RetryAllowance &,
                         const RetryAllowance &) = default;
};

/// A node next to a target.
struct NodeAddress {
  /// Link address, `IP:PORT`.
  std::string m_Address;
  /// Availability zone.
  std::string m_Zone;
  friend bool operator==(const NodeAddress &, const NodeAddress &) = default;
  friend bool operator<(const NodeAddress &Left, const NodeAddress &Right) {
    return std::tie(Left.m_Address, Left.m_Zone) <
           std::tie(Right.m_Address, Right.m_Zone);
  }
};

/// Deployment settings of a registry.
struct RegistryOptions {
  /// Regions by availability zone.
  std::map<std::string, std::string, std::less<>> m_Zones;
  /// Port on which the local node of each target accepts links.
  std::uint16_t m_LinkPort = 0;
  /// Retries that all nodes together may add to the requests of a service.
  RetryAllowance m_Retries;
  /// Whether large records are decoded by the next `onTick` instead of at once.
  /// What arrives meanwhile is applied first, and of several values only the
  /// latest is decoded.
  bool m_DefersLargeRecords = false;
};

/// Holds the records of a store as of one revision and derives the
/// configuration from them. The revision and the version of the configuration
/// never decrease.
///
/// If the store begins another history, because it came back from an older copy
/// or counts its revisions anew, the records of the new history replace the
/// others. Kept are a higher version of the configuration, until the store has
/// it again; for `LapseGrace` the targets and the availability zones taken out
/// that the new history lacks; and for `DepartureMemory` which targets have
/// left, so that their older entries are not used again. Not thread-safe.
class Registry {
public:
  /// \param Decoder decodes the records; must outlive this object.
  /// \param Options deployment settings.
  Registry(const RecordDecoder &Decoder, RegistryOptions Options);

  /// Replaces all records with those of a later or equal revision. Records that
  /// are not listed are removed. An earlier revision is ignored.
  /// \returns whether anything but the revision changed.
  bool replaceAll(const std::vector<StoreRecord> &Records, Revision AsOf,
                  TimePoint Now);
  /// \returns whether a listing can't be of the history of the records held,
  /// although its revision is not lower.
  /// \param Listed all records of the store.
  /// \param HeldBefore revision that this registry held when the listing was
  /// requested.
  bool contradicts(const std::vector<StoreRecord> &Listed,
                   Revision HeldBefore) const;
  /// \returns the last change up to the revision held: a record or a removal.
  StoreRecord newestChange() const;
  /// \returns the key of the configuration in force; empty before the first.
  const std::string &configurationKey() const { return m_InForce.m_Key; }
  /// \returns the configuration in force if the store has lost it.
  const std::optional<StoreRecord> &retained() const { return m_Retained; }
  /// \returns the version of the retained configuration; 0 if there is none.
  Version retainedVersion() const { return m_Retained ? version() : 0; }
  /// Applies a configuration that another node has in force and the store has
  /// lost, if its version is higher.
  /// \returns whether it is in force now.
  bool applyRetained(const StoreRecord &Record);
  /// Applies the changes up to a later revision. An earlier or equal revision
  /// is ignored.
  /// \returns whether anything but the revision changed.
  bool apply(const std::vector<StoreRecord> &Changes, Revision AsOf,
             TimePoint Now);
  /// Applies records ahead of the revision that contains them. A record or
  /// removal older than the known one is ignored.
  /// \param Origin name of the way on which they came, for events; must outlive
  /// this object.
  /// \returns whether anything changed.
  bool applyAhead(const std::vector<StoreRecord> &Records, const char *Origin,
                  TimePoint Now);
  /// Applies what a followed node sent, and raises the revision to the node's
  /// if nothing is missing.
  /// \param Held revision of the sender.
  /// \returns whether anything but the revision changed.
  bool applyFeed(const RecordChanges &Changes, Revision Held, TimePoint Now);
  /// \param Large revisions by key.
  /// \returns whether all these records, or newer ones, are held.
  bool
  holdsAll(const std::map<std::string, Revision, std::less<>> &Large) const;
  /// \param Large revisions by key.
  /// \returns which values of these records are held; of a small or removed
  /// one, the revision of that.
  LargeRevisions
  basesOf(const std::map<std::string, Revision, std::less<>> &Large) const;
  /// \returns what a follower lacks: small records and removals, and patches of
  /// large records.
  /// \param Known revision that the follower holds; 0 if it holds none.
  /// \param WithPatches whether to include the patches.
  /// \param Bases values that the follower holds of some large records; of
  /// others, those up to the known revision are assumed.
  RecordChanges changesFor(Revision Known, bool WithPatches = true,
                           const LargeRevisions &Bases = {}) const;
  /// Removes and returns what was applied since the last call, each key's
  /// latest value.
  RecordChanges takeChanges();
  /// Forgets what was applied since the last call of `takeChanges`.
  void dropChanges();
  /// Sets whether the store is reachable. Targets whose entries lapsed during
  /// an outage are retained until they have had time to write their entries
  /// again.
  void onStoreReachable(bool Reachable, TimePoint Now);
  /// Decodes large records, and removes what a later history of the store, or
  /// an outage, has left without a record and was not written again within the
  /// grace period.
  /// \returns whether anything but the revision changed.
  bool onTick(TimePoint Now);
  /// \returns when `onTick` must be called next, if at all.
  std::optional<TimePoint> nextWakeUp() const;

  /// \returns the revision of the records.
  Revision revision() const { return m_Revision; }
  /// \returns whether a large record waits for the next `onTick`.
  bool hasUndecoded() const { return !m_Deferred.empty(); }
  /// \returns the version of the operators' configuration; 0 before the first.
  Version version() const;
  /// \returns all records, by key.
  const std::map<std::string, StoreRecord, std::less<>> &records() const {
    return m_Records;
  }
  /// Applies the records of a peer if they are of a later revision.
  /// \returns whether anything but the revision changed.
  bool applyPush(const RecordsPush &Push, TimePoint Now);
  /// \returns the records that a peer lacks, and what it must not lose if the
  /// store did. All records are sent if the removals since the peer's revision
  /// are no longer stored; none if it holds a later one.
  RecordsPush makePush(const RecordsPull &Pull, TimePoint Now) const;
  /// \returns the configuration derived from the records, with the revision as
  /// its version; null until operators have published a configuration.
  ConfigurationPtr configuration() const;
  /// \returns the nodes next to the targets that are not about to stop.
  std::vector<NodeAddress> nodes() const;
  /// \returns the events collected since the last call. The detail of an event
  /// about a record names the way on which it came as `origin`.
  std::vector<Event> takeEvents();

private:
  /// An availability zone that is out of service.
  struct KnownZoneOut {
    std::string m_Zone;
    Revision m_Revision = 0;
    /// Set if a later history of the store lacks the record: end of the grace
    /// period for writing it again.
    std::optional<TimePoint> m_LapsedUntil;
  };
  /// What is remembered of a target that has left.
  struct Departure {
    std::int64_t m_StartedAtMs = 0;
    std::uint64_t m_Sequence = 0;
    /// Revision as of which it had left.
    Revision m_LeftAsOf = 0;
    TimePoint m_At;
  };
  /// A target and the state derived from its records.
  struct KnownTarget {
    TargetEntry m_Entry;
    Revision m_Revision = 0;
    std::optional<TimePoint> m_ColdUntil;
    /// Set if the entry lapsed during or shortly after an outage of the store:
    /// end of the grace period for writing it again.
    std::optional<TimePoint> m_LapsedUntil;
  };
  using TargetsByKey = std::map<std::string, KnownTarget, std::less<>>;

  static bool isSmall(const StoreRecord &Record);
  void storeLarge(const StoreRecord &Record);
  /// Forgets the values, and patches, of a key that has no large record now.
  void dropLarge(const std::string &Key);
  /// Forgets the values of a large record but the newest, and the patches.
  void dropOlderValues(const std::string &Key);
  void dropPatches(const std::string &Key);
  std::map<std::string, Revision, std::less<>> largeRevisions() const;
  std::optional<RecordPatch> patchFrom(const std::deque<StoreRecord> &Values,
                                       const StoreRecord &Base) const;
  std::optional<RecordPatch> patchOf(const StoreRecord &Newest,
                                     const StoreRecord &Base) const;
  const StoreRecord *baseOf(const RecordPatch &Patch) const;
  bool applyPatch(const RecordPatch &Patch, TimePoint Now);
  bool applyEach(const std::vector<StoreRecord> &Changes, TimePoint Now);
  std::vector<StoreRecord> changesAfter(Revision Known) const;
  bool applyRecord(const StoreRecord &Record, TimePoint Now);
  bool remove(const std::string &Key, Revision At, TimePoint Now);
  bool applyDecoded(const StoreRecord &Record, TimePoint Now);
  bool decodeDeferred(TimePoint Now);
  bool applyTarget(const StoreRecord &Record, const TargetEntry &Entry,
                   TimePoint Now);
  bool applyPublished(const StoreRecord &Record,
                      std::shared_ptr<const PublishedConfiguration> Published);
  bool refuseVersion(const StoreRecord &Record, Version Offered);
  bool isOutdated(const StoreRecord &Record, const TargetEntry &Entry,
                  TimePoint Now) const;
  void noteDeparture(const std::string &Key, const KnownTarget &Left,
                     Revision AsOf, TimePoint Now);
  void beginHistory(Revision AsOf, TimePoint Now);
  std::vector<TargetDeparture> recentDepartures(TimePoint Now) const;
  bool applyDepartures(const std::vector<TargetDeparture> &Departures,
                       TimePoint Now);
  std::optional<TimePoint> lapseGraceEnd(TimePoint Now) const;
  std::vector<const KnownTarget *> usableTargets() const;
  Target makeTarget(const KnownTarget &Known) const;
  std::string gateAddressOf(const TargetEntry &Entry) const;
  Profile makeProfile(std::size_t Nodes) const;
  bool replaceRecords(const std::vector<StoreRecord> &Records, Revision AsOf,
                      TimePoint Now);
  bool applyChanges(const std::vector<StoreRecord> &Changes, Revision AsOf,
                    TimePoint Now);
  void report(EventId Id, const std::string &Detail);

  const RecordDecoder &m_Decoder;
  RegistryOptions m_Options;
  std::map<std::string, StoreRecord, std::less<>> m_Records;
  Revision m_Revision = 0;
  /// Revisions at which records were removed, by key; sent to peers.
  std::map<std::string, Revision, std::less<>> m_Removed;
  /// `m_Removed` is incomplete for removals up to this revision.
  Revision m_RemovalHistoryStart = 0;
  std::shared_ptr<const PublishedConfiguration> m_Published;
  /// Index of the published routes; built once for each version.
  RouteIndex m_RouteIndex;
  TargetsByKey m_Targets;
  /// Availability zones that are out of service, by the key of the record that
  /// takes them out.
  std::map<std::string, KnownZoneOut, std::less<>> m_ZonesOut;
  /// Record of the configuration in force.
  StoreRecord m_InForce;
  /// The same if the store has lost it.
  std::optional<StoreRecord> m_Retained;
  /// Targets that have left or are about to, by key.
  std::map<std::string, Departure, std::less<>> m_Departures;
  bool m_StoreReachable = true;
  std::optional<TimePoint> m_ReachableSince;
  /// Small changes not yet taken, by key.
  std::map<std::string, StoreRecord, std::less<>> m_SmallChanges;
  /// Latest values of large records, oldest first, by key; bases of patches.
  /// Several of a configuration, one of any other record.
  std::map<std::string, std::deque<StoreRecord>, std::less<>> m_LargeValues;
  /// Large records that are not decoded yet, by key, and the ways on which they
  /// came.
  std::map<std::string, const char *, std::less<>> m_Deferred;
  /// Since when there is a deferred record.
  TimePoint m_DeferredSince;
  /// Patches to the latest values of large records, by key and revision of the
  /// base (0 if they need none); empty for those that exceed their limit.
  mutable std::map<std::pair<std::string, Revision>, std::optional<RecordPatch>>
      m_Patches;
  /// Revisions of the large records when changes were last taken.
  std::map<std::string, Revision, std::less<>> m_TakenLarge;
  /// Way on which the records being applied came, for events.
  const char *m_Origin = "";
  std::vector<Event> m_Events;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_REGISTRY_H
