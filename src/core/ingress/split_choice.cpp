#include "core/ingress/split_choice.h"

#include <algorithm>

namespace dandelionfall::core::ingress {

SplitChoice::RouteState &SplitChoice::stateOf(const Route &Chosen) {
  RouteState &Found = m_Routes[{Chosen.m_HostName, Chosen.m_PathPrefix}];
  if (Found.m_Split == Chosen.m_Split)
    return Found;
  Found.m_Split = Chosen.m_Split;
  Found.m_Credits.clear();
  std::uniform_real_distribution<double> Phase(0, 1);
  for (const WeightedService &Part : Found.m_Split)
    Found.m_Credits.push_back(Part.m_Weight * Phase(m_Random));
  return Found;
}

const std::string &SplitChoice::choose(const Route &Chosen) {
  if (Chosen.m_Split.size() == 1)
    return Chosen.m_Split.front().m_Service;
  RouteState &Found = stateOf(Chosen);
  double Total = 0;
  std::size_t Best = 0;
  for (std::size_t Index = 0; Index < Found.m_Split.size(); ++Index) {
    const double Weight = Found.m_Split[Index].m_Weight;
    Total += Weight;
    Found.m_Credits[Index] += Weight;
    if (Weight > 0 && (Found.m_Split[Best].m_Weight <= 0 ||
                       Found.m_Credits[Index] > Found.m_Credits[Best]))
      Best = Index;
  }
  Found.m_Credits[Best] -= Total;
  return Chosen.m_Split[Best].m_Service;
}

void SplitChoice::retain(const Configuration &Config) {
  if (m_Routes.empty())
    return;
  std::erase_if(m_Routes, [&Config](const auto &Each) {
    const auto &[HostName, Prefix] = Each.first;
    const RouteMatch Match = findRoute(Config, HostName, Prefix);
    return Match.m_Route == nullptr || Match.m_Route->m_PathPrefix != Prefix;
  });
}

} // namespace dandelionfall::core::ingress
