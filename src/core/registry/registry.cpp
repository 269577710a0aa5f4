#include "dandelionfall/core/registry.h"

#include "core/registry/limits.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace dandelionfall::core {

using namespace registry;

namespace {

/// Name of the profile shared by all services of the registry.
constexpr char ProfileName[] = "published";
/// Share of the allowed retries that nodes use. The rest is left for the calls
/// that a retried request makes to other services again.
constexpr double RetryBudgetShare = 0.5;
/// Share of the fixed number of retries that may be used in a burst.
constexpr double RetryBurstShare = 0.25;

std::string hostOf(const std::string &Address) {
  return Address.substr(0, Address.rfind(':'));
}

std::string describeTarget(const TargetEntry &Entry) {
  return "instance=" + Entry.m_Instance + " service=" + Entry.m_Service +
         " address=" + Entry.m_Address + " zone=" + Entry.m_Zone;
}

} // namespace

Registry::Registry(const RecordDecoder &Decoder, RegistryOptions Options)
    : m_Decoder(Decoder), m_Options(std::move(Options)) {}

Version Registry::version() const {
  return m_Published == nullptr ? 0 : m_Published->m_Version;
}

bool Registry::replaceAll(const std::vector<StoreRecord> &Records,
                          Revision AsOf, TimePoint Now) {
  m_Origin = "listing";
  return replaceRecords(Records, AsOf, Now);
}

bool Registry::replaceRecords(const std::vector<StoreRecord> &Records,
                              Revision AsOf, TimePoint Now) {
  if (AsOf < m_Revision)
    return false;
  if (m_Revision == 0)
    m_RemovalHistoryStart = AsOf;
  else if (historyOf(AsOf) > historyOf(m_Revision))
    beginHistory(AsOf, Now);
  m_Revision = AsOf;
  std::set<std::string_view> Present;
  for (const StoreRecord &Record : Records)
    Present.insert(Record.m_Key);
  std::vector<std::string> AbsentKeys;
  for (const auto &[Key, Record] : m_Records) {
    if (!Present.contains(Key))
      AbsentKeys.push_back(Key);
  }
  bool Changed = false;
  for (const std::string &Key : AbsentKeys)
    Changed |= remove(Key, AsOf, Now);
  for (const StoreRecord &Record : Records)
    Changed |= applyRecord(Record, Now);
  return Changed;
}

bool Registry::apply(const std::vector<StoreRecord> &Changes, Revision AsOf,
                     TimePoint Now) {
  m_Origin = "watch";
  return applyChanges(Changes, AsOf, Now);
}

bool Registry::applyChanges(const std::vector<StoreRecord> &Changes,
                            Revision AsOf, TimePoint Now) {
  if (AsOf <= m_Revision)
    return false;
  m_Revision = AsOf;
  return applyEach(Changes, Now);
}

std::vector<StoreRecord> Registry::changesAfter(Revision Known) const {
  std::vector<StoreRecord> Result;
  for (const auto &[Key, Record] : m_Records) {
    if (Record.m_Revision > Known)
      Result.push_back(Record);
  }
  for (const auto &[Key, At] : m_Removed) {
    if (At > Known)
      Result.push_back({Key, At, nullptr});
  }
  return Result;
}

bool Registry::applyAhead(const std::vector<StoreRecord> &Records,
                          const char *Origin, TimePoint Now) {
  m_Origin = Origin;
  return applyEach(Records, Now);
}

bool Registry::applyEach(const std::vector<StoreRecord> &Changes,
                         TimePoint Now) {
  bool Changed = false;
  for (const StoreRecord &Record : Changes)
    Changed |= Record.m_Value == nullptr
                   ? remove(Record.m_Key, Record.m_Revision, Now)
                   : applyRecord(Record, Now);
  return Changed;
}

