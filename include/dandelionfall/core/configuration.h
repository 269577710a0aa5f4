/// \file
/// A version of the configuration: availability zones, profiles, services with
/// their routes and targets.
///
/// All types are values that are built once and then shared only through
/// pointers to const.
#ifndef DANDELIONFALL_CORE_CONFIGURATION_H
#define DANDELIONFALL_CORE_CONFIGURATION_H

#include "dandelionfall/core/team.h"
#include "dandelionfall/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace dandelionfall::core {

/// Version number of a published configuration; 0 if there is none.
using Version = std::uint64_t;

/// Digest of a published value (XXH3, 64 bits).
using Digest = std::uint64_t;

/// A version and the digest of its manifest; orders by version first.
struct VersionStamp {
  Version m_Version = 0;
  Digest m_Digest = 0;
  friend auto operator<=>(const VersionStamp &, const VersionStamp &) = default;
};

/// State of an availability zone as set by operators: `In` takes new requests,
/// `Out` is out of service.
enum class ZoneState : std::uint8_t { In, Out };

/// An availability zone.
struct Zone {
  std::string m_Name;
  std::string m_Region;
  ZoneState m_State = ZoneState::In;
  friend bool operator==(const Zone &, const Zone &) = default;
};

/// Named policy for deadlines, retries and limits of the services that refer
/// to it.
struct Profile {
  std::string m_Name;
  /// Deadline of a call that does not state one.
  Duration m_Deadline = std::chrono::seconds(2);
  /// Time without a response after which an idempotent request is sent to
  /// another target.
  Duration m_AttemptTimeout = std::chrono::seconds(1);
  /// Time after the deadline before the request is cancelled, so that a target
  /// that observes the deadline can report the timeout itself.
  Duration m_AnswerGrace{0};
  /// Maximum number of requests queued at a gate.
  std::uint32_t m_QueueLimit = 32;
  /// Retries that 100 successful requests add to a node's retry budget for the
  /// service.
  std::uint32_t m_RetryPercent = 10;
  /// Number of retries up to which that budget refills over time, even without
  /// successful requests.
  double m_RetryFloor = 3.0;
  /// Rate of that refill, in retries per second.
  double m_RetryFloorPerSecond = 1.0;
  /// Maximum number of retries in that budget.
  double m_RetryCeiling = 100.0;
  /// Maximum size of a request body in bytes.
  std::uint32_t m_MaxBodyBytes = 1U << 20U;
  /// Limit of requests in flight at which a target in cold start begins.
  std::uint32_t m_ColdStartLimit = 2;
  /// Complete responses required from a target in cold start before its limit
  /// can rise.
  std::uint32_t m_ColdStartRequests = 40;
  friend bool operator==(const Profile &, const Profile &) = default;
};

/// How a route determines whether a request can be repeated.
enum class Idempotency : std::uint8_t {
  ByMethod, ///< As RFC 9110 defines for the method.
  Always,   ///< Every request of the route can be repeated.
  Never,    ///< No request of the route can be repeated.
};

