#include "store_emulation.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <sstream>
#include <utility>

namespace dandelionfall::test {

using namespace core;

DecodedRecord FleetDecoder::decode(const StoreRecord &Record) const {
  std::istringstream Stream(*Record.m_Value);
  if (Record.m_Key == "configuration") {
    ++m_Configurations;
    auto Result = std::make_shared<PublishedConfiguration>();
    Stream >> Result->m_Version;
    Result->m_Routes = std::make_shared<const std::vector<Route>>();
    Result->m_Services.push_back({"desk", 100, Duration{0}, 0});
    return std::shared_ptr<const PublishedConfiguration>(Result);
  }
  if (Record.m_Key.starts_with("zone/"))
    return ZoneOutRecord{*Record.m_Value};
  TargetEntry Entry;
  std::string State;
  Stream >> Entry.m_Service >> Entry.m_Address >> Entry.m_Zone >> State >>
      Entry.m_StartedAtMs >> Entry.m_Sequence;
  Entry.m_Instance = Record.m_Key;
  Entry.m_Draining = State == "draining";
  return Entry;
}

Revision FleetStore::put(const std::string &Key, const std::string &Value,
                         TimePoint Now) {
  const Revision New = newest() + 1;
  m_Log.push_back(
      {{Key, New, std::make_shared<const std::string>(Value)}, Now});
  return New;
}

Revision FleetStore::remove(const std::string &Key, TimePoint Now) {
  const Revision New = newest() + 1;
  m_Log.push_back({{Key, New, nullptr}, Now});
  return New;
}

void FleetStore::restore(const RestoredCopy &Copy, TimePoint TakenAt,
                         TimePoint Now) {
  const TimePoint Until = TakenAt - Copy.m_Age;
  std::erase_if(m_Log,
                [Until](const Change &Each) { return Each.m_At > Until; });
  for (std::size_t Lost = 0; Lost < Copy.m_LostRevisions && m_Log.size() > 1;
       ++Lost)
    m_Log.pop_back();
  if (Copy.m_CountsAnew) {
    std::vector<Change> Anew;
    for (const auto &[Key, Record] : newestRecords())
      Anew.push_back({{Key, Anew.size() + 1, Record.m_Value}, Until});
    m_Log = std::move(Anew);
  }
  m_CompactedUpTo =
      Copy.m_KeepsHistory && !Copy.m_CountsAnew ? m_CompactedUpTo : newest();
  m_Beyond = Copy.m_Beyond;
  m_LoadedAt = Now + Copy.m_EmptyFor;
  if (m_Era)
    ++*m_Era;
}

std::map<std::string, StoreRecord> FleetStore::newestRecords() const {
  std::map<std::string, StoreRecord> Result;
  for (const Change &Each : m_Log)
    Result.insert_or_assign(Each.m_Record.m_Key, Each.m_Record);
  std::erase_if(
      Result, [](const auto &Each) { return Each.second.m_Value == nullptr; });
  return Result;
}

std::shared_ptr<const std::string>
FleetStore::value(const std::string &Key) const {
  const auto Records = newestRecords();
  const auto Found = Records.find(Key);
  return Found == Records.end() ? nullptr : Found->second.m_Value;
}

Revision FleetStore::visible(ReadConsistency Consistency, TimePoint Now) const {
  if (Consistency == ReadConsistency::Linearizable)
    return newest();
  const auto First =
      std::find_if(m_Log.begin(), m_Log.end(), [&](const Change &Each) {
        return Each.m_At + m_Staleness > Now;
      });
  return First == m_Log.begin() ? 0 : std::prev(First)->m_Record.m_Revision;
}

StoreReply FleetStore::list(const ListRecords &Call, TimePoint Now) const {
  StoreReply Result;
  Result.m_Call = Call.m_Call;
  Result.m_Outcome = StoreOutcome::Answered;
  Result.m_AsOf = newest();
  Result.m_Era = m_Era;
  if (Now < m_LoadedAt)
    return Result;
  for (const auto &[Key, Record] : newestRecords()) {
    if (!Key.starts_with(Call.m_Prefix) || Key <= Call.m_After)
      continue;
    Result.m_HasMore =
        m_PageRecords > 0 && Result.m_Records.size() == m_PageRecords;
    if (Result.m_HasMore)
      break;
    Result.m_Records.push_back(Record);
  }
  return Result;
}

StoreReply FleetStore::changes(const WatchRecords &Call, TimePoint Now) const {
  StoreReply Result;
  Result.m_Call = Call.m_Call;
  Result.m_Outcome = StoreOutcome::Answered;
  Result.m_AsOf = visible(Call.m_Consistency, Now);
  Result.m_Era = m_Era;
  const bool IsBeyond =
      Call.m_After > newest() && m_Beyond == WatchBeyond::Compacted;
  if (Call.m_After < m_CompactedUpTo || IsBeyond) {
    Result.m_Outcome = StoreOutcome::HistoryCompacted;
    return Result;
  }
  for (const Change &Each : m_Log) {
    if (Each.m_Record.m_Revision > Call.m_After &&
        Each.m_Record.m_Revision <= Result.m_AsOf &&
        Each.m_Record.m_Key.starts_with(Call.m_Prefix))
      Result.m_Records.push_back(Each.m_Record);
  }
  return Result;
}

bool FleetStore::isDue(const WatchRecords &Call, TimePoint Now) const {
  const StoreReply Reply = changes(Call, Now);
  return Reply.m_Outcome != StoreOutcome::Answered ||
         !Reply.m_Records.empty() ||
         (Call.m_After > newest() && m_Beyond == WatchBeyond::Nothing);
}

} // namespace dandelionfall::test
