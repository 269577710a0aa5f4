#include "core/registry/urgent_watches.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core::registry {

namespace {

/// Calls are numbered in steps of this, those of the reader of all records from
/// 1.
constexpr std::uint64_t CallsOfWatch = std::uint64_t{1} << 48U;

} // namespace

UrgentWatches::UrgentWatches(const std::vector<std::string> &Prefixes,
                             std::uint64_t Seed) {
  for (const std::string &Prefix : Prefixes)
    m_Watches.emplace_back(Prefix, CallsOfWatch * (m_Watches.size() + 1), Seed);
}

bool UrgentWatches::isOwn(std::uint64_t Call) { return Call >= CallsOfWatch; }

void UrgentWatches::setActive(bool Active, const StoreHistory &History,
                              Revision Held, TimePoint Now) {
  const StoreCounter Known = History.counterIn(Held);
  const bool IsOther =
      std::exchange(m_History, History.number()) != History.number();
  for (PrefixWatch &Each : m_Watches) {
    if (IsOther)
      Each.setActive(false, 0, Now);
    Each.setActive(Active && Known > 0, Known, Now);
  }
}

void UrgentWatches::onReply(StoreReply Reply, const StoreHistory &History,
                            Revision Held, TimePoint Now) {
  PrefixWatch &Watch = m_Watches.at(Reply.m_Call / CallsOfWatch - 1);
  // The reader of all records finds that the store has begun another history.
  if (!History.fits(Reply.m_Era))
    Reply.m_Outcome = StoreOutcome::Failed;
  Watch.onReply(std::move(Reply), History.counterIn(Held), Now);
}

void UrgentWatches::onTick(TimePoint Now) {
  for (PrefixWatch &Each : m_Watches)
    Each.onTick(Now);
}

std::optional<TimePoint> UrgentWatches::nextWakeUp() const {
  std::optional<TimePoint> Next;
  for (const PrefixWatch &Each : m_Watches) {
    if (const auto At = Each.nextWakeUp())
      Next = Next ? std::min(*Next, *At) : *At;
  }
  return Next;
}

std::uint64_t UrgentWatches::calls() const {
  std::uint64_t Calls = 0;
  for (const PrefixWatch &Each : m_Watches)
    Calls += Each.calls();
  return Calls;
}

std::vector<PrefixWatchCommand> UrgentWatches::takeCommands() {
  std::vector<PrefixWatchCommand> Result;
  for (PrefixWatch &Each : m_Watches) {
    for (PrefixWatchCommand &Command : Each.takeCommands()) {
      if (auto *Records = std::get_if<std::vector<StoreRecord>>(&Command)) {
        for (StoreRecord &Record : *Records)
          Record.m_Revision = makeRevision(m_History, Record.m_Revision);
      }
      Result.push_back(std::move(Command));
    }
  }
  return Result;
}

} // namespace dandelionfall::core::registry
