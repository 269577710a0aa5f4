#include "core/registry/limits.h"
#include "dandelionfall/core/registry.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

using namespace registry;

namespace {

/// Older value of a patch that needs none.
const StoreRecord NoBase{"", 0, std::make_shared<const std::string>()};

template <typename Predicate>
const StoreRecord &findBase(const std::deque<StoreRecord> &Values,
                            Predicate IsHeld) {
  const auto Found = std::find_if(
      Values.rbegin(), Values.rend(),
      [&](const StoreRecord &Each) { return IsHeld(Each.m_Revision); });
  return Found == Values.rend() ? NoBase : *Found;
}

const StoreRecord &newestUpTo(const std::deque<StoreRecord> &Values,
                              Revision Known) {
  return findBase(Values, [Known](Revision At) { return At <= Known; });
}

const StoreRecord &newestOf(const std::deque<StoreRecord> &Values,
                            const std::vector<Revision> &Held) {
  const Revision Newest = Values.back().m_Revision;
  if (std::any_of(Held.begin(), Held.end(),
                  [Newest](Revision At) { return At >= Newest; }))
    return Values.back();
  return findBase(Values, [&Held](Revision At) {
    return std::find(Held.begin(), Held.end(), At) != Held.end();
  });
}

} // namespace

bool Registry::applyFeed(const RecordChanges &Changes, Revision Held,
                         TimePoint Now) {
  bool Changed = applyAhead(Changes.m_Records, "feed", Now);
  for (const RecordPatch &Each : Changes.m_Patches)
    Changed |= applyPatch(Each, Now);
  if (Changes.m_IsComplete && Held > m_Revision && m_Revision > 0 &&
      historyOf(Held) == historyOf(m_Revision) && holdsAll(Changes.m_Large))
    m_Revision = Held;
  return Changed;
}

bool Registry::holdsAll(
    const std::map<std::string, Revision, std::less<>> &Large) const {
  return std::all_of(Large.begin(), Large.end(), [this](const auto &Each) {
    const auto Known = m_Records.find(Each.first);
    if (Known != m_Records.end())
      return Known->second.m_Revision >= Each.second;
    const auto Removed = m_Removed.find(Each.first);
    return Removed != m_Removed.end() && Removed->second >= Each.second;
  });
}

LargeRevisions Registry::basesOf(
    const std::map<std::string, Revision, std::less<>> &Large) const {
  LargeRevisions Result;
  for (const auto &[Key, Newest] : Large) {
    std::vector<Revision> &Held = Result[Key];
    const auto Values = m_LargeValues.find(Key);
    if (Values != m_LargeValues.end()) {
      for (const StoreRecord &Each : Values->second)
        Held.push_back(Each.m_Revision);
      continue;
    }
    // A newer removal or small value, so that no older large one is sent.
    const auto Known = m_Records.find(Key);
    const auto Removed = m_Removed.find(Key);
    if (Known != m_Records.end())
      Held.push_back(Known->second.m_Revision);
    else if (Removed != m_Removed.end())
      Held.push_back(Removed->second);
  }
  return Result;
}

const StoreRecord *Registry::baseOf(const RecordPatch &Patch) const {
  if (Patch.m_Base == 0)
    return &NoBase;
  const auto Values = m_LargeValues.find(Patch.m_Key);
  if (Values == m_LargeValues.end())
    return nullptr;
  const auto Base = std::find_if(
      Values->second.begin(), Values->second.end(),
      [&](const StoreRecord &Each) { return Each.m_Revision == Patch.m_Base; });
  return Base == Values->second.end() ? nullptr : &*Base;
}

bool Registry::applyPatch(const RecordPatch &Patch, TimePoint Now) {
  const auto Known = m_Records.find(Patch.m_Key);
  if (Known != m_Records.end() && Known->second.m_Revision >= Patch.m_Revision)
    return false;
  const StoreRecord *Base = baseOf(Patch);
  if (Base == nullptr)
    return false;
  auto Value = core::applyPatch(*Base->m_Value, Patch.m_Patch, MaxPatchedBytes);
  if (!Value) {
    report(EventId::RecordRefused, "key=" + Patch.m_Key + " revision=" +
                                       formatRevision(Patch.m_Revision) +
                                       " fault=a patch does not fit its base");
    return false;
  }
  const bool Changed =
      applyRecord({Patch.m_Key, Patch.m_Revision,
                   std::make_shared<const std::string>(std::move(*Value))},
                  Now);
  // Passed on to followers that hold the same base.
  const auto Values = m_LargeValues.find(Patch.m_Key);
  if (Values != m_LargeValues.end() &&
      Values->second.back().m_Revision == Patch.m_Revision &&
      baseOf(Patch) != nullptr)
    m_Patches.emplace(std::pair(Patch.m_Key, Patch.m_Base), Patch);
  return Changed;
}

std::optional<RecordPatch> Registry::patchOf(const StoreRecord &Newest,
                                             const StoreRecord &Base) const {
  const auto Found = m_Patches.find({Newest.m_Key, Base.m_Revision});
  if (Found != m_Patches.end())
    return Found->second;
  std::optional<RecordPatch> Result;
  if (auto Patch = makePatch(*Base.m_Value, *Newest.m_Value, MaxPatchBytes))
    Result = RecordPatch{Newest.m_Key, Newest.m_Revision, Base.m_Revision,
                         std::move(*Patch)};
  m_Patches.emplace(std::pair(Newest.m_Key, Base.m_Revision), Result);
  return Result;
}

std::optional<RecordPatch>
Registry::patchFrom(const std::deque<StoreRecord> &Values,
                    const StoreRecord &Base) const {
  if (&Base == &Values.back())
    return std::nullopt;
  return patchOf(Values.back(), Base);
}

RecordChanges Registry::changesFor(Revision Known, bool WithPatches,
                                   const LargeRevisions &Bases) const {
  RecordChanges Result;
  Result.m_Large = largeRevisions();
  Result.m_IsComplete = Known > 0 && Known >= m_RemovalHistoryStart &&
                        historyOf(Known) == historyOf(m_Revision);
  if (Known == 0)
    return Result;
  Result.m_Records = changesAfter(Known);
  std::erase_if(Result.m_Records,
                [](const StoreRecord &Each) { return !isSmall(Each); });
  if (!WithPatches)
    return Result;
  for (const auto &[Key, Values] : m_LargeValues) {
    const auto Held = Bases.find(Key);
    const StoreRecord &Base = Held == Bases.end()
                                  ? newestUpTo(Values, Known)
                                  : newestOf(Values, Held->second);
    if (auto Patch = patchFrom(Values, Base))
      Result.m_Patches.push_back(std::move(*Patch));
  }
  return Result;
}

RecordChanges Registry::takeChanges() {
  RecordChanges Result;
  Result.m_Large = largeRevisions();
  for (auto &[Key, Record] : std::exchange(m_SmallChanges, {}))
    Result.m_Records.push_back(std::move(Record));
  for (const auto &[Key, Newest] : Result.m_Large) {
    const auto Taken = m_TakenLarge.find(Key);
    if (Taken == m_TakenLarge.end() || Taken->second >= Newest)
      continue;
    const std::deque<StoreRecord> &Values = m_LargeValues.at(Key);
    if (auto Patch = patchFrom(Values, newestUpTo(Values, Taken->second)))
      Result.m_Patches.push_back(std::move(*Patch));
  }
  m_TakenLarge = Result.m_Large;
  return Result;
}

void Registry::dropChanges() {
  m_SmallChanges.clear();
  m_TakenLarge = largeRevisions();
}

} // namespace dandelionfall::core
