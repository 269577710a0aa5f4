/// \file
/// Settings of one node, read from an INI file and fully validated before the
/// node starts.
#ifndef DANDELIONFALL_APP_SETTINGS_H
#define DANDELIONFALL_APP_SETTINGS_H

#include "dandelionfall/core/error.h"
#include "dandelionfall/core/machine_limits.h"
#include "dandelionfall/core/registry.h"
#include "dandelionfall/core/zone_traffic.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionfall::app {

/// How a node obtains targets, routes and availability zones.
enum class SourceProtocol : std::uint8_t {
  Published, ///< Versions in parts, forwarded from node to node.
  Store,     ///< Records in the platform's metadata store.
};

/// Settings of one node; docs/CONFIGURATION.md describes every key.
struct Settings {
  /// [node] host: the host's name.
  std::string m_Host;
  /// [node] zone: the host's availability zone.
  std::string m_Zone;
  /// [node] caller_address: address for callers, `IP:PORT`.
  std::string m_CallerAddress;
  /// [node] link_address: address for other nodes, `IP:PORT`.
  std::string m_LinkAddress;
  /// [node] operator_address: address that serves status, timeline and metrics,
  /// `IP:PORT`.
  std::string m_OperatorAddress;
  /// [target] name: the local target; empty if there is none.
  std::string m_TargetName;
  /// [target] address: the target's own address, `IP:PORT`.
  std::string m_TargetAddress;
  /// [target] service: the service that the target belongs to; needed if the
  /// source is a store.
  std::string m_TargetService{};
  /// [source] address: the platform's configuration service, `IP:PORT`.
  std::string m_SourceAddress;
  /// [source] protocol: protocol for reading the source.
  SourceProtocol m_SourceProtocol = SourceProtocol::Published;
  /// [source] budget_calls_per_s: limit on calls to the source per second, over
  /// all nodes together.
  double m_SourceBudget = 2000;
  /// [source] keeps_writes: whether the store never loses what it has
  /// acknowledged, unless it raises its era.
  bool m_SourceKeepsWrites = false;
  /// [overlay] seeds: comma-separated link addresses of some other nodes.
  std::vector<std::string> m_Seeds;
  /// [overlay] assumed_hosts: number of hosts assumed until a host list is
  /// available.
  std::uint32_t m_AssumedHosts = 1;
  /// [overlay] holders: number of other nodes that must hold a version before
  /// it is applied.
  std::uint32_t m_Holders = 2;
  /// [zones] NAME = REGION: availability zones of the deployment with their
  /// regions.
  std::map<std::string, std::string, std::less<>> m_Zones{};
  /// [retries] ratio, slack, window_s: retries that all nodes together may add
  /// to a service's requests, if the source is a store.
  core::RetryAllowance m_Retries{};
  /// [revocation] max_age_ms: age of the proof that the configuration is the
  /// newest up to which callers' keys are accepted; unset if they need none.
  std::optional<core::Duration> m_MaxProofAge{};
  /// [quota] window_s, overage, slack: by how much all nodes together may
  /// exceed the quota of a team.
  std::optional<core::QuotaTolerance> m_Quota{};
  /// [zone_traffic] price_per_gb, worth_of_hour: prices by which the ingress
  /// decides whether a request leaves the availability zone; unset without the
  /// section.
  std::optional<core::ZonePrices> m_ZonePrices{};
  /// [machine] processor_share, cores, memory_mb, descriptors, link_mbps: what
  /// the machine can bear.
  core::MachineLimits m_Machine{};
  /// [stop] linger_ms: time for which a planned stop continues to serve
  /// callers; at most half of the grace time if that is known.
  std::uint32_t m_LingerMs = 0;
  /// [stop] grace_s: time from the request to stop until the process is killed;
  /// 0 if it is not known.
  core::Duration m_Grace{0};
  /// [log] level: debug, info, warning or error.
  std::string m_LogLevel = "info";
  /// [log] trace_requests: whether the timeline records an event for each step
  /// of each request.
  bool m_TraceRequests = false;
  friend bool operator==(const Settings &, const Settings &) = default;
};

/// \returns whether the node must be able to prove that its configuration is
/// the newest one, for keys or for the accounts of quotas. Only a store allows
/// such proofs.
inline bool needsProofs(const Settings &Config) {
  return Config.m_SourceProtocol == SourceProtocol::Store &&
         (Config.m_MaxProofAge || Config.m_Quota);
}

/// Checks a settings text and collects every fault.
/// \param Text the settings in INI format.
/// \param File the file name for fault reports.
/// \param Result receives the settings if there is no fault.
/// \returns all faults in order of lines, each of kind BadSettings with file,
/// line and remedy.
std::vector<core::Error>
checkSettings(std::string_view Text, const std::string &File, Settings &Result);

/// Reads and checks a settings file.
/// \param File the file's name.
/// \returns the settings.
/// \throws Error of kind UnreadableFile, or the first fault, of kind
/// BadSettings.
Settings readSettings(const std::string &File);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_SETTINGS_H
