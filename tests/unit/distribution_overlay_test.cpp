// Choice of neighbours and readers by hash.
#include "core/distribution/neighbour_rings.h"
#include "core/distribution/reader_election.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace dandelionfall::core;

namespace {

HostListPtr makeList(std::size_t Hosts, std::size_t Zones, int Salt) {
  auto List = std::make_shared<HostList>();
  List->m_Revision = 1;
  for (std::size_t Index = 0; Index < Hosts; ++Index) {
    const std::string Name =
        "h" + std::to_string(Salt) + "-" + std::to_string(100000 + Index);
    List->m_Hosts.push_back({Name, "z" + std::to_string(Index % Zones),
                             "127.0.0.1:" + std::to_string(Index),
                             HostState::Live});
  }
  return List;
}

using Graph = std::map<std::string, std::set<std::string>>;

Graph buildLinkGraph(const HostListPtr &List, const std::string &FailedZone) {
  Graph Links;
  const auto Usable = [&](const HostEntry &Entry) {
    return Entry.m_Zone != FailedZone;
  };
  for (const HostEntry &Self : List->m_Hosts) {
    if (!Usable(Self))
      continue;
    Links[Self.m_Name];
    const NeighbourRings Rings(List, Self.m_Name, Self.m_Zone);
    for (const HostEntry *Peer : Rings.choose(Usable)) {
      Links[Self.m_Name].insert(Peer->m_Name);
      Links[Peer->m_Name].insert(Self.m_Name);
    }
  }
  return Links;
}

std::size_t countReachable(const Graph &Links) {
  std::set<std::string> Reached = {Links.begin()->first};
  std::vector<std::string> Unvisited = {Links.begin()->first};
  while (!Unvisited.empty()) {
    const std::string Current = Unvisited.back();
    Unvisited.pop_back();
    for (const std::string &Next : Links.at(Current)) {
      if (Reached.insert(Next).second)
        Unvisited.push_back(Next);
    }
  }
  return Reached.size();
}

std::set<std::string> readersOf(const HostList &List) {
  std::set<std::string> Readers;
  for (const HostEntry &Entry : List.m_Hosts) {
    if (readerRank(List, Entry.m_Name, Entry.m_Zone) < ReadersPerZone)
      Readers.insert(Entry.m_Name);
  }
  return Readers;
}

} // namespace

TEST_CASE("the neighbour links connect all nodes, also without a failed zone") {
  CHECK(rc::check([] {
    const auto Hosts = *rc::gen::inRange<std::size_t>(6, 120);
    const auto Zones = *rc::gen::inRange<std::size_t>(2, 6);
    const auto Salt = *rc::gen::inRange(0, 1000);
    const HostListPtr List = makeList(Hosts, Zones, Salt);
    for (const std::string FailedZone : {"none", "z0", "z1"}) {
      const Graph Links = buildLinkGraph(List, FailedZone);
      RC_ASSERT(countReachable(Links) == Links.size());
    }
  }));
}

TEST_CASE("a node chooses at most eight neighbours, two in other zones") {
  const HostListPtr List = makeList(900, 9, 1);
  std::size_t MaxLinks = 0;
  for (const HostEntry &Self : List->m_Hosts) {
    const NeighbourRings Rings(List, Self.m_Name, Self.m_Zone);
    const auto Chosen = Rings.choose([](const HostEntry &) { return true; });
    CHECK(Chosen.size() == 8);
    std::size_t InOtherZones = 0;
    for (const HostEntry *Peer : Chosen) {
      CHECK(Peer->m_Name != Self.m_Name);
      if (Peer->m_Zone != Self.m_Zone)
        ++InOtherZones;
    }
    CHECK(InOtherZones == 2);
  }
  for (const auto &[Name, Peers] : buildLinkGraph(List, "none"))
    MaxLinks = std::max(MaxLinks, Peers.size());
  CHECK(MaxLinks <= 16);
}

TEST_CASE("removing a host replaces at most one reader") {
  CHECK(rc::check([] {
    const auto Hosts = *rc::gen::inRange<std::size_t>(5, 80);
    const auto Salt = *rc::gen::inRange(0, 1000);
    const HostListPtr List = makeList(Hosts, 2, Salt);
    const auto Removed = *rc::gen::inRange<std::size_t>(0, Hosts);
    HostList Rest = *List;
    const std::string Name = Rest.m_Hosts[Removed].m_Name;
    Rest.m_Hosts.erase(Rest.m_Hosts.begin() +
                       static_cast<std::ptrdiff_t>(Removed));
    std::set<std::string> Before = readersOf(*List);
    const std::set<std::string> After = readersOf(Rest);
    const bool WasReader = Before.erase(Name) > 0;
    std::size_t Added = 0;
    for (const std::string &Reader : After)
      Added += Before.contains(Reader) ? 0U : 1U;
    RC_ASSERT(Added <= (WasReader ? 1U : 0U));
  }));
}

TEST_CASE("hosts take over by rank, and later while the source is down") {
  CHECK(takeoverDelay(0, true) == Duration(0));
  CHECK(takeoverDelay(3, true) < takeoverDelay(4, true));
  CHECK(takeoverDelay(1000, true) <= std::chrono::seconds(15));
  CHECK(takeoverDelay(5, false) == 4 * takeoverDelay(3, false));
}
