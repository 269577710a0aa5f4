// Starting: one node alone, a fleet at once, seeds that are gone.
#include "contract/distribution_fleet.h"

#include <doctest/doctest.h>

using namespace dandelionfall;
using namespace dandelionfall::test;
using namespace std::chrono_literals;

TEST_CASE("a single node alone is ready as fast as the source answers") {
  FleetOptions Options;
  Options.m_Nodes = 1;
  Options.m_Seeds = 0;
  Options.m_AssumedHosts = 1;
  Fleet Nodes(Options);
  Nodes.startAll();
  const auto Time = Nodes.runUntil([&] { return Nodes.allAt(1); }, 5s);
  REQUIRE(Time.has_value());
  CHECK(*Time <= 100ms);
  Nodes.m_Source.publish();
  CHECK(Nodes.runUntil([&] { return Nodes.allAt(2); }, 1s).has_value());
  CHECK(Nodes.m_Faults.empty());
}

TEST_CASE("a fleet that starts at once is ready within two seconds") {
  struct Row {
    std::string m_Name;
    std::size_t m_Nodes;
    std::size_t m_Seeds;
    std::size_t m_GoneHosts;
    std::size_t m_Services;
    Duration m_Limit;
  };
  const Row Rows[] = {
      {"twelve", 12, 3, 0, 4, 2s},
      {"no seed", 12, 0, 0, 4, 4s},
      {"hosts listed that are gone", 12, 3, 12, 4, 4s},
      {"sixty", 60, 3, 0, 4, 4s},
      {"sixty with many parts", 60, 3, 0, 400, 8s},
  };
  for (const Row &Each : Rows) {
    CAPTURE(Each.m_Name);
    FleetOptions Options;
    Options.m_Nodes = Each.m_Nodes;
    Options.m_AssumedHosts = static_cast<std::uint32_t>(Each.m_Nodes);
    Options.m_Seeds = Each.m_Seeds;
    Options.m_GoneHosts = Each.m_GoneHosts;
    Options.m_Services = Each.m_Services;
    Fleet Nodes(Options);
    Nodes.startAll();
    const auto Time = Nodes.runUntil([&] { return Nodes.allAt(1); }, 20s);
    REQUIRE(Time.has_value());
    MESSAGE(Each.m_Name << ": " << Time->count() / 1000 << " ms, "
                        << Nodes.sourceCalls() << " calls, most in a second "
                        << Nodes.mostCallsInASecond());
    CHECK(*Time <= Each.m_Limit);
    CHECK(Nodes.mostCallsInASecond() <= 2000);
    Nodes.m_Source.publish();
    const auto Change = Nodes.runUntil([&] { return Nodes.allAt(2); }, 10s);
    REQUIRE(Change.has_value());
    MESSAGE("change: " << Change->count() / 1000 << " ms");
    CHECK(*Change <= 1s);
    CHECK(Nodes.m_Faults.empty());
  }
}
