// Route selection, compared with a search through all routes.
#include "dandelionfall/core/configuration.h"

#include "property_check.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace dandelionfall::core;
using dandelionfall::holds;

namespace {

constexpr std::size_t LongSegmentBytes = 300;

std::string drawSegments() {
  std::string Path;
  const auto Count = *rc::gen::inRange(0, 12);
  for (int Number = 0; Number < Count; ++Number)
    Path += "/" + *rc::gen::element<std::string>(
                      "", "a", "b", "ab", std::string(LongSegmentBytes, 'c'));
  return Path;
}

std::string drawHostName() {
  return *rc::gen::element<std::string>("", "a.example", "ab.example");
}

std::vector<Route> drawRoutes() {
  std::vector<Route> Routes;
  std::set<std::pair<std::string, std::string>> Known;
  const auto Count = *rc::gen::inRange(0, 30);
  for (int Number = 0; Number < Count; ++Number) {
    Route Drawn;
    Drawn.m_HostName = drawHostName();
    Drawn.m_PathPrefix = drawSegments();
    if (Drawn.m_PathPrefix.empty() || *rc::gen::arbitrary<bool>())
      Drawn.m_PathPrefix += '/';
    if (Known.emplace(Drawn.m_HostName, Drawn.m_PathPrefix).second)
      Routes.push_back(std::move(Drawn));
  }
  return Routes;
}

bool fits(const std::string &Prefix, const std::string &Path) {
  return Path.starts_with(Prefix) &&
         (Path.size() == Prefix.size() || Prefix.ends_with('/') ||
          Path[Prefix.size()] == '/');
}

const Route *findLinearly(const std::vector<Route> &Routes,
                          const std::string &HostName,
                          const std::string &Path) {
  const Route *Found = nullptr;
  for (const Route &Each : Routes) {
    if (Each.m_HostName == HostName && fits(Each.m_PathPrefix, Path) &&
        (Found == nullptr ||
         Each.m_PathPrefix.size() > Found->m_PathPrefix.size()))
      Found = &Each;
  }
  return Found == nullptr && !HostName.empty() ? findLinearly(Routes, "", Path)
                                               : Found;
}

std::string drawPath(const std::vector<Route> &Routes) {
  std::string Tail = drawSegments();
  if (Routes.empty() || *rc::gen::inRange(0, 4) == 0)
    return Tail;
  return (*rc::gen::elementOf(Routes)).m_PathPrefix + Tail;
}

} // namespace

TEST_CASE("the selected route is that of a search through all routes") {
  int Matches = 0;
  int LongMatches = 0;
  CHECK(holds("select a route", 3000, [&] {
    Configuration Config;
    Config.m_SplitRoutes =
        std::make_shared<const std::vector<Route>>(drawRoutes());
    if (*rc::gen::arbitrary<bool>())
      Config.m_Routes = makeRouteIndex(Config);
    const std::string HostName = drawHostName();
    const std::string Path = drawPath(*Config.m_SplitRoutes);
    const Route *Expected = findLinearly(*Config.m_SplitRoutes, HostName, Path);
    RC_ASSERT(findRoute(Config, HostName, Path).m_Route == Expected);
    if (Expected == nullptr)
      return;
    ++Matches;
    if (Expected->m_PathPrefix.size() > LongSegmentBytes)
      ++LongMatches;
  }));
  CHECK(Matches > 1000);
  CHECK(LongMatches > 300);
}
