/// \file
/// Numbered events for the log and the timeline.
#ifndef DANDELIONFALL_CORE_EVENT_H
#define DANDELIONFALL_CORE_EVENT_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace dandelionfall::core {

/// Severity of an event.
enum class Severity : std::uint8_t { Debug, Info, Warning, Error };

/// Event numbers. Their meanings must not change, since operators' tools refer
/// to the numbers. The table in event.cpp describes each event, and
/// docs/EVENTS.md lists them for operators. 1xx process, 2xx configuration, 3xx
/// overlay, 4xx requests, 5xx load, 6xx callers, 7xx records of a shared store.
enum class EventId : std::uint16_t {
  ProcessStarted = 100,
  ProcessReady = 101,
  DrainStarted = 102,
  DrainFinished = 103,
  SettingsRead = 104,
  SettingsRefused = 105,
  ThreadFailed = 106,
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
  MessageUnsendable = 409,
  ResponseUndelivered = 410,
  RequestFinished = 420,
  RampRestarted = 500,
  RampFinished = 501,
  ZoneOut = 502,
  ZoneIn = 503,
  ZoneTrafficChanged = 504,
  TargetHeldOff = 520,
  TargetRateStated = 521,
  StatementMalformed = 522,
  TargetLeaving = 523,
  TargetEnded = 524,
  RequestQuarantined = 525,
  RequestCleared = 526,
  KeysUnproved = 527,
  KeysProved = 528,
  CallerRejected = 600,
  TargetListed = 700,
  TargetDraining = 701,
  TargetRemoved = 702,
  TargetLapsed = 703,
  RecordRefused = 704,
  ZoneTakenOut = 705,
  ZoneTakenBack = 706,
  RecordsFromPeer = 707,
  FeedFollowed = 708,
  FeedLost = 709,
  WatchModeChanged = 710,
  FollowerBehind = 711,
  StoreCallFailed = 712,
  FollowerCaughtUp = 713,
  ControlThreadBusy = 714,
  ControlTimerLate = 715,
  StoreReplyDropped = 716,
  StoreHistoryReplaced = 717,
  RecordRetained = 718,
  AccountantChanged = 800,
};

/// Description of an event number.
struct EventInfo {
  EventId m_Id;
  std::string_view m_Name;
  Severity m_Severity;
  std::string_view m_Meaning;
  /// Whether the event concerns a single request. Such events are always
  /// logged, but recorded for the timeline only if requests are traced.
  bool m_IsPerRequest = false;
};

/// \returns all event numbers in ascending order, as a static table.
std::span<const EventInfo> eventCatalogue();

/// \returns the catalogue entry of \p Id.
/// \throws std::logic_error if the catalogue lacks it.
const EventInfo &describe(EventId Id);

/// An event reported by the decision logic.
struct Event {
  EventId m_Id;
  std::string m_Detail;
  friend bool operator==(const Event &, const Event &) = default;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_EVENT_H