bool Registry::applyRecord(const StoreRecord &Record, TimePoint Now) {
  if (historyOf(Record.m_Revision) < historyOf(m_Revision))
    return false;
  const auto Known = m_Records.find(Record.m_Key);
  if (Known != m_Records.end() && Known->second.m_Revision >= Record.m_Revision)
    return false;
  // A removal received from a feed can precede an older value from the store.
  const auto Removed = m_Removed.find(Record.m_Key);
  if (Removed != m_Removed.end() && Removed->second >= Record.m_Revision)
    return false;
  m_Records.insert_or_assign(Record.m_Key, Record);
  if (isSmall(Record)) {
    m_SmallChanges.insert_or_assign(Record.m_Key, Record);
    dropLarge(Record.m_Key);
  } else {
    storeLarge(Record);
  }
  m_Removed.erase(Record.m_Key);
  if (!m_Options.m_DefersLargeRecords || isSmall(Record))
    return applyDecoded(Record, Now);
  if (m_Deferred.empty())
    m_DeferredSince = Now;
  m_Deferred.insert_or_assign(Record.m_Key, m_Origin);
  return false;
}

bool Registry::decodeDeferred(TimePoint Now) {
  bool Changed = false;
  for (const auto &[Key, Origin] : std::exchange(m_Deferred, {})) {
    m_Origin = Origin;
    Changed |= applyDecoded(m_Records.find(Key)->second, Now);
  }
  return Changed;
}

bool Registry::applyDecoded(const StoreRecord &Record, TimePoint Now) {
  DecodedRecord Decoded = m_Decoder.decode(Record);
  using PublishedPtr = std::shared_ptr<const PublishedConfiguration>;
  // Anyone can write the other records, each of a size like that of a
  // configuration.
  if (!std::holds_alternative<PublishedPtr>(Decoded) &&
      Record.m_Key != m_InForce.m_Key)
    dropOlderValues(Record.m_Key);
  if (const auto *Entry = std::get_if<TargetEntry>(&Decoded))
    return applyTarget(Record, *Entry, Now);
  if (auto *Published = std::get_if<PublishedPtr>(&Decoded))
    return applyPublished(Record, std::move(*Published));
  if (const auto *ZoneOut = std::get_if<ZoneOutRecord>(&Decoded)) {
    const bool IsNew = !m_ZonesOut.contains(Record.m_Key);
    m_ZonesOut.insert_or_assign(
        Record.m_Key,
        KnownZoneOut{ZoneOut->m_Zone, Record.m_Revision, std::nullopt});
    if (IsNew)
      report(EventId::ZoneTakenOut, "zone=" + ZoneOut->m_Zone + " revision=" +
                                        formatRevision(Record.m_Revision));
    return true;
  }
  if (const auto *Unreadable = std::get_if<UnreadableRecord>(&Decoded))
    report(EventId::RecordRefused, "key=" + Record.m_Key + " revision=" +
                                       formatRevision(Record.m_Revision) +
                                       " fault=" + Unreadable->m_Fault);
  // A target whose entry was overwritten by an unreadable record stays
  // unchanged until its next valid entry or its removal.
  return false;
}

bool Registry::applyTarget(const StoreRecord &Record, const TargetEntry &Entry,
                           TimePoint Now) {
  if (isOutdated(Record, Entry, Now))
    return false;
  KnownTarget Updated{Entry, Record.m_Revision, std::nullopt, std::nullopt};
  if (Entry.m_ColdRemaining > Duration{0})
    Updated.m_ColdUntil = Now + Entry.m_ColdRemaining;
  const auto Known = m_Targets.find(Record.m_Key);
  const bool IsNew = Known == m_Targets.end() ||
                     Known->second.m_Entry.m_StartedAtMs != Entry.m_StartedAtMs;
  const bool StartsDraining =
      Entry.m_Draining && (IsNew || !Known->second.m_Entry.m_Draining);
  if (IsNew)
    report(EventId::TargetListed,
           describeTarget(Entry) +
               " revision=" + formatRevision(Record.m_Revision) +
               " cold_us=" + std::to_string(Entry.m_ColdRemaining.count()));
  if (StartsDraining)
    report(EventId::TargetDraining, describeTarget(Entry) + " revision=" +
                                        formatRevision(Record.m_Revision));
  if (Entry.m_Draining)
    noteDeparture(Record.m_Key, Updated, Record.m_Revision, Now);
  else
    m_Departures.erase(Record.m_Key);
  m_Targets.insert_or_assign(Record.m_Key, std::move(Updated));
  return true;
}

