/// \file
/// What a node tells operators about itself at `GET /status`.
#ifndef DANDELIONFALL_APP_STATUS_REPORT_H
#define DANDELIONFALL_APP_STATUS_REPORT_H

#include "dandelionfall/core/configuration.h"

#include <cstdint>
#include <string>

namespace dandelionfall::app {

/// State of one node at one moment.
struct StatusReport {
  std::string m_Host;
  std::string m_Zone;
  /// The process start, 32 hexadecimal digits.
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
  /// Name of the target beside the node; empty if there is none.
  std::string m_Target;
  /// Requests that the target may run at once.
  std::uint32_t m_TargetLimit = 0;
  std::uint32_t m_TargetInFlight = 0;
  std::uint32_t m_TargetQueued = 0;
  /// Callers' calls without a final answer.
  std::uint64_t m_OpenCalls = 0;
  friend bool operator==(const StatusReport &, const StatusReport &) = default;
};

/// Writes a report as one JSON object.
/// \param Report the report.
/// \returns the JSON text; digests are hexadecimal strings.
std::string toJson(const StatusReport &Report);

/// Reads what `toJson` wrote; keys that are not known are ignored.
/// \param Text the JSON text.
/// \returns the report.
/// \throws Error of kind MalformedMessage.
StatusReport statusFromJson(const std::string &Text);

/// Writes a report for people, one `name: value` line a field.
/// \param Report the report.
/// \returns the text, ending with a line break.
std::string toText(const StatusReport &Report);

/// Writes a report as one line of `key=value` pairs, so that many nodes can be
/// compared.
/// \param Report the report.
/// \returns the text, ending with a line break.
std::string toLine(const StatusReport &Report);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_STATUS_REPORT_H
