#include "dandelionfall/core/configuration.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

namespace {

using RouteKey = std::pair<std::string_view, std::string_view>;

RouteKey makeRouteKey(const RouteIndexEntry &Entry) {
  return {Entry.m_HostName, Entry.m_PathPrefix};
}

const RouteIndexEntry *findExact(const RouteIndex &Index, const RouteKey &Key) {
  const auto Found = std::lower_bound(
      Index.begin(), Index.end(), Key,
      [](const RouteIndexEntry &Entry, const RouteKey &SearchKey) {
        return makeRouteKey(Entry) < SearchKey;
      });
  return Found != Index.end() && makeRouteKey(*Found) == Key ? &*Found
                                                             : nullptr;
}

// A prefix must end at the end of the path, before a slash or after one. The
// longest prefix is tested first; the maximum length bounds the work that a
// caller can cause with a long path.
const RouteIndexEntry *findLongestPrefix(const RouteIndex &Index,
                                         std::string_view HostName,
                                         std::string_view Path) {
  for (std::size_t Length = std::min(Path.size(), MaxPathPrefixBytes);
       Length > 0; --Length) {
    const bool EndsSegment =
        Length == Path.size() || Path[Length] == '/' || Path[Length - 1] == '/';
    if (!EndsSegment)
      continue;
    const RouteIndexEntry *Found =
        findExact(Index, {HostName, Path.substr(0, Length)});
    if (Found != nullptr)
      return Found;
  }
  return nullptr;
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
          {Each.m_HostName, Each.m_PathPrefix, ServicePtr.get(), &Each});
  }
  if (Config.m_SplitRoutes != nullptr) {
    for (const Route &Each : *Config.m_SplitRoutes)
      Index.push_back({Each.m_HostName, Each.m_PathPrefix, nullptr, &Each});
  }
  std::stable_sort(
      Index.begin(), Index.end(),
      [](const RouteIndexEntry &Left, const RouteIndexEntry &Right) {
        return makeRouteKey(Left) < makeRouteKey(Right);
      });
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