bool Registry::applyPublished(
    const StoreRecord &Record,
    std::shared_ptr<const PublishedConfiguration> Published) {
  if (Published->m_Version <= version())
    return refuseVersion(Record, Published->m_Version);
  m_InForce = Record;
  m_Retained.reset();
  m_Published = std::move(Published);
  Configuration Routes;
  Routes.m_SplitRoutes = m_Published->m_Routes;
  m_RouteIndex = makeRouteIndex(Routes);
  report(EventId::ConfigurationApplied,
         "version=" + std::to_string(m_Published->m_Version) +
             " revision=" + formatRevision(m_Revision) +
             " routes=" + std::to_string(m_Published->m_Routes->size()));
  return true;
}

bool Registry::remove(const std::string &Key, Revision At, TimePoint Now) {
  if (historyOf(At) < historyOf(m_Revision))
    return false;
  const auto Stored = m_Records.find(Key);
  // A peer may send a removal that a later entry has already superseded.
  if (Stored != m_Records.end() && Stored->second.m_Revision > At)
    return false;
  if (Stored != m_Records.end())
    m_Records.erase(Stored);
  dropLarge(Key);
  if (Key == m_InForce.m_Key && !m_Retained) {
    m_Retained = m_InForce;
    report(EventId::RecordRetained,
           "key=" + Key + " version=" + std::to_string(version()) +
               " revision=" + formatRevision(At) +
               " until=the store has this version or a higher one");
  }
  if (m_Removed.size() >= MaxRemovalHistory) {
    m_Removed.clear();
    m_RemovalHistoryStart = At;
  }
  Revision &RemovedAt = m_Removed[Key];
  if (At <= RemovedAt)
    return false;
  RemovedAt = At;
  m_SmallChanges.insert_or_assign(Key, StoreRecord{Key, At, nullptr});
  const auto Zone = m_ZonesOut.find(Key);
  if (Zone != m_ZonesOut.end()) {
    if (historyOf(At) > historyOf(Zone->second.m_Revision)) {
      Zone->second.m_LapsedUntil = Now + LapseGrace;
      report(EventId::RecordRetained,
             "key=" + Key + " revision=" + formatRevision(At) +
                 " kept_us=" + std::to_string(LapseGrace.count()));
      return false;
    }
    report(EventId::ZoneTakenBack,
           "zone=" + Zone->second.m_Zone + " revision=" + formatRevision(At));
    m_ZonesOut.erase(Zone);
    return true;
  }
  const auto Known = m_Targets.find(Key);
  if (Known == m_Targets.end())
    return false;
  KnownTarget &Removed = Known->second;
  const bool IsLost = historyOf(At) > historyOf(Removed.m_Revision);
  const std::optional<TimePoint> GraceEnd =
      IsLost ? Now + LapseGrace : lapseGraceEnd(Now);
  if (GraceEnd && !Removed.m_Entry.m_Draining) {
    Removed.m_LapsedUntil = GraceEnd;
    report(EventId::TargetLapsed,
           describeTarget(Removed.m_Entry) +
               " revision=" + formatRevision(m_Revision) +
               " kept_us=" + std::to_string((*GraceEnd - Now).count()));
    return false;
  }
  report(EventId::TargetRemoved, describeTarget(Removed.m_Entry) +
                                     " revision=" + formatRevision(m_Revision));
  noteDeparture(Key, Removed, At, Now);
  m_Targets.erase(Known);
  return true;
}

std::optional<TimePoint> Registry::lapseGraceEnd(TimePoint Now) const {
  if (!m_StoreReachable)
    return Now + LapseGrace;
  if (m_ReachableSince && Now < *m_ReachableSince + LapseGrace)
    return *m_ReachableSince + LapseGrace;
  return std::nullopt;
}

