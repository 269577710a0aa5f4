#include "dandelionfall/app/timeline.h"

#include <algorithm>
#include <tuple>

namespace dandelionfall::app {

namespace {

auto causalKey(const RecordedEvent &Entry) {
  return std::tie(Entry.m_LogicalTime, Entry.m_Host, Entry.m_Sequence);
}

} // namespace

std::vector<RecordedEvent>
mergeEvents(const std::vector<std::vector<RecordedEvent>> &Processes) {
  std::vector<RecordedEvent> Merged;
  for (const std::vector<RecordedEvent> &Events : Processes)
    Merged.insert(Merged.end(), Events.begin(), Events.end());
  std::stable_sort(Merged.begin(), Merged.end(),
                   [](const RecordedEvent &Left, const RecordedEvent &Right) {
                     return causalKey(Left) < causalKey(Right);
                   });
  // A process that was given twice contributes the same events twice.
  Merged.erase(std::unique(Merged.begin(), Merged.end()), Merged.end());
  return Merged;
}

} // namespace dandelionfall::app
