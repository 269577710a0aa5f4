/// \file
/// Settings of one node, read from an INI file and checked as a whole before
/// anything starts.
#ifndef DANDELIONFALL_APP_SETTINGS_H
#define DANDELIONFALL_APP_SETTINGS_H

#include "dandelionfall/core/error.h"
#include "dandelionfall/core/registry.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionfall::app {

/// How a node learns of targets, routes and availability zones.
enum class SourceProtocol : std::uint8_t {
  Published, ///< Versions in parts, carried on from node to node.
  Store,     ///< The users' platform: records in a metadata store.
};

/// Settings of one node; docs/CONFIGURATION.md describes every key.
struct Settings {
  /// [node] host: the host's name.
  std::string m_Host;
  /// [node] zone: the host's availability zone.
  std::string m_Zone;
  /// [node] caller_address: where callers connect, `IP:PORT`.
  std::string m_CallerAddress;
  /// [node] link_address: where other nodes connect, `IP:PORT`.
  std::string m_LinkAddress;
  /// [node] operator_address: where status, time line and metrics are read,
  /// `IP:PORT`.
  std::string m_OperatorAddress;
  /// [target] name: the target beside the node; empty if there is none.
  std::string m_TargetName;
  /// [target] address: the target's own address, `IP:PORT`.
  std::string m_TargetAddress;
  /// [target] service: the service that the target belongs to; needed where the
  /// source is a store.
  std::string m_TargetService{};
  /// [source] address: the platform's configuration service, `IP:PORT`.
  std::string m_SourceAddress;
  /// [source] protocol: how the source is read.
  SourceProtocol m_SourceProtocol = SourceProtocol::Published;
  /// [source] budget_calls_per_s: calls that all nodes together may make.
  double m_SourceBudget = 2000;
  /// [overlay] seeds: link addresses of some other nodes, separated by commas.
  std::vector<std::string> m_Seeds;
  /// [overlay] assumed_hosts: hosts assumed until a host list is known.
  std::uint32_t m_AssumedHosts = 1;
  /// [overlay] holders: other nodes that must hold a version before it is
  /// applied.
  std::uint32_t m_Holders = 2;
  /// [zones] NAME = REGION: availability zones of the deployment.
  std::map<std::string, std::string, std::less<>> m_Zones{};
  /// [retries] percent, slack, window_s: what all nodes together may add to a
  /// service's requests, where the source is a store.
  core::RetryAllowance m_Retries{};
  /// [stop] linger_ms: time that a planned stop goes on serving callers.
  std::uint32_t m_LingerMs = 0;
  /// [log] level: debug, info, warning or error.
  std::string m_LogLevel = "info";
  /// [log] trace_requests: whether the time line keeps an event for each step
  /// of each request.
  bool m_TraceRequests = false;
  friend bool operator==(const Settings &, const Settings &) = default;
};

/// Finds every fault of a settings text.
/// \param Text the settings, INI.
/// \param File the name that faults are reported with.
/// \param Result receives the settings if there is no fault.
/// \returns all faults, each of kind BadSettings with file, line and remedy.
std::vector<core::Error>
checkSettings(std::string_view Text, const std::string &File, Settings &Result);

/// Reads a settings file.
/// \param File the file's name.
/// \returns the settings.
/// \throws Error of kind UnreadableFile, or the first fault, of kind
/// BadSettings.
Settings readSettings(const std::string &File);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_SETTINGS_H
