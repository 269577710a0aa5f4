#include "dandelionfall/core/configuration.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelionfall::core {

namespace {

using RouteKey = std::pair<std::string_view, std::string_view>;

RouteKey makeRouteKey(const RouteIndexEntry &Entry) {
  return {Entry.m_HostName, Entry.m_PathPrefix};
}

std::size_t countCommonBytes(std::string_view Left, std::string_view Right) {
  const auto Ends =
      std::mismatch(Left.begin(), Left.end(), Right.begin(), Right.end());
  return static_cast<std::size_t>(Ends.first - Left.begin());
}

// A prefix must end at the end of the path, before a slash or after one.
bool endsSegment(std::string_view Prefix, std::string_view Path) {
  return !Prefix.empty() &&
         (Prefix.size() == Path.size() || Prefix.back() == '/' ||
          Path[Prefix.size()] == '/');
}

// Sets the distance of each entry of a sorted index to the longest shorter
// prefix.
void linkShorterPrefixes(RouteIndex &Index) {
  std::vector<std::size_t> Beginnings;
  for (std::size_t Position = 0; Position < Index.size(); ++Position) {
    RouteIndexEntry &Entry = Index[Position];
    const auto Begins = [&](const RouteIndexEntry &Shorter) {
      return Shorter.m_HostName == Entry.m_HostName &&
             Entry.m_PathPrefix.starts_with(Shorter.m_PathPrefix);
    };
    while (!Beginnings.empty() && !Begins(Index[Beginnings.back()]))
      Beginnings.pop_back();
    if (!Beginnings.empty())
      Entry.m_ToShorter = Position - Beginnings.back();
    Beginnings.push_back(Position);
  }
}

// The prefixes that begin a path also begin the entry that sorts last before
// the path, so the search follows the path once, however long it is.
const RouteIndexEntry *findLongestPrefix(const RouteIndex &Index,
                                         std::string_view HostName,
                                         std::string_view Path) {
  const auto Next = std::upper_bound(
      Index.begin(), Index.end(), RouteKey{HostName, Path},
      [](const RouteKey &SearchKey, const RouteIndexEntry &Entry) {
        return SearchKey < makeRouteKey(Entry);
      });
  if (Next == Index.begin() || std::prev(Next)->m_HostName != HostName)
    return nullptr;
  const RouteIndexEntry *Entry = &*std::prev(Next);
  const std::size_t Common = countCommonBytes(Entry->m_PathPrefix, Path);
  while (Entry->m_PathPrefix.size() > Common ||
         !endsSegment(Entry->m_PathPrefix, Path)) {
    if (Entry->m_ToShorter == 0)
      return nullptr;
    Entry -= Entry->m_ToShorter;
  }
  return Entry;
}

// A colon before the closing bracket is part of an IPv6 address, not of the
// port.
std::string_view stripPort(std::string_view HostName) {
  const std::size_t Colon = HostName.rfind(':');
  const std::size_t Bracket = HostName.rfind(']');
  if (Colon == std::string_view::npos ||
      (Bracket != std::string_view::npos && Colon < Bracket))
    return HostName;
  return HostName.substr(0, Colon);
}

std::string normalizeHostName(std::string_view HostName) {
  std::string Result(stripPort(HostName));
  for (char &Character : Result) {
    if (Character >= 'A' && Character <= 'Z')
      Character = static_cast<char>(Character - 'A' + 'a');
  }
  return Result;
}

RouteMatch findInIndex(const RouteIndex &Index, std::string_view HostName,
                       std::string_view Path) {
  const RouteIndexEntry *Found = nullptr;
  if (!HostName.empty())
    Found = findLongestPrefix(Index, HostName, Path);
  if (Found == nullptr)
    Found = findLongestPrefix(Index, "", Path);
  if (Found == nullptr)
    return {};
  return {Found->m_Service, Found->m_Route};
}

} // namespace

bool isZoneIn(const Configuration &Config, std::string_view ZoneName) {
  const auto Found = Config.m_Zones.find(ZoneName);
  return Found != Config.m_Zones.end() &&
         Found->second.m_State == ZoneState::In;
}

RouteIndex makeRouteIndex(const Configuration &Config) {
  RouteIndex Index;
  for (const auto &[Name, ServicePtr] : Config.m_Services) {
    for (const Route &Each : ServicePtr->m_Routes)
      Index.push_back(
          {Each.m_HostName, Each.m_PathPrefix, ServicePtr.get(), &Each, 0});
  }
  if (Config.m_SplitRoutes != nullptr) {
    for (const Route &Each : *Config.m_SplitRoutes)
      Index.push_back({Each.m_HostName, Each.m_PathPrefix, nullptr, &Each, 0});
  }
  std::stable_sort(
      Index.begin(), Index.end(),
      [](const RouteIndexEntry &Left, const RouteIndexEntry &Right) {
        return makeRouteKey(Left) < makeRouteKey(Right);
      });
  linkShorterPrefixes(Index);
  return Index;
}

RouteMatch findRoute(const Configuration &Config, std::string_view HostName,
                     std::string_view Path) {
  const std::string Host = normalizeHostName(HostName);
  const std::string_view PlainPath = Path.substr(0, Path.find('?'));
  if (Config.m_Routes.empty())
    return findInIndex(makeRouteIndex(Config), Host, PlainPath);
  return findInIndex(Config.m_Routes, Host, PlainPath);
}

} // namespace dandelionfall::core
