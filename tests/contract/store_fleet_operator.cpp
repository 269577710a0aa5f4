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
  const Revision New = m_Store.put("configuration", Value, m_Now);
  m_PublishedAt.emplace(New, m_Now);
  m_Versions.emplace(New, m_Version);
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

Revision StoreFleet::drainTarget(std::size_t Number) {
  const Revision New = m_Store.put(
      targetKey(Number),
      "desk " + addressOf(Number) + " " + zoneOf(Number) + " draining", m_Now);
  m_PublishedAt.emplace(New, m_Now);
  m_Departures.emplace(New, Number);
  announce();
  return New;
}

Revision StoreFleet::removeTarget(std::size_t Number) {
  const Revision New = m_Store.remove(targetKey(Number), m_Now);
  m_PublishedAt.emplace(New, m_Now);
  m_Departures.emplace(New, Number);
  announce();
  return New;
}

void StoreFleet::listTarget(std::size_t Number) {
  m_Store.put(targetKey(Number),
              "desk " + addressOf(Number) + " " + zoneOf(Number) + " ready",
              m_Now);
  announce();
}

} // namespace dandelionfall::test