/// A service that receives a share of a route's requests.
struct WeightedService {
  std::string m_Service;
  /// Weight; the share is its ratio to the sum of the route's weights.
  double m_Weight = 0;
  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

/// Maps callers' requests to a service, or divides them among several.
struct Route {
  std::string m_PathPrefix;
  /// Host header to match, in lower case and without a port; empty matches all.
  std::string m_HostName;
  Idempotency m_Idempotency = Idempotency::ByMethod;
  /// Maximum time until the caller receives a response; 0 if the route sets no
  /// limit.
  Duration m_Timeout{0};
  /// Soft deadline, as time since the request arrived: a later response counts
  /// as late; 0 if there is none.
  Duration m_TargetLatency{0};
  /// Maximum number of attempts for a request; 0 uses the node's default.
  std::uint32_t m_MaxAttempts = 0;
  /// Priority among the requests of a service; 0 is the highest.
  std::uint32_t m_Priority = 0;
  /// Services among which the requests are divided; empty if the route is
  /// defined in the part of a single service.
  std::vector<WeightedService> m_Split{};
  /// Whether callers need no key, even if the configuration has teams.
  bool m_Public = false;
  friend bool operator==(const Route &, const Route &) = default;
};

/// A back-end instance and its local node.
struct Target {
  std::string m_Name;
  std::string m_Host;
  std::string m_Zone;
  /// Link address of the target's node, `IP:PORT`.
  std::string m_GateAddress;
  /// Requests that the target runs concurrently.
  std::uint32_t m_Slots = 1;
  /// Connections that the target accepts concurrently.
  std::uint32_t m_Connections = 1;
  /// Listening address of the target, `IP:PORT`; empty if only the target's
  /// gate knows it.
  std::string m_Address{};
  /// End of the target's cold start on this process's clock, if the target has
  /// announced one.
  std::optional<TimePoint> m_ColdUntil = std::nullopt;
  /// Whether the target is about to stop and receives no new requests.
  bool m_Draining = false;
  /// Start of the target in ms since the Unix epoch, if it has announced it.
  /// Tells apart targets that start one after the other under the same name.
  std::int64_t m_StartedAtMs = 0;
  friend bool operator==(const Target &, const Target &) = default;
};

/// One start of a target.
struct TargetInstance {
  std::string m_Name;
  std::int64_t m_StartedAtMs = 0;
  friend bool operator==(const TargetInstance &,
                         const TargetInstance &) = default;
  friend bool operator<(const TargetInstance &Left,
                        const TargetInstance &Right) {
    return std::tie(Left.m_Name, Left.m_StartedAtMs) <
           std::tie(Right.m_Name, Right.m_StartedAtMs);
  }
};

/// \returns the start of the target that an entry describes.
inline TargetInstance instanceOf(const Target &Entry) {
  return {Entry.m_Name, Entry.m_StartedAtMs};
}

/// A service with its routes and targets.
struct Service {
  std::string m_Name;
  std::string m_Profile;
  std::vector<Route> m_Routes;
  std::vector<Target> m_Targets;
  /// Duration of a target's cold start; 0 if targets don't announce cold
  /// starts.
  Duration m_ColdStart{0};
  /// Requests per second that a cold target can handle; 0 means no limit.
  double m_ColdRequestsPerSecond = 0;
  friend bool operator==(const Service &, const Service &) = default;
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits {
  std::uint32_t m_MaxHeaderBytes = 16U << 10U;
  std::uint64_t m_MaxBodyBytes = 8U << 20U;
  /// Maximum time from the first to the last byte of a request.
  Duration m_RequestTimeout = std::chrono::seconds(10);
  /// Time after which a connection without requests is closed.
  Duration m_IdleTimeout = std::chrono::seconds(60);
  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// One route of the index used to look up calls. The views and pointers refer
/// to data of the indexed configuration.
struct RouteIndexEntry {
  std::string_view m_HostName;
  std::string_view m_PathPrefix;
  const Service *m_Service = nullptr;
  const Route *m_Route = nullptr;
  /// Number of entries back to the longest other prefix of the same host that
  /// begins this one; 0 if there is none.
  std::size_t m_ToShorter = 0;
};

/// Routes sorted by host name, then by path prefix.
using RouteIndex = std::vector<RouteIndexEntry>;

/// A complete, validated version. Versions share unchanged services.
struct Configuration {
  VersionStamp m_Stamp;
  std::map<std::string, Zone, std::less<>> m_Zones;
  std::map<std::string, Profile, std::less<>> m_Profiles;
  std::map<std::string, std::shared_ptr<const Service>, std::less<>> m_Services;
  /// Routes that divide their requests among services; null if every route
  /// belongs to one service.
  std::shared_ptr<const std::vector<Route>> m_SplitRoutes;
  /// Limits of the port for callers, if the configuration sets them.
  std::optional<CallerLimits> m_CallerLimits;
  /// Teams; null if callers need no keys.
  std::shared_ptr<const TeamTable> m_Teams;
  /// Result of makeRouteIndex for the services and the split routes.
  RouteIndex m_Routes;
};

/// Shared ownership of an immutable version.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Checks whether an availability zone is in service.
/// \param Config the applied version.
/// \param ZoneName the availability zone's name.
/// \returns false if the availability zone is out or unknown.
bool isZoneIn(const Configuration &Config, std::string_view ZoneName);

/// A route and its service; the service of a split route is null.
struct RouteMatch {
  const Service *m_Service = nullptr;
  const Route *m_Route = nullptr;
};

/// Builds the index of a configuration's routes.
/// \param Config the configuration; its services must outlive the index.
/// \returns the index, sorted.
RouteIndex makeRouteIndex(const Configuration &Config);

/// Finds the route with the longest matching path prefix; routes that match the
/// host name take precedence over routes without one. The time grows with the
/// logarithm of the number of routes and with the prefixes that begin one
/// another, but not with the number of slashes in the path.
/// \param Config the applied version; the result points into it. If it has no
/// index, one is built for this call only, which is slow.
/// \param HostName the caller's Host header; case and port are ignored.
/// \param Path the path in the request; a query is ignored.
/// \returns the match, with null pointers if there is none.
RouteMatch findRoute(const Configuration &Config, std::string_view HostName,
                     std::string_view Path);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_CONFIGURATION_H
