/// \file
/// What a target stand-in has seen, so that a test can check how often each
/// booking ran and how much work the target was given at once.
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
  /// Requests running or waiting inside the target, most at once.
  std::size_t m_MaxInFlight = 0;
  /// Requests that found every slot taken.
  std::uint64_t m_OverSlots = 0;
  /// Requests that found the target cold and at its cold limit.
  std::uint64_t m_OverColdLimit = 0;
  /// Requests answered by a refusal.
  std::uint64_t m_Refused = 0;
  /// Requests whose caller closed the connection before they ran.
  std::uint64_t m_Cancelled = 0;

  /// Counts the start of a run.
  /// \param Request the request that runs.
  /// \returns its number, from 1.
  std::uint64_t countRun(const HttpRequest &Request);

  /// Writes the counters as JSON.
  /// \param InFlight requests inside the target now.
  /// \param Connections what its server has seen.
  /// \returns one JSON object.
  std::string toJson(std::size_t InFlight,
                     const ConnectionCounters &Connections) const;
};

} // namespace dandelionfall::standin

#endif // DANDELIONFALL_STANDIN_TARGET_COUNTERS_H
