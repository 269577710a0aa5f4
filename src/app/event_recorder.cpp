#include "dandelionfall/app/event_recorder.h"

#include "dandelionfall/app/logging.h"

#include <boost/circular_buffer.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iterator>
#include <mutex>
#include <utility>

namespace dandelionfall::app {

namespace {

constexpr std::size_t MaxEvents = 4096;
constexpr std::size_t MaxDebugEvents = 65536;
constexpr std::uint64_t MaxReceivedTime = std::uint64_t{1} << 62U;

std::int64_t wallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

struct LogicalClock::Impl {
  std::atomic<std::uint64_t> m_Time{0};
};

LogicalClock::LogicalClock() : m_Impl(std::make_unique<Impl>()) {}

LogicalClock::~LogicalClock() = default;

std::uint64_t LogicalClock::tick() { return ++m_Impl->m_Time; }

void LogicalClock::merge(std::uint64_t Received) {
  // A malformed time must not make the clock overflow and wrap around.
  if (Received > MaxReceivedTime)
    return;
  std::uint64_t Current = m_Impl->m_Time.load();
  while (Current < Received &&
         !m_Impl->m_Time.compare_exchange_weak(Current, Received)) {
  }
}

class EventRecorder::Impl {
public:
  Impl(std::string Host, LogicalClock &Clock, bool TraceRequests)
      : m_Host(std::move(Host)), m_Clock(Clock), m_TraceRequests(TraceRequests),
        m_Events(MaxEvents), m_DebugEvents(MaxDebugEvents) {}

  void record(const core::Event &Event) {
    logEvent(m_Host, Event);
    const core::EventInfo &Info = core::describe(Event.m_Id);
    const bool IsTraceEvent =
        Info.m_IsPerRequest || Info.m_Severity == core::Severity::Debug;
    if (IsTraceEvent && !m_TraceRequests)
      return;
    const std::lock_guard Lock(m_Mutex);
    // The clock advances under the lock so that sequence numbers and logical
    // times give the same order.
    RecordedEvent Entry{m_Clock.tick(), wallMilliseconds(), ++m_Sequence,
                        m_Host, Event};
    (IsTraceEvent ? m_DebugEvents : m_Events).push_back(std::move(Entry));
  }

  std::vector<RecordedEvent> events() const {
    const std::lock_guard Lock(m_Mutex);
    std::vector<RecordedEvent> Result;
    Result.reserve(m_Events.size() + m_DebugEvents.size());
    std::merge(m_Events.begin(), m_Events.end(), m_DebugEvents.begin(),
               m_DebugEvents.end(), std::back_inserter(Result),
               [](const RecordedEvent &Left, const RecordedEvent &Right) {
                 return Left.m_Sequence < Right.m_Sequence;
               });
    return Result;
  }

private:
  // Allocates memory as it fills, because most nodes record few events.
  using EventBuffer = boost::circular_buffer_space_optimized<RecordedEvent>;

  std::string m_Host;
  LogicalClock &m_Clock;
  bool m_TraceRequests;
  mutable std::mutex m_Mutex;
  std::uint64_t m_Sequence = 0;
  EventBuffer m_Events;
  EventBuffer m_DebugEvents;
};

EventRecorder::EventRecorder(std::string Host, LogicalClock &Clock,
                             bool TraceRequests)
    : m_Impl(std::make_unique<Impl>(std::move(Host), Clock, TraceRequests)) {}

EventRecorder::~EventRecorder() = default;

void EventRecorder::record(const core::Event &Event) { m_Impl->record(Event); }

std::vector<RecordedEvent> EventRecorder::events() const {
  return m_Impl->events();
}

} // namespace dandelionfall::app
