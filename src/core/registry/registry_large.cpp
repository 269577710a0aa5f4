// Values of large records: those from which patches are made, and their end.
#include "core/registry/limits.h"
#include "dandelionfall/core/registry.h"

namespace dandelionfall::core {

using namespace registry;

bool Registry::isSmall(const StoreRecord &Record) {
  return Record.m_Value == nullptr ||
         Record.m_Value->size() <= MaxSmallRecordBytes;
}

void Registry::storeLarge(const StoreRecord &Record) {
  std::deque<StoreRecord> &Values = m_LargeValues[Record.m_Key];
  Values.push_back(Record);
  if (Values.size() > StoredLargeValues)
    Values.pop_front();
  dropPatches(Record.m_Key);
}

void Registry::dropLarge(const std::string &Key) {
  m_Deferred.erase(Key);
  if (m_LargeValues.erase(Key) > 0)
    dropPatches(Key);
}

void Registry::dropOlderValues(const std::string &Key) {
  const auto Found = m_LargeValues.find(Key);
  if (Found == m_LargeValues.end() || Found->second.size() == 1)
    return;
  Found->second.erase(Found->second.begin(), Found->second.end() - 1);
  dropPatches(Key);
}

void Registry::dropPatches(const std::string &Key) {
  auto Next = m_Patches.lower_bound(std::pair(Key, Revision{0}));
  while (Next != m_Patches.end() && Next->first.first == Key)
    Next = m_Patches.erase(Next);
}

std::map<std::string, Revision, std::less<>> Registry::largeRevisions() const {
  std::map<std::string, Revision, std::less<>> Result;
  for (const auto &[Key, Values] : m_LargeValues)
    Result.emplace(Key, Values.back().m_Revision);
  return Result;
}

} // namespace dandelionfall::core
