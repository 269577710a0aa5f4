#include "dandelionfall/app/event_recorder.h"

#include "dandelionfall/app/logging.h"
#include "dandelionfall/core/error.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <limits>
#include <string>
#include <thread>
#include <vector>

using namespace dandelionfall;
using app::EventRecorder;
using app::LogicalClock;
using app::RecordedEvent;
using core::EventId;

TEST_CASE("the logical clock advances past every received time") {
  LogicalClock Clock;
  CHECK(Clock.tick() == 1);
  Clock.merge(41);
  CHECK(Clock.tick() == 42);
  Clock.merge(7);
  CHECK(Clock.tick() == 43);
}

TEST_CASE("a received time that no clock can reach is ignored") {
  constexpr std::uint64_t Largest = std::numeric_limits<std::uint64_t>::max();
  LogicalClock Clock;
  Clock.merge(Largest);
  Clock.merge(static_cast<std::uint64_t>(std::int64_t{-1}));
  CHECK(Clock.tick() == 1);
  Clock.merge(std::uint64_t{1} << 62U);
  CHECK(Clock.tick() == (std::uint64_t{1} << 62U) + 1);
}

TEST_CASE(
    "the recorder stores events in order, request events only with tracing") {
  for (const bool Trace : {false, true}) {
    CAPTURE(Trace);
    LogicalClock Clock;
    EventRecorder Recorder("host-1", Clock, Trace);
    Recorder.record({EventId::ProcessStarted, "first"});
    Recorder.record({EventId::RequestStarted, "second"});
    Recorder.record({EventId::ZoneOut, "third"});
    const std::vector<RecordedEvent> Events = Recorder.events();
    REQUIRE(Events.size() == (Trace ? 3 : 2));
    CHECK(Events.front().m_Event ==
          core::Event{EventId::ProcessStarted, "first"});
    CHECK(Events.back().m_Event == core::Event{EventId::ZoneOut, "third"});
    CHECK(Events.front().m_Host == "host-1");
    CHECK(Events.front().m_LogicalTime < Events.back().m_LogicalTime);
    CHECK(Events.front().m_Sequence < Events.back().m_Sequence);
  }
}

TEST_CASE("debug events never displace others, and both are bounded") {
  constexpr int Flood = 200'000;
  constexpr std::size_t Bound = 70'000;
  LogicalClock Clock;
  EventRecorder Recorder("host-1", Clock, true);
  Recorder.record({EventId::ConfigurationApplied, "kept"});
  for (int Count = 0; Count < Flood; ++Count)
    Recorder.record({EventId::RequestStarted, "r"});
  CHECK(Recorder.events().front().m_Event.m_Detail == "kept");
  CHECK(Recorder.events().size() < Bound);
  for (int Count = 0; Count < Flood; ++Count)
    Recorder.record({EventId::ZoneIn, "z"});
  CHECK(Recorder.events().size() < Bound);
  CHECK(Recorder.events().back().m_Event.m_Detail == "z");
}

TEST_CASE("concurrent recording loses no event and gives one order") {
  constexpr int Threads = 4;
  constexpr int EventsEach = 500;
  LogicalClock Clock;
  EventRecorder Recorder("host-1", Clock, false);
  std::vector<std::thread> Workers;
  Workers.reserve(Threads);
  for (int Index = 0; Index < Threads; ++Index) {
    Workers.emplace_back([&Recorder] {
      for (int Count = 0; Count < EventsEach; ++Count)
        Recorder.record({EventId::ZoneIn, ""});
    });
  }
  for (std::thread &Worker : Workers)
    Worker.join();
  const std::vector<RecordedEvent> Events = Recorder.events();
  REQUIRE(Events.size() == Threads * EventsEach);
  for (std::size_t Index = 1; Index < Events.size(); ++Index) {
    REQUIRE(Events[Index - 1].m_Sequence < Events[Index].m_Sequence);
    REQUIRE(Events[Index - 1].m_LogicalTime < Events[Index].m_LogicalTime);
  }
}

TEST_CASE("events survive a JSON round trip") {
  const std::vector<RecordedEvent> Events = {
      {7, 1'700'000'000'000, 1, "host-1", {EventId::ZoneOut, "sindos"}},
      {9, -5, 2, "host \"2\"", {EventId::CallerRejected, "line\nbreak \\"}},
  };
  CHECK(app::eventsFromJson(app::eventsToJson(Events)) == Events);
  CHECK(app::eventsFromJson("[]").empty());
}

TEST_CASE("bytes that are not valid UTF-8 do not break the JSON") {
  const std::string Text =
      app::eventsToJson({{1, 2, 3, "h", {EventId::CallerRejected, "\xff"}}});
  CHECK(app::eventsFromJson(Text).size() == 1);
}

TEST_CASE("malformed events are refused with a remedy") {
  const char *Cases[] = {
      "",
      "{}",
      "[1]",
      "[{}]",
      "[{\"time\":1}]",
      R"([{"time":1,"wall_ms":1,"sequence":1,"host":"h","event":99,"detail":""}])",
      R"([{"time":"x","wall_ms":1,"sequence":1,"host":"h","event":100,"detail":""}])",
      R"([{"time":1,"wall_ms":1,"sequence":1,"host":5,"event":100,"detail":""}])",
  };
  for (const char *Text : Cases) {
    CAPTURE(std::string(Text));
    try {
      app::eventsFromJson(Text);
      FAIL("accepted");
    } catch (const core::Error &Fault) {
      CHECK(Fault.kind() == core::ErrorKind::MalformedMessage);
      CHECK_FALSE(Fault.remedy().empty());
    }
  }
}

TEST_CASE("a log line is one line of key=value pairs with the event's number") {
  CHECK(app::formatEvent("host-1", {EventId::CallerRejected, "a \"b\"\n\\"}) ==
        "event=600 name=caller-rejected host=host-1 "
        "detail=\"a \\\"b\\\"\\x0a\\\\\"");
}
