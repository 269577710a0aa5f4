// What operators and targets write to the store of a fleet.
#include "store_fleet.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::test {

using namespace core;

namespace {

std::string targetKey(std::size_t Node) {
  return "target/" + std::to_string(Node);
}

} // namespace

Revision StoreFleet::publish() {
  // The same routes but for a few bytes, as when operators change one of many.
  std::string Value = std::to_string(++m_Version) + " ";
  std::mt19937_64 Random(m_Options.m_Seed);
  while (Value.size() < m_Options.m_ConfigurationBytes)
    Value += std::to_string(Random()) + ",";
  Value += m_Routes;
  m_Configuration = Value;
  m_VersionAt.emplace(m_Version, m_Now);
  const Revision New = m_Store.put("configuration", Value, m_Now);
  m_PublishedAt.insert_or_assign(New, m_Now);
  m_Versions.insert_or_assign(New, m_Version);
  announce();
  return New;
}

Revision StoreFleet::publishMoreRoutes(std::size_t Routes) {
  constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz012345";
  const auto DrawName = [&] {
    std::string Name;
    for (std::uint64_t Bits = m_Random(); Name.size() < 8;
         Bits /= Letters.size())
      Name += Letters[Bits % Letters.size()];
    return Name;
  };
  for (std::size_t Count = 0; Count < Routes; ++Count)
    m_Routes += R"({"name":"r-)" + DrawName() +
                R"(","host":"jepu9.example","prefix":"/)" + DrawName() +
                R"(/","kind":"idempotent","timeout-ms":3000,)" +
                R"("target-latency-ms":1000,"priority":1,)" +
                R"("service":"wuno96b","max-attempts":2},)";
  return publish();
}

void StoreFleet::announce() {
  wakeWatchers(ReadConsistency::Linearizable);
  at(m_Now + m_Options.m_Staleness,
     [this] { wakeWatchers(ReadConsistency::Serializable); });
}

Revision StoreFleet::writeTarget(std::size_t Number, TargetPhase Phase) {
  LiveTarget &Written = m_Targets[Number];
  if (Phase != Written.m_Phase)
    Written.m_LeftAt = m_Now;
  Written.m_Phase = Phase;
  const std::string State =
      Phase == TargetPhase::Draining ? "draining" : "ready";
  Written.m_Value = "desk " + addressOf(Number) + " " + zoneOf(Number) + " " +
                    State + " 1 " + std::to_string(++Written.m_Sequence);
  const Revision New = m_Store.put(targetKey(Number), Written.m_Value, m_Now);
  announce();
  return New;
}

Revision StoreFleet::drainTarget(std::size_t Number) {
  const Revision New = writeTarget(Number, TargetPhase::Draining);
  m_PublishedAt.insert_or_assign(New, m_Now);
  m_Departures.insert_or_assign(New, Number);
  return New;
}

Revision StoreFleet::removeTarget(std::size_t Number) {
  m_Targets[Number].m_Phase = TargetPhase::Gone;
  m_Targets[Number].m_LeftAt = m_Now;
  const Revision New = m_Store.remove(targetKey(Number), m_Now);
  m_PublishedAt.insert_or_assign(New, m_Now);
  m_Departures.insert_or_assign(New, Number);
  announce();
  return New;
}

void StoreFleet::listTarget(std::size_t Number) {
  writeTarget(Number, TargetPhase::Ready);
}

void StoreFleet::refuse(std::size_t Number, std::uint64_t Start,
                        std::uint64_t Call) {
  StoreReply Refused;
  Refused.m_Call = Call;
  Refused.m_Fault = "connect: Connection refused";
  reply(Number, Start, std::move(Refused));
}

void StoreFleet::restoreStore(const RestoredCopy &Copy, Duration Away) {
  m_StoreIsAway = true;
  m_WasRestored = true;
  for (std::size_t Number = 0; Number < m_Nodes.size(); ++Number) {
    if (m_Nodes[Number].m_Replica != nullptr)
      checkInvariants(Number);
  }
  if (!Copy.m_KeepsWatches) {
    for (const Watcher &Each : std::exchange(m_Watchers, {}))
      refuse(Each.m_Node, Each.m_Start, Each.m_Call.m_Call);
  }
  at(m_Now + Away, [this, Copy, TakenAt = m_Now] {
    m_StoreIsAway = false;
    m_Store.restore(Copy, TakenAt, m_Now);
    if (Copy.m_KeepsWatches)
      announce();
    writeLostAgain();
    writeZonesAgain();
  });
}

void StoreFleet::writeLostAgain() {
  constexpr int RewriteMs = 1900;
  constexpr int LapseMs = 6000;
  const auto Within = [this](int LimitMs) {
    return m_Now + std::chrono::milliseconds(
                       m_Random() % static_cast<std::uint64_t>(LimitMs));
  };
  at(Within(RewriteMs), [this] {
    const auto Held = m_Store.value("configuration");
    if (m_StoreIsAway || (Held != nullptr && *Held == m_Configuration))
      return;
    m_Store.put("configuration", m_Configuration, m_Now);
    announce();
  });
  for (std::size_t Number = 0; Number < m_Targets.size(); ++Number) {
    const bool IsGone = m_Targets[Number].m_Phase == TargetPhase::Gone;
    at(Within(IsGone ? LapseMs : RewriteMs), [this, Number] {
      const auto Held = m_Store.value(targetKey(Number));
      const LiveTarget &Known = m_Targets[Number];
      if (m_StoreIsAway)
        return;
      if (Known.m_Phase != TargetPhase::Gone) {
        if (Held == nullptr || *Held != Known.m_Value)
          writeTarget(Number, Known.m_Phase);
      } else if (Held != nullptr) {
        m_Store.remove(targetKey(Number), m_Now);
        announce();
      }
    });
  }
}

} // namespace dandelionfall::test
