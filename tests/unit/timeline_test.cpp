#include "dandelionfall/app/timeline.h"

#include "dandelionfall/core/error.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace dandelionfall;
using app::RecordedEvent;
using core::EventId;

namespace {

// A applies version 7 and sends it to B, whose wall clock is an hour behind. B
// sends it to C, whose wall clock is an hour ahead, and C's refusal reaches A.
const RecordedEvent AApplies{
    10, 5'000'000, 1, "a", {EventId::ConfigurationApplied, "7"}};
const RecordedEvent AReceives{
    40, 5'000'900, 2, "a", {EventId::SourceUnavailable, ""}};
const RecordedEvent BApplies{
    20, 1'400'000, 1, "b", {EventId::ConfigurationApplied, "7"}};
const RecordedEvent CApplies{
    30, 8'600'000, 8, "c", {EventId::ConfigurationApplied, "7"}};
const RecordedEvent CRefuses{
    30, 8'600'000, 9, "c", {EventId::ConfigurationRefused, "8"}};

std::vector<RecordedEvent> mergeCrossedClocks() {
  return app::mergeEvents(
      {{CApplies, CRefuses}, {BApplies}, {AApplies, AReceives}});
}

bool contains(const std::string &Text, const std::string &Expected) {
  return Text.find(Expected) != std::string::npos;
}

std::string render(const char *Format,
                   const std::vector<RecordedEvent> &Events) {
  return app::findTimelineRenderer(Format).render(Events);
}

} // namespace

TEST_CASE("causes precede effects even if the wall clocks disagree") {
  CHECK(mergeCrossedClocks() == std::vector<RecordedEvent>{AApplies, BApplies,
                                                           CApplies, CRefuses,
                                                           AReceives});
}

TEST_CASE("the order does not depend on the order of the processes") {
  std::vector<std::vector<RecordedEvent>> Processes = {
      {AApplies, AReceives}, {BApplies}, {CApplies, CRefuses}};
  std::sort(Processes.begin(), Processes.end(),
            [](const auto &Left, const auto &Right) {
              return Left.front().m_Host < Right.front().m_Host;
            });
  const std::vector<RecordedEvent> Expected = mergeCrossedClocks();
  do {
    CHECK(app::mergeEvents(Processes) == Expected);
  } while (std::next_permutation(Processes.begin(), Processes.end(),
                                 [](const auto &Left, const auto &Right) {
                                   return Left.front().m_Host <
                                          Right.front().m_Host;
                                 }));
}

TEST_CASE("events at one logical time are ordered by host and sequence") {
  const RecordedEvent First{5, 9, 3, "a", {EventId::ZoneOut, "x"}};
  const RecordedEvent Second{5, 1, 1, "b", {EventId::ZoneOut, "x"}};
  const RecordedEvent Third{5, 0, 2, "b", {EventId::ZoneIn, "x"}};
  CHECK(app::mergeEvents({{Second, Third}, {First}}) ==
        std::vector<RecordedEvent>{First, Second, Third});
}

TEST_CASE("a process that is named twice shows its events once") {
  CHECK(app::mergeEvents({{AApplies, AReceives}, {AApplies, AReceives}}) ==
        std::vector<RecordedEvent>{AApplies, AReceives});
  CHECK(app::mergeEvents({}).empty());
}

TEST_CASE("as text each event is one line without control characters") {
  const std::string Text = render(
      "text", {{3, 0, 1, "host-1", {EventId::CallerRejected, "a\x1b[2Jb\nc"}}});
  CHECK(contains(Text, "host-1 warning 600 caller-rejected"));
  CHECK(contains(Text, "a?[2Jb?c\n"));
  CHECK(std::count(Text.begin(), Text.end(), '\n') == 1);
}

TEST_CASE("the timeline as JSON can be parsed again") {
  CHECK(app::eventsFromJson(render("json", mergeCrossedClocks())) ==
        mergeCrossedClocks());
}

TEST_CASE("as trace events each host is a process with ascending instants") {
  const auto Document =
      nlohmann::json::parse(render("trace", mergeCrossedClocks()));
  std::vector<std::string> Hosts;
  std::vector<std::uint64_t> Instants;
  for (const auto &Row : Document.at("traceEvents")) {
    if (Row.at("ph") == "M") {
      CHECK(Row.at("name") == "process_name");
      Hosts.push_back(Row.at("args").at("name"));
      continue;
    }
    CHECK(Row.at("ph") == "i");
    CHECK(Row.at("pid").get<std::size_t>() <= Hosts.size());
    Instants.push_back(Row.at("ts"));
  }
  CHECK(Hosts == std::vector<std::string>{"a", "b", "c"});
  CHECK(Instants == std::vector<std::uint64_t>{10, 20, 30, 30, 40});
}

TEST_CASE("as SVG each event is a dot on its host's line") {
  const std::string Picture =
      render("svg", {AApplies,
                     BApplies,
                     {50, 0, 2, "b", {EventId::CallerRejected, "<&\">"}}});
  CHECK(Picture.starts_with("<svg "));
  CHECK(contains(Picture, ">a</text>"));
  CHECK(contains(Picture, ">b</text>"));
  CHECK(contains(Picture, "&lt;&amp;&quot;&gt;</title>"));
  std::size_t Dots = 0;
  for (std::size_t At = Picture.find("<circle"); At != std::string::npos;
       At = Picture.find("<circle", At + 1))
    ++Dots;
  CHECK(Dots == 3);
}

TEST_CASE("every renderer accepts an empty timeline") {
  for (const app::TimelineRenderer *Each : app::timelineRenderers()) {
    CAPTURE(std::string(Each->name()));
    CHECK(&app::findTimelineRenderer(Each->name()) == Each);
    CHECK_NOTHROW(Each->render({}));
  }
}

TEST_CASE("an unknown format is refused with the known ones") {
  try {
    app::findTimelineRenderer("png");
    FAIL("accepted");
  } catch (const core::Error &Fault) {
    CHECK(Fault.kind() == core::ErrorKind::Usage);
    CHECK(contains(Fault.remedy(), "text, json, trace, svg"));
  }
}
