/// \file
/// Shares a route's requests out between services.
#ifndef DANDELIONFALL_CORE_INGRESS_SPLIT_CHOICE_H
#define DANDELIONFALL_CORE_INGRESS_SPLIT_CHOICE_H

#include "dandelionfall/core/configuration.h"

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace dandelionfall::core::ingress {

/// Smooth weighted round robin for each route, so that the shares are kept over
/// any run of requests. It begins at a random phase, since the shares are to
/// hold over all ingresses together.
class SplitChoice {
public:
  /// \param Seed seed of the phases.
  explicit SplitChoice(std::uint64_t Seed) : m_Random(Seed) {}

  /// Chooses the service of a route's next request.
  /// \param Chosen the route, with at least one part.
  /// \returns the service's name; it lives as long as the route.
  const std::string &choose(const Route &Chosen);
  /// Forgets the routes that a version no longer has.
  void retain(const Configuration &Config);

private:
  struct RouteState {
    std::vector<WeightedService> m_Split;
    /// How far each part is behind its share, in weights.
    std::vector<double> m_Credits;
  };
  RouteState &stateOf(const Route &Chosen);

  std::mt19937_64 m_Random;
  std::map<std::pair<std::string, std::string>, RouteState> m_Routes;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_SPLIT_CHOICE_H
