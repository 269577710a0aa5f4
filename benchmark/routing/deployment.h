/// \file
/// The deployments and the load that the routing benchmark runs.
#ifndef DANDELIONFALL_BENCHMARK_ROUTING_DEPLOYMENT_H
#define DANDELIONFALL_BENCHMARK_ROUTING_DEPLOYMENT_H

#include "dandelionfall/core/configuration.h"

#include <span>
#include <string>
#include <vector>

namespace dandelionfall::benchmark {

using core::Duration;
using namespace std::chrono_literals;

/// Sizes of a deployment; each service has one target in each availability
/// zone.
struct Deployment {
  const char *m_Name;
  std::vector<const char *> m_Zones;
  std::vector<const char *> m_Services;
  std::uint32_t m_Slots;
  std::uint32_t m_Connections;
  /// One-way latency between availability zones.
  Duration m_Latency;
};

/// Lists the deployments.
std::span<const Deployment> deployments();

/// Builds a version of a deployment's configuration.
/// \param Of the deployment.
/// \param Number the version's number.
/// \param FirstZone state of its first availability zone.
/// \returns the configuration; target Z of service S has the gate address
/// `gateAddress(S, Z)`.
core::ConfigurationPtr makeConfiguration(const Deployment &Of,
                                         core::Version Number,
                                         core::ZoneState FirstZone);

/// \returns the address of the gate of a service's target in an availability
/// zone.
std::string gateAddress(std::size_t Service, std::size_t Zone);

/// Mean work of a request at an unloaded target, exponentially distributed.
constexpr Duration MeanWork = 20ms;
constexpr Duration CallDeadline = 500ms;
/// Share of the capacity left while an availability zone is out.
constexpr double LoadShare = 0.6;
/// Share of the calls that are not idempotent.
constexpr double BookingShare = 0.3;

/// Times after the start. Nothing counts before `CountFrom`.
constexpr Duration CountFrom = 10s;
constexpr Duration ZoneLeaves = 15s;
constexpr Duration ZoneReturns = 30s;
constexpr Duration LastCall = 50s;
constexpr Duration RunEnd = 53s;
/// Longest time until a version is in force on a node.
constexpr Duration LongestConvergence = 1s;

} // namespace dandelionfall::benchmark

#endif // DANDELIONFALL_BENCHMARK_ROUTING_DEPLOYMENT_H
