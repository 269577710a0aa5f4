/// \file
/// Keeps the events of one process for the time line and writes them to the
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

/// One event with its place on the time line.
struct RecordedEvent {
  /// Lamport time: an event that could have caused another one has the smaller
  /// time.
  std::uint64_t m_LogicalTime = 0;
  /// Milliseconds since 1970 on the process's own clock; a hint only.
  std::int64_t m_WallMs = 0;
  /// Order among the events of one process.
  std::uint64_t m_Sequence = 0;
  std::string m_Host;
  core::Event m_Event;
  friend bool operator==(const RecordedEvent &,
                         const RecordedEvent &) = default;
};

/// Lamport clock of a process. Safe for use by several threads.
class LogicalClock {
public:
  LogicalClock();
  ~LogicalClock();
  LogicalClock(const LogicalClock &) = delete;
  LogicalClock &operator=(const LogicalClock &) = delete;

  /// Advances the clock for a local event or a message about to be sent.
  /// \returns the new time.
  std::uint64_t tick();
  /// Advances the clock past the time of a received message.
  /// \param Received the sender's time; one above 2^62, which no clock reaches
  /// by counting, is ignored.
  void merge(std::uint64_t Received);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Bounded store of events. Safe for use by several threads.
class EventRecorder {
public:
  /// \param Host the node's host name.
  /// \param Clock the process's logical clock; must outlive the recorder.
  /// \param TraceRequests whether events of severity Debug and of single
  /// requests are kept as well.
  EventRecorder(std::string Host, LogicalClock &Clock, bool TraceRequests);
  ~EventRecorder();
  EventRecorder(const EventRecorder &) = delete;
  EventRecorder &operator=(const EventRecorder &) = delete;

  /// Keeps an event and logs it at its severity. Old events give way to new
  /// ones, those of severity Debug only to their like.
  void record(const core::Event &Event);
  /// \returns the events kept, in the order in which they were recorded.
  std::vector<RecordedEvent> events() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Writes events as a JSON array.
std::string eventsToJson(const std::vector<RecordedEvent> &Events);

/// Reads what `eventsToJson` wrote.
/// \throws Error of kind MalformedMessage.
std::vector<RecordedEvent> eventsFromJson(const std::string &Text);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_EVENT_RECORDER_H
