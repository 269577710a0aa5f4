/// \file
/// Records the events of one process for the timeline and writes them to the
/// log.
#ifndef DANDELIONFALL_APP_EVENT_RECORDER_H
#define DANDELIONFALL_APP_EVENT_RECORDER_H

#include "dandelionfall/core/event.h"
#include "dandelionfall/core/identity.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dandelionfall::app {

/// One event with its position on the timeline.
struct RecordedEvent {
  /// Lamport time: an event that could have caused another one has a smaller
  /// time.
  std::uint64_t m_LogicalTime = 0;
  /// Milliseconds since the Unix epoch on the process's own clock; informative
  /// only, as clocks of different hosts differ.
  std::int64_t m_WallMs = 0;
  /// Sequence number of the event within its process.
  std::uint64_t m_Sequence = 0;
  std::string m_Host;
  core::Event m_Event;
  friend bool operator==(const RecordedEvent &,
                         const RecordedEvent &) = default;
};

/// Lamport clock of a process. Thread-safe.
class LogicalClock {
public:
  LogicalClock();
  ~LogicalClock();
  LogicalClock(const LogicalClock &) = delete;
  LogicalClock &operator=(const LogicalClock &) = delete;

  /// Advances the clock for a local event or a message about to be sent.
  /// \returns the new time.
  std::uint64_t tick();
  /// Advances the clock to the time of a received message if that is later; the
  /// next tick is then past it.
  /// \param Received the sender's time; a value above 2^62, which no clock
  /// reaches by counting, is ignored.
  void merge(std::uint64_t Received);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Bounded store of events. Thread-safe.
class EventRecorder {
public:
  /// \param Host the node's host name.
  /// \param Clock the process's logical clock; must outlive the recorder.
  /// \param TraceRequests whether events of severity Debug and events about
  /// single requests are stored as well.
  EventRecorder(std::string Host, LogicalClock &Clock, bool TraceRequests);
  ~EventRecorder();
  EventRecorder(const EventRecorder &) = delete;
  EventRecorder &operator=(const EventRecorder &) = delete;

  /// Stores an event and logs it at its severity. When the store is full, the
  /// oldest event is evicted; Debug and per-request events have a buffer of
  /// their own and never evict other events.
  void record(const core::Event &Event);
  /// \returns the stored events, in the order in which they were recorded.
  std::vector<RecordedEvent> events() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Serialises events as a JSON array.
std::string eventsToJson(const std::vector<RecordedEvent> &Events);

/// Parses the output of `eventsToJson`.
/// \throws Error of kind MalformedMessage.
std::vector<RecordedEvent> eventsFromJson(const std::string &Text);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_EVENT_RECORDER_H
