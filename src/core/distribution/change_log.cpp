#include "core/distribution/change_log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dandelionfall::core {

namespace {

std::vector<std::string> changedNames(const PartMap &Old, const PartMap &New) {
  std::vector<std::string> Names;
  for (const auto &[Name, Value] : New) {
    const auto Found = Old.find(Name);
    if (Found == Old.end() || Found->second->m_Digest != Value->m_Digest)
      Names.push_back(Name);
  }
  for (const auto &[Name, Value] : Old) {
    if (!New.contains(Name))
      Names.push_back(Name);
  }
  return Names;
}

} // namespace

void ChangeLog::append(const PartSet &Old, const PartSet &New) {
  Step Added{Old.m_Stamp, changedNames(Old.m_Parts, New.m_Parts), sizeof(Step)};
  for (const std::string &Name : Added.m_Names)
    Added.m_Bytes += sizeof(std::string) + Name.size();
  m_Bytes += Added.m_Bytes;
  m_Steps.push_back(std::move(Added));
  while (m_Bytes > MaxBytes) {
    m_Bytes -= m_Steps.front().m_Bytes;
    m_Steps.pop_front();
  }
}

std::optional<ChangeRecord>
ChangeLog::changeSince(const VersionStamp &Earlier,
                       const PartSet &Newest) const {
  const auto First = std::find_if(
      m_Steps.begin(), m_Steps.end(),
      [&Earlier](const Step &Entry) { return Entry.m_Base == Earlier; });
  if (First == m_Steps.end())
    return std::nullopt;
  std::set<std::string> Names;
  for (auto Entry = First; Entry != m_Steps.end(); ++Entry)
    Names.insert(Entry->m_Names.begin(), Entry->m_Names.end());
  ChangeRecord Record{Earlier, Newest.m_Stamp, {}, {}};
  for (const std::string &Name : Names) {
    const auto Found = Newest.m_Parts.find(Name);
    if (Found == Newest.m_Parts.end())
      Record.m_Removed.push_back(Name);
    else
      Record.m_Changed.push_back(Found->second);
  }
  return Record;
}

} // namespace dandelionfall::core
