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
#include <optional>
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
  Duration m_AttemptTimeout = std::chrono::seconds(1);
  /// Time beyond the deadline in which a target that keeps to it may still tell
  /// so itself, before the request is broken off.
  Duration m_AnswerGrace{0};
  /// Requests that may wait at a gate.
  std::uint32_t m_QueueLimit = 32;
  /// Retries allowed for each 100 successful requests.
  std::uint32_t m_RetryPercent = 10;
  /// Retries that one node may always make, earned or not.
  double m_RetryFloor = 3.0;
  /// Rate at which they grow back, per second.
  double m_RetryFloorPerSecond = 1.0;
  /// Most retries that one node saves up.
  double m_RetryCeiling = 100.0;
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

/// A service that gets a share of a route's requests.
struct WeightedService {
  std::string m_Service;
  /// Share in proportion to the sum of all parts' weights.
  double m_Weight = 0;
  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

/// Maps callers' requests to a service.
struct Route {
  std::string m_PathPrefix;
  /// Host header that the route is for, in lower case and without a port; empty
  /// matches all.
  std::string m_HostName;
  Idempotency m_Idempotency = Idempotency::ByMethod;
  /// Longest time that a caller is kept waiting; 0 means no bound of the
  /// route's own.
  Duration m_Timeout{0};
  /// Time within which an answer is wanted; 0 if none is named.
  Duration m_TargetLatency{0};
  /// Most targets that one request may be handed to; 0 leaves it to the node.
  std::uint32_t m_MaxAttempts = 0;
  /// Rank among the requests of a service; 0 is the highest.
  std::uint32_t m_Priority = 0;
  /// Services that share the requests; empty if the route belongs to one
  /// service's part.
  std::vector<WeightedService> m_Split{};
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
  /// Where the target listens, `IP:PORT`; empty if only its gate knows.
  std::string m_Address{};
  /// When the target's cold start ends on this process's clock, if it has
  /// announced one.
  std::optional<TimePoint> m_ColdUntil = std::nullopt;
  /// Takes no new work: it is about to leave.
  bool m_Draining = false;
  friend bool operator==(const Target &, const Target &) = default;
};

/// A service with its routes and targets.
struct Service {
  std::string m_Name;
  std::string m_Profile;
  std::vector<Route> m_Routes;
  std::vector<Target> m_Targets;
  /// Time that a target is cold after its start; 0 if targets don't announce
  /// cold starts.
  Duration m_ColdStart{0};
  /// Requests a second that a cold target bears; 0 means no bound.
  double m_ColdRequestsPerSecond = 0;
  friend bool operator==(const Service &, const Service &) = default;
};

/// Bounds on what callers may send, and on how long they may take.
struct CallerLimits {
  std::uint32_t m_MaxHeaderBytes = 16U << 10U;
  std::uint64_t m_MaxBodyBytes = 8U << 20U;
  /// Time from the first byte of a request to its last.
  Duration m_RequestTimeout = std::chrono::seconds(10);
  /// Time that a connection may stay open without a request.
  Duration m_IdleTimeout = std::chrono::seconds(60);
  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
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
  /// Routes that lead to services by their split; null if every route belongs
  /// to a service.
  std::shared_ptr<const std::vector<Route>> m_SplitRoutes;
  /// Limits of the callers' port, where the configuration sets them.
  std::optional<CallerLimits> m_CallerLimits;
  /// Made by makeRouteIndex from the services and the split routes.
  RouteIndex m_Routes;
};

/// Shared ownership of a version that never changes again.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Tells whether operators let an availability zone take new work.
/// \param Config the version in force.
/// \param ZoneName the availability zone's name.
/// \returns false if the availability zone is out or unknown.
bool isZoneIn(const Configuration &Config, std::string_view ZoneName);

/// A route together with the service that it leads to; a split route has no
/// service of its own.
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
