/// \file
/// Counters of a target stand-in, by which tests check how often each booking
/// ran and how many requests the target received concurrently.
#ifndef DANDELIONFALL_STANDIN_TARGET_COUNTERS_H
#define DANDELIONFALL_STANDIN_TARGET_COUNTERS_H

#include "standin/http_server.h"

#include <cstdint>
#include <map>
#include <string>

namespace dandelionfall::standin {

/// Counters of one target since its start or the last reset.
struct TargetCounters {
  std::uint64_t m_Runs = 0;
  std::map<std::string, std::uint64_t> m_RunsByBooking;
  std::map<std::string, std::uint64_t> m_RunsByMethod;
  std::map<std::string, std::uint64_t> m_RunsByPath;
  /// Maximum number of requests running or queued inside the target.
  std::size_t m_MaxInFlight = 0;
  /// Requests that arrived while every slot was occupied.
  std::uint64_t m_OverSlots = 0;
  /// Requests that arrived while the target was cold and at its cold limit.
  std::uint64_t m_OverColdLimit = 0;
  /// Requests refused with status 503.
  std::uint64_t m_Refused = 0;
  /// Requests whose caller closed the connection before they ran.
  std::uint64_t m_Cancelled = 0;

  /// Counts the start of a run.
  /// \returns the number of the run, from 1.
  std::uint64_t countRun(const HttpRequest &Request);

  /// \param InFlight requests currently inside the target.
  /// \param Connections the counters of the target's server.
  /// \returns one JSON object, terminated by a newline.
  std::string toJson(std::size_t InFlight,
                     const ConnectionCounters &Connections) const;
};

} // namespace dandelionfall::standin

#endif // DANDELIONFALL_STANDIN_TARGET_COUNTERS_H