void Registry::onStoreReachable(bool Reachable, TimePoint Now) {
  m_StoreReachable = Reachable;
  if (!Reachable)
    return;
  m_ReachableSince = Now;
  const auto Extend = [Now](auto &Known) {
    if (Known.m_LapsedUntil)
      Known.m_LapsedUntil = Now + LapseGrace;
  };
  for (auto &[Key, Known] : m_Targets)
    Extend(Known);
  for (auto &[Key, Known] : m_ZonesOut)
    Extend(Known);
}

bool Registry::onTick(TimePoint Now) {
  const bool Decoded = decodeDeferred(Now);
  m_Origin = "timer";
  // Nobody can write to a store that is away.
  const auto IsOver = [&](const auto &Known) {
    return m_StoreReachable && Known.m_LapsedUntil &&
           Now >= *Known.m_LapsedUntil;
  };
  const auto Removed = std::erase_if(m_Targets, [&](const auto &Each) {
    if (!IsOver(Each.second))
      return false;
    report(EventId::TargetRemoved,
           describeTarget(Each.second.m_Entry) +
               " cause=its entry lapsed and was not written again");
    noteDeparture(Each.first, Each.second, m_Revision, Now);
    return true;
  });
  const auto TakenBack = std::erase_if(m_ZonesOut, [&](const auto &Each) {
    if (!IsOver(Each.second))
      return false;
    report(EventId::ZoneTakenBack,
           "zone=" + Each.second.m_Zone +
               " cause=its record was lost and not written again");
    return true;
  });
  return Decoded || Removed > 0 || TakenBack > 0;
}

std::optional<TimePoint> Registry::nextWakeUp() const {
  if (!m_Deferred.empty())
    return m_DeferredSince;
  std::optional<TimePoint> Next;
  if (!m_StoreReachable)
    return Next;
  const auto Include = [&Next](const auto &Known) {
    if (Known.m_LapsedUntil && (!Next || *Known.m_LapsedUntil < *Next))
      Next = Known.m_LapsedUntil;
  };
  for (const auto &[Key, Known] : m_Targets)
    Include(Known);
  for (const auto &[Key, Known] : m_ZonesOut)
    Include(Known);
  return Next;
}

// Of several targets with the same address only the one that started last can
// still be running. An entry whose service is not named can be of another
// writer.
std::vector<const Registry::KnownTarget *> Registry::usableTargets() const {
  std::set<std::string_view> Named;
  if (m_Published != nullptr) {
    for (const PublishedService &Each : m_Published->m_Services)
      Named.insert(Each.m_Name);
  }
  const auto Order = [&Named](const KnownTarget &Known) {
    return std::tuple(Named.contains(Known.m_Entry.m_Service),
                      Known.m_Entry.m_StartedAtMs, Known.m_Revision);
  };
  std::map<std::string_view, const KnownTarget *> ByAddress;
  for (const auto &[Key, Known] : m_Targets) {
    const KnownTarget *&Newest = ByAddress[Known.m_Entry.m_Address];
    if (Newest == nullptr || Order(*Newest) < Order(Known))
      Newest = &Known;
  }
  std::vector<const KnownTarget *> Result;
  Result.reserve(ByAddress.size());
  for (const auto &[Address, Known] : ByAddress)
    Result.push_back(Known);
  return Result;
}

// The profile leaves time limits to the routes and cold starts to the entries
// of the targets. Each node uses only its own share of the allowed retries, so
// that the total stays within the limit without coordination.
Profile Registry::makeProfile(std::size_t Nodes) const {
  const RetryAllowance &Allowed = m_Options.m_Retries;
  const double RetryBurst =
      RetryBurstShare * Allowed.m_Slack /
      static_cast<double>(std::max<std::size_t>(Nodes, 1));
  const std::chrono::duration<double> Window = Allowed.m_Window;
  constexpr double Percent = 100;
  Profile Result;
  Result.m_Name = ProfileName;
  Result.m_Deadline = std::chrono::seconds(60);
  Result.m_AttemptTimeout = std::chrono::seconds(60);
  Result.m_AnswerGrace = AnswerGrace;
  Result.m_QueueLimit = 1000;
  Result.m_RetryPercent =
      static_cast<std::uint32_t>(Percent * RetryBudgetShare * Allowed.m_Ratio);
  Result.m_RetryFloor = RetryBurst;
  Result.m_RetryFloorPerSecond = RetryBurst / std::max(Window.count(), 1.0);
  Result.m_RetryCeiling = std::max(2 * RetryBurst, 1.0);
  Result.m_ColdStartLimit = 100'000;
  Result.m_ColdStartRequests = 0;
  return Result;
}

