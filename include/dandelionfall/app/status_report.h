/// \file
/// Status of a node, served to operators at `GET /status`.
#ifndef DANDELIONFALL_APP_STATUS_REPORT_H
#define DANDELIONFALL_APP_STATUS_REPORT_H

#include "dandelionfall/core/configuration.h"

#include <cstdint>
#include <string>

namespace dandelionfall::app {

/// Snapshot of the state of one node.
struct StatusReport {
  std::string m_Host;
  std::string m_Zone;
  /// Identifies the start of the process; 32 hexadecimal digits.
  std::string m_Incarnation;
  std::string m_ProgramVersion;
  core::VersionStamp m_Held;
  core::VersionStamp m_Applied;
  core::VersionStamp m_HostList;
  bool m_Ready = false;
  bool m_Draining = false;
  /// Whether the node reads the platform's configuration service.
  bool m_Reader = false;
  std::uint32_t m_ControlLinks = 0;
  std::uint32_t m_ListedHosts = 0;
  std::uint64_t m_SourceCalls = 0;
  /// Name of the local target; empty if there is none.
  std::string m_Target;
  /// Maximum number of concurrent requests at the target.
  std::uint32_t m_TargetLimit = 0;
  std::uint32_t m_TargetInFlight = 0;
  std::uint32_t m_TargetQueued = 0;
  /// Callers' calls that await a final response.
  std::uint64_t m_OpenCalls = 0;
  /// How the node watches a shared store; empty with another source.
  std::string m_WatchMode;
  /// Number of nodes that follow this one.
  std::uint32_t m_Followers = 0;
  /// Version of the operators' configuration in force; 0 before the first.
  std::uint64_t m_ConfigurationVersion = 0;
  /// Number of the shared store's history; the held version counts in it.
  std::uint32_t m_StoreHistory = 0;
  /// Seconds since a shared store confirmed the state in force, to this node or
  /// one that it follows; -1 if it did not.
  double m_ConfirmedAgoS = -1;
  /// Seconds since the moment as of which the configuration in force is proved
  /// to be the newest one; -1 if it is not.
  double m_ProofAgeS = -1;
  /// Limits of the machine from the settings; 0 where none is stated.
  double m_ProcessorShare = 0;
  std::uint32_t m_Cores = 0;
  std::uint32_t m_MemoryMb = 0;
  std::uint32_t m_Descriptors = 0;
  double m_LinkMbps = 0;
  /// Memory reserved for the bodies of requests, its limit, and the number of
  /// requests that were refused for want of it.
  std::uint64_t m_BodyHeldBytes = 0;
  std::uint64_t m_BodyLimitBytes = 0;
  std::uint64_t m_BodiesRefused = 0;
  friend bool operator==(const StatusReport &, const StatusReport &) = default;
};

/// Serialises a report as one JSON object.
/// \param Report the report.
/// \returns the JSON text; digests are hexadecimal strings.
std::string toJson(const StatusReport &Report);

/// Parses the output of `toJson`; unknown keys are ignored.
/// \param Text the JSON text.
/// \returns the report.
/// \throws Error of kind MalformedMessage.
StatusReport statusFromJson(const std::string &Text);

/// Formats a report for people, one `name: value` line per field.
/// \param Report the report.
/// \returns the text, ending with a line break.
std::string toText(const StatusReport &Report);

/// Formats a report as one line of `key=value` pairs, so that many nodes can be
/// compared.
/// \param Report the report.
/// \returns the text, ending with a line break.
std::string toLine(const StatusReport &Report);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_STATUS_REPORT_H
