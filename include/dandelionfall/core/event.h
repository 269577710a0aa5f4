/// \file
/// Numbered events for logs and the time line.
#ifndef DANDELIONFALL_CORE_EVENT_H
#define DANDELIONFALL_CORE_EVENT_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace dandelionfall::core {

/// Severity of an event.
enum class Severity : std::uint8_t { Debug, Info, Warning, Error };

/// Event numbers; a number keeps its meaning for good. The table in event.cpp
/// describes each one, and docs/EVENTS.md is its catalogue. 1xx process, 2xx
/// configuration, 3xx overlay, 4xx requests, 5xx load, 6xx callers,
/// 7xx what a shared store says.
enum class EventId : std::uint16_t {
  ProcessStarted = 100,
  ProcessReady = 101,
  DrainStarted = 102,
  DrainFinished = 103,
  SettingsRead = 104,
  SettingsRefused = 105,
  ConfigurationHeld = 200,
  ConfigurationApplied = 201,
  ConfigurationRefused = 202,
  SourceUnavailable = 203,
  SourceAvailable = 204,
  VersionConflict = 205,
  AppliedWithoutHolders = 206,
  HostListRead = 207,
  VersionGivenUp = 208,
  ControlLinkOpened = 300,
  ControlLinkClosed = 301,
  NeighbourReplaced = 302,
  TrafficLinkOpened = 400,
  TrafficLinkClosed = 401,
  EpochRaised = 402,
  OutcomeUnknown = 403,
  RequestDispatched = 404,
  RequestStarted = 405,
  RequestSettled = 406,
  RequestRefused = 407,
  RequestNotServed = 408,
  RequestFinished = 420,
  RampRestarted = 500,
  RampFinished = 501,
  ZoneOut = 502,
  ZoneIn = 503,
  TargetHeldOff = 520,
  CallerRejected = 600,
  TargetListed = 700,
  TargetDraining = 701,
  TargetRemoved = 702,
  TargetLapsed = 703,
  RecordRefused = 704,
  ZoneTakenOut = 705,
  ZoneTakenBack = 706,
  RecordsFromPeer = 707,
};

/// Describes one event number.
struct EventInfo {
  EventId m_Id;
  std::string_view m_Name;
  Severity m_Severity;
  std::string_view m_Meaning;
  /// Whether it tells of a single request; such events are logged, but kept for
  /// the time line only where requests are traced.
  bool m_IsPerRequest = false;
};

/// Lists every event number that the program can report, in ascending order.
/// \returns a table that lives as long as the program.
std::span<const EventInfo> eventCatalogue();

/// Looks an event number up in the catalogue.
/// \param Id the number.
/// \returns its description.
const EventInfo &describe(EventId Id);

/// Something that happened, as reported by the decision logic.
struct Event {
  EventId m_Id;
  std::string m_Detail;
  friend bool operator==(const Event &, const Event &) = default;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_EVENT_H
