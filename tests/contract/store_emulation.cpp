#include "store_emulation.h"

#include <algorithm>
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
  TargetEntry Entry;
  std::string State;
  Stream >> Entry.m_Service >> Entry.m_Address >> Entry.m_Zone >> State;
  Entry.m_Instance = Record.m_Key;
  Entry.m_Draining = State == "draining";
  return Entry;
}

Revision FleetStore::put(const std::string &Key, const std::string &Value,
                         TimePoint Now) {
  const Revision New = m_Log.size() + 1;
  m_Log.push_back(
      {{Key, New, std::make_shared<const std::string>(Value)}, Now});
  return New;
}

Revision FleetStore::remove(const std::string &Key, TimePoint Now) {
  const Revision New = m_Log.size() + 1;
  m_Log.push_back({{Key, New, nullptr}, Now});
  return New;
}

Revision FleetStore::visible(ReadConsistency Consistency, TimePoint Now) const {
  if (Consistency == ReadConsistency::Linearizable)
    return m_Log.size();
  const auto First =
      std::find_if(m_Log.begin(), m_Log.end(), [&](const Change &Each) {
        return Each.m_At + m_Staleness > Now;
      });
  return static_cast<Revision>(First - m_Log.begin());
}

StoreReply FleetStore::list(const ListRecords &Call, TimePoint /*Now*/) const {
  std::map<std::string, StoreRecord> Newest;
  for (const Change &Each : m_Log)
    Newest.insert_or_assign(Each.m_Record.m_Key, Each.m_Record);
  StoreReply Result;
  Result.m_Call = Call.m_Call;
  Result.m_Outcome = StoreOutcome::Answered;
  Result.m_AsOf = m_Log.size();
  for (const auto &[Key, Record] : Newest) {
    if (Record.m_Value != nullptr)
      Result.m_Records.push_back(Record);
  }
  return Result;
}

StoreReply FleetStore::changes(const WatchRecords &Call, TimePoint Now) const {
  StoreReply Result;
  Result.m_Call = Call.m_Call;
  Result.m_Outcome = StoreOutcome::Answered;
  Result.m_AsOf = visible(Call.m_Consistency, Now);
  for (const Change &Each : m_Log) {
    if (Each.m_Record.m_Revision > Call.m_After &&
        Each.m_Record.m_Revision <= Result.m_AsOf &&
        Each.m_Record.m_Key.starts_with(Call.m_Prefix))
      Result.m_Records.push_back(Each.m_Record);
  }
  return Result;
}

} // namespace dandelionfall::test
