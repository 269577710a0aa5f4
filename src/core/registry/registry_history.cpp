#include "core/registry/limits.h"
#include "dandelionfall/core/registry.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

using namespace registry;

bool Registry::contradicts(const std::vector<StoreRecord> &Listed,
                           Revision HeldBefore) const {
  if (HeldBefore == 0)
    return false;
  return std::any_of(
      Listed.begin(), Listed.end(), [&](const StoreRecord &Each) {
        if (Each.m_Revision > HeldBefore ||
            historyOf(Each.m_Revision) != historyOf(HeldBefore))
          return false;
        const auto Known = m_Records.find(Each.m_Key);
        if (Known != m_Records.end())
          return Known->second.m_Revision <= HeldBefore &&
                 !(Known->second == Each);
        const auto Removed = m_Removed.find(Each.m_Key);
        return Removed == m_Removed.end() || Removed->second <= HeldBefore;
      });
}

StoreRecord Registry::newestChange() const {
  StoreRecord Newest;
  for (const auto &[Key, Record] : m_Records) {
    if (Record.m_Revision <= m_Revision &&
        Newest.m_Revision < Record.m_Revision)
      Newest = Record;
  }
  for (const auto &[Key, At] : m_Removed) {
    if (At <= m_Revision && Newest.m_Revision < At)
      Newest = {Key, At, nullptr};
  }
  return Newest;
}

// Revisions of the earlier history can't tell followers what they lack.
void Registry::beginHistory(Revision AsOf, TimePoint Now) {
  m_RemovalHistoryStart = AsOf;
  std::erase_if(m_Removed, [AsOf](const auto &Each) {
    return historyOf(Each.second) < historyOf(AsOf);
  });
  std::erase_if(m_Departures, [Now](const auto &Each) {
    return Now >= Each.second.m_At + DepartureMemory;
  });
}

// A record that is back in a later history is as old as the copy that the store
// was restored from.
bool Registry::isOutdated(const StoreRecord &Record, const TargetEntry &Entry,
                          TimePoint Now) const {
  const auto Found = m_Departures.find(Record.m_Key);
  if (Found == m_Departures.end())
    return false;
  const Departure &Left = Found->second;
  return Now < Left.m_At + DepartureMemory &&
         historyOf(Record.m_Revision) > historyOf(Left.m_LeftAsOf) &&
         Left.m_StartedAtMs == Entry.m_StartedAtMs && Entry.m_Sequence > 0 &&
         Entry.m_Sequence <= Left.m_Sequence;
}

void Registry::noteDeparture(const std::string &Key, const KnownTarget &Left,
                             Revision AsOf, TimePoint Now) {
  if (m_Departures.size() >= MaxRemovalHistory)
    std::erase_if(m_Departures, [Now](const auto &Each) {
      return Now >= Each.second.m_At + DepartureMemory;
    });
  if (m_Departures.size() >= MaxRemovalHistory)
    m_Departures.erase(
        std::min_element(m_Departures.begin(), m_Departures.end(),
                         [](const auto &First, const auto &Second) {
                           return First.second.m_At < Second.second.m_At;
                         }));
  m_Departures.insert_or_assign(Key,
                                Departure{Left.m_Entry.m_StartedAtMs,
                                          Left.m_Entry.m_Sequence, AsOf, Now});
}

bool Registry::refuseVersion(const StoreRecord &Record, Version Offered) {
  const bool IsLater =
      historyOf(Record.m_Revision) > historyOf(m_InForce.m_Revision);
  if (Offered == version() && (IsLater || m_Retained)) {
    m_InForce = Record;
    m_Retained.reset();
    return false;
  }
  if (IsLater) {
    m_Retained = m_InForce;
    report(EventId::RecordRetained,
           "key=" + Record.m_Key + " version=" + std::to_string(version()) +
               " offered=" + std::to_string(Offered) +
               " revision=" + formatRevision(Record.m_Revision) +
               " until=the store has this version or a higher one");
    return false;
  }
  report(EventId::ConfigurationRefused,
         "version=" + std::to_string(Offered) + " in_force=" +
             std::to_string(version()) + " fault=the version is not newer");
  return false;
}

