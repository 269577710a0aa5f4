#include "dandelionfall/core/configuration.h"

#include <tuple>

namespace dandelionfall::core {

namespace {

bool matchesPath(const Route &Candidate, std::string_view Path) {
  if (!Path.starts_with(Candidate.m_PathPrefix))
    return false;
  const std::size_t Length = Candidate.m_PathPrefix.size();
  return Path.size() == Length || Candidate.m_PathPrefix.ends_with('/') ||
         Path[Length] == '/' || Path[Length] == '?';
}

bool isBetter(const Route &Left, const Route *Right) {
  if (Right == nullptr)
    return true;
  return std::tuple(!Left.m_HostName.empty(), Left.m_PathPrefix.size()) >
         std::tuple(!Right->m_HostName.empty(), Right->m_PathPrefix.size());
}

} // namespace

bool isZoneIn(const Configuration &Config, std::string_view ZoneName) {
  const auto Found = Config.m_Zones.find(ZoneName);
  return Found != Config.m_Zones.end() &&
         Found->second.m_State == ZoneState::In;
}

RouteMatch findRoute(const Configuration &Config, std::string_view HostName,
                     std::string_view Path) {
  RouteMatch Best;
  for (const auto &[Name, ServicePtr] : Config.m_Services) {
    for (const Route &Candidate : ServicePtr->m_Routes) {
      if (!Candidate.m_HostName.empty() && Candidate.m_HostName != HostName)
        continue;
      if (!matchesPath(Candidate, Path) || !isBetter(Candidate, Best.m_Route))
        continue;
      Best = {ServicePtr.get(), &Candidate};
    }
  }
  return Best;
}

} // namespace dandelionfall::core
