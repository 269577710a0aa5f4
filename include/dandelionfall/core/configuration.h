/// \file
/// The configuration in force: availability zones, profiles, services with
/// their routes and targets.
///
/// All types here are values that are built once and then shared only as
/// pointers to const.
#ifndef DANDELIONFALL_CORE_CONFIGURATION_H
#define DANDELIONFALL_CORE_CONFIGURATION_H

#include "dandelionfall/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionfall::core {

/// Version number of a published configuration; 0 means none.
using Version = std::uint64_t;

/// Digest of a published value (XXH3, 64 bits).
using Digest = std::uint64_t;

/// A version and the digest of its manifest; orders by version first.
struct VersionStamp {
  Version m_Version = 0;
  Digest m_Digest = 0;
  friend auto operator<=>(const VersionStamp &, const VersionStamp &) = default;
};

/// Whether operators let an availability zone take new work.
enum class ZoneState : std::uint8_t { In, Out };

/// An availability zone.
struct Zone {
  std::string m_Name;
  std::string m_Region;
  ZoneState m_State = ZoneState::In;
  friend bool operator==(const Zone &, const Zone &) = default;
};

/// Named policy that services run under.
struct Profile {
  std::string m_Name;
  /// Time a call may take when its caller names none.
  Duration m_Deadline = std::chrono::seconds(2);
  /// Time one try may take before an idempotent request is tried elsewhere.
  Duration m_TryTimeout = std::chrono::seconds(1);
  /// Requests that may wait at a gate.
  std::uint32_t m_QueueLimit = 32;
  /// Retries allowed for each 100 successful requests.
  std::uint32_t m_RetryPercent = 10;
  /// Largest request body in bytes.
  std::uint32_t m_MaxBodyBytes = 1U << 20U;
  /// Requests in flight that a target in cold start gets first.
  std::uint32_t m_ColdStartLimit = 2;
  /// Whole answers of a target in cold start before its limit may rise.
  std::uint32_t m_ColdStartRequests = 40;
  friend bool operator==(const Profile &, const Profile &) = default;
};

/// How a route decides whether a request may be repeated.
enum class Idempotency : std::uint8_t {
  ByMethod, ///< As RFC 9110 defines for the method.
  Always,   ///< Every request of the route may be repeated.
  Never,    ///< No request of the route may be repeated.
};

/// Maps callers' requests to a service.
struct Route {
  std::string m_PathPrefix;
  /// Host header that the route is for, in lower case and without a port; empty
  /// matches all.
  std::string m_HostName;
  Idempotency m_Idempotency = Idempotency::ByMethod;
  friend bool operator==(const Route &, const Route &) = default;
};

/// A back end instance and the node beside it.
struct Target {
  std::string m_Name;
  std::string m_Host;
  std::string m_Zone;
  /// Link address of the node beside the target, `IP:PORT`.
  std::string m_GateAddress;
  /// Requests that the target runs at once.
  std::uint32_t m_Slots = 1;
  /// Connections that the target takes at once.
  std::uint32_t m_Connections = 1;
  friend bool operator==(const Target &, const Target &) = default;
};

/// A service with its routes and targets.
struct Service {
  std::string m_Name;
  std::string m_Profile;
  std::vector<Route> m_Routes;
  std::vector<Target> m_Targets;
  friend bool operator==(const Service &, const Service &) = default;
};

/// One route of the index by which calls are looked up; the views and pointers
/// lead into the services of its configuration.
struct RouteIndexEntry {
  std::string_view m_HostName;
  std::string_view m_PathPrefix;
  const Service *m_Service = nullptr;
  const Route *m_Route = nullptr;
};

/// Routes in the order of host name and path prefix.
using RouteIndex = std::vector<RouteIndexEntry>;

/// One whole, checked version. Unchanged services are shared between versions.
struct Configuration {
  VersionStamp m_Stamp;
  std::map<std::string, Zone, std::less<>> m_Zones;
  std::map<std::string, Profile, std::less<>> m_Profiles;
  std::map<std::string, std::shared_ptr<const Service>, std::less<>> m_Services;
  /// Made by makeRouteIndex from the services.
  RouteIndex m_Routes;
};

/// Shared ownership of a version that never changes again.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Tells whether operators let an availability zone take new work.
/// \param Config the version in force.
/// \param ZoneName the availability zone's name.
/// \returns false if the availability zone is out or unknown.
bool isZoneIn(const Configuration &Config, std::string_view ZoneName);

/// A route together with the service that it leads to.
struct RouteMatch {
  const Service *m_Service = nullptr;
  const Route *m_Route = nullptr;
};

/// Longest path prefix that a route may have, in bytes.
inline constexpr std::size_t MaxPathPrefixBytes = 256;

/// Makes the index of a configuration's routes.
/// \param Config the configuration; its services outlive the index.
/// \returns the index, sorted.
RouteIndex makeRouteIndex(const Configuration &Config);

/// Finds the route with the longest path prefix that fits; a route with a host
/// name goes before one without.
/// \param Config the version in force; the result points into it. One without
/// an index is indexed for this call alone, which is slow.
/// \param HostName the caller's Host header; its case and port don't matter.
/// \param Path the path of the request target.
/// \returns the match, with null pointers if there is none.
RouteMatch findRoute(const Configuration &Config, std::string_view HostName,
                     std::string_view Path);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_CONFIGURATION_H