bool Registry::applyRetained(const StoreRecord &Record) {
  if (Record.m_Value == nullptr)
    return false;
  DecodedRecord Decoded = m_Decoder.decode(Record);
  auto *Published =
      std::get_if<std::shared_ptr<const PublishedConfiguration>>(&Decoded);
  if (Published == nullptr || (*Published)->m_Version <= version())
    return false;
  m_Origin = "peer";
  applyPublished(Record, std::move(*Published));
  m_Retained = Record;
  return true;
}

std::vector<TargetDeparture> Registry::recentDepartures(TimePoint Now) const {
  std::vector<TargetDeparture> Result;
  for (const auto &[Key, Left] : m_Departures) {
    if (Now < Left.m_At + DepartureMemory)
      Result.push_back(
          {Key, Left.m_StartedAtMs, Left.m_Sequence, Left.m_LeftAsOf});
  }
  return Result;
}

bool Registry::applyDepartures(const std::vector<TargetDeparture> &Departures,
                               TimePoint Now) {
  for (const TargetDeparture &Each : Departures) {
    const auto Known = m_Departures.find(Each.m_Key);
    if (Known == m_Departures.end()
            ? m_Departures.size() >= MaxRemovalHistory
            : Known->second.m_LeftAsOf >= Each.m_LeftAsOf)
      continue;
    m_Departures.insert_or_assign(
        Each.m_Key,
        Departure{Each.m_StartedAtMs, Each.m_Sequence, Each.m_LeftAsOf, Now});
  }
  if (Departures.empty())
    return false;
  const auto Removed = std::erase_if(m_Targets, [&](const auto &Each) {
    const KnownTarget &Known = Each.second;
    if (!isOutdated({Each.first, Known.m_Revision, nullptr}, Known.m_Entry,
                    Now))
      return false;
    report(EventId::TargetRemoved,
           "instance=" + Known.m_Entry.m_Instance +
               " cause=another node knows that it left before its entry");
    return true;
  });
  return Removed > 0;
}

bool Registry::applyPush(const RecordsPush &Push, TimePoint Now) {
  m_Origin = "peer";
  bool Changed = Push.m_Retained && applyRetained(*Push.m_Retained);
  Changed |= applyDepartures(Push.m_Departures, Now);
  // Changes of another history don't follow on the records held.
  if (Push.m_AsOf <= m_Revision ||
      (!Push.m_IsFull && historyOf(Push.m_AsOf) != historyOf(m_Revision)))
    return Changed;
  report(EventId::RecordsFromPeer,
         "revision=" + formatRevision(Push.m_AsOf) +
             " known=" + formatRevision(m_Revision) +
             " records=" + std::to_string(Push.m_Records.size()));
  Changed |= Push.m_IsFull ? replaceRecords(Push.m_Records, Push.m_AsOf, Now)
                           : applyChanges(Push.m_Records, Push.m_AsOf, Now);
  return Changed;
}

RecordsPush Registry::makePush(const RecordsPull &Pull, TimePoint Now) const {
  RecordsPush Result;
  Result.m_Departures = recentDepartures(Now);
  if (m_Retained || version() > Pull.m_InForce)
    Result.m_Retained = m_InForce;
  if (Pull.m_Have > m_Revision)
    return Result;
  Result.m_AsOf = m_Revision;
  Result.m_IsFull = Pull.m_Have < m_RemovalHistoryStart || Pull.m_Have == 0;
  if (!Result.m_IsFull) {
    Result.m_Records = changesAfter(Pull.m_Have);
    return Result;
  }
  for (const auto &[Key, Record] : m_Records)
    Result.m_Records.push_back(Record);
  return Result;
}

} // namespace dandelionfall::core