std::string Registry::gateAddressOf(const TargetEntry &Entry) const {
  return hostOf(Entry.m_Address) + ":" + std::to_string(m_Options.m_LinkPort);
}

std::vector<NodeAddress> Registry::nodes() const {
  std::vector<NodeAddress> Result;
  for (const KnownTarget *Known : usableTargets()) {
    if (!Known->m_Entry.m_Draining)
      Result.push_back({gateAddressOf(Known->m_Entry), Known->m_Entry.m_Zone});
  }
  return Result;
}

Target Registry::makeTarget(const KnownTarget &Known) const {
  Target Result;
  Result.m_Name = Known.m_Entry.m_Instance;
  Result.m_Address = Known.m_Entry.m_Address;
  Result.m_Host = hostOf(Known.m_Entry.m_Address);
  Result.m_Zone = Known.m_Entry.m_Zone;
  Result.m_GateAddress = gateAddressOf(Known.m_Entry);
  Result.m_Slots = std::max(Known.m_Entry.m_Slots, 1U);
  Result.m_ColdUntil = Known.m_ColdUntil;
  Result.m_Draining = Known.m_Entry.m_Draining;
  Result.m_StartedAtMs = Known.m_Entry.m_StartedAtMs;
  return Result;
}

ConfigurationPtr Registry::configuration() const {
  if (m_Published == nullptr)
    return nullptr;
  auto Result = std::make_shared<Configuration>();
  Result->m_Stamp.m_Version = m_Revision;
  for (const auto &[Name, Region] : m_Options.m_Zones)
    Result->m_Zones.emplace(Name, Zone{Name, Region, ZoneState::In});
  const std::vector<const KnownTarget *> Usable = usableTargets();
  Result->m_Profiles.emplace(ProfileName, makeProfile(Usable.size()));
  std::map<std::string_view, std::shared_ptr<Service>> Services;
  std::map<std::string_view, std::uint32_t> Connections;
  for (const PublishedService &Each : m_Published->m_Services) {
    auto New = std::make_shared<Service>();
    New->m_Name = Each.m_Name;
    New->m_Profile = ProfileName;
    New->m_ColdStart = Each.m_ColdStart;
    New->m_ColdRequestsPerSecond = Each.m_ColdRequestsPerSecond;
    Services.emplace(Each.m_Name, std::move(New));
    Connections.emplace(Each.m_Name, Each.m_MaxConnections);
  }
  for (const KnownTarget *Known : Usable) {
    const auto Found = Services.find(Known->m_Entry.m_Service);
    if (Found == Services.end())
      continue;
    Target New = makeTarget(*Known);
    New.m_Connections = std::max(Connections.at(Found->first), 1U);
    Result->m_Zones.try_emplace(New.m_Zone,
                                Zone{New.m_Zone, "", ZoneState::In});
    Found->second->m_Targets.push_back(std::move(New));
  }
  for (const auto &[Key, Known] : m_ZonesOut)
    Result->m_Zones.insert_or_assign(
        Known.m_Zone, Zone{Known.m_Zone, Result->m_Zones[Known.m_Zone].m_Region,
                           ZoneState::Out});
  for (auto &[Name, New] : Services)
    Result->m_Services.emplace(std::string(Name), std::move(New));
  Result->m_SplitRoutes = m_Published->m_Routes;
  Result->m_CallerLimits = m_Published->m_Limits;
  Result->m_Teams = m_Published->m_Teams;
  Result->m_Routes = m_RouteIndex;
  return Result;
}

std::vector<Event> Registry::takeEvents() {
  return std::exchange(m_Events, {});
}

void Registry::report(EventId Id, const std::string &Detail) {
  m_Events.push_back({Id, Detail + " origin=" + m_Origin});
}

} // namespace dandelionfall::core
