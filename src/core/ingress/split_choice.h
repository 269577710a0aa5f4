/// \file
/// Divides the requests of a route among services.
#ifndef DANDELIONFALL_CORE_INGRESS_SPLIT_CHOICE_H
#define DANDELIONFALL_CORE_INGRESS_SPLIT_CHOICE_H

#include "dandelionfall/core/configuration.h"

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace dandelionfall::core::ingress {

/// Smooth weighted round robin for each route, so that the shares hold over any
/// sequence of requests. It starts at a random phase, because the shares must
/// hold over all ingresses together.
class SplitChoice {
public:
  /// \param Seed seed of the random phases.
  explicit SplitChoice(std::uint64_t Seed) : m_Random(Seed) {}

  /// Selects the service for the next request of a route.
  /// \param Chosen the route; has at least one part.
  /// \returns the name of the service; valid as long as the route.
  const std::string &choose(const Route &Chosen);
  /// Drops the state of routes that a version no longer contains.
  void retain(const Configuration &Config);

private:
  struct RouteState {
    std::vector<WeightedService> m_Split;
    /// How far each part is behind its share, in units of weight.
    std::vector<double> m_Credits;
  };
  RouteState &stateOf(const Route &Chosen);

  std::mt19937_64 m_Random;
  std::map<std::pair<std::string, std::string>, RouteState> m_Routes;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_SPLIT_CHOICE_H
