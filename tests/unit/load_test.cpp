#include "dandelionfall/app/load_plan.h"
#include "dandelionfall/app/load_report.h"
#include "dandelionfall/core/error.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

using namespace dandelionfall;
using app::Arrivals;
using app::ArrivalSchedule;
using app::CallPicker;
using app::LoadCall;
using app::LoadOutcome;
using app::LoadReport;
using std::chrono::milliseconds;

TEST_CASE("arrivals have the mean rate and ascending times") {
  constexpr int Calls = 20'000;
  for (const Arrivals Kind : {Arrivals::Even, Arrivals::Exponential}) {
    ArrivalSchedule Schedule(Kind, 1000, 7);
    core::Duration Last{0};
    for (int Index = 0; Index < Calls; ++Index) {
      const core::Duration Next = Schedule.next();
      REQUIRE(Next >= Last);
      Last = Next;
    }
    CHECK(std::chrono::duration<double>(Last).count() ==
          doctest::Approx(20).epsilon(0.03));
  }
}

TEST_CASE("equal seeds give equal schedules, different seeds differ") {
  ArrivalSchedule Left(Arrivals::Exponential, 100, 1);
  ArrivalSchedule Same(Arrivals::Exponential, 100, 1);
  ArrivalSchedule Other(Arrivals::Exponential, 100, 2);
  const core::Duration First = Left.next();
  CHECK(First == Same.next());
  CHECK(First != Other.next());
}

TEST_CASE("each preset has the deployment's services and bookings") {
  constexpr int Calls = 10'000;
  const std::map<std::string, std::set<std::string>> Expected = {
      {"thessaloniki",
       {"GET /slotboard/", "GET /lanewatch/", "GET /chartroom/",
        "POST /escortdesk/"}},
      {"kerala",
       {"GET /limitdesk/", "GET /loadbook/", "GET /inspectra/",
        "POST /permitworks/"}},
  };
  CHECK(app::loadPresets().size() == Expected.size());
  for (const auto &Entry : Expected) {
    CAPTURE(Entry.first);
    CallPicker Picker(app::findLoadPreset(Entry.first), 3);
    std::set<std::string> Seen;
    for (int Index = 0; Index < Calls; ++Index) {
      const LoadCall &Call = Picker.next();
      CHECK(Call.m_HasBooking == (Call.m_Method == "POST"));
      const std::string Path(Call.m_Path);
      Seen.insert(std::string(Call.m_Method) + " " +
                  Path.substr(0, Path.find('/', 1) + 1));
    }
    CHECK(Seen == Entry.second);
  }
}

TEST_CASE("percentiles are nearest ranks of the answered calls") {
  LoadReport Report(milliseconds(9'990));
  for (int Ms = 10'000; Ms >= 1; --Ms)
    Report.record(LoadOutcome::Answered, milliseconds(Ms));
  Report.record(LoadOutcome::NotRun, milliseconds(1));
  CHECK(Report.percentile(50) == milliseconds(5'000));
  CHECK(Report.percentile(99) == milliseconds(9'900));
  CHECK(Report.percentile(99.99) == milliseconds(9'999));
  CHECK(Report.percentile(100) == milliseconds(10'000));
  CHECK(Report.deadlineMisses() == 10);
  CHECK(Report.total() == 10'001);
}

TEST_CASE("a call without a response misses its deadline, a refusal does not") {
  LoadReport Report(milliseconds(100));
  Report.record(LoadOutcome::Failed, milliseconds(1));
  Report.record(LoadOutcome::NotRun, milliseconds(1));
  Report.record(LoadOutcome::Unknown, milliseconds(101));
  Report.record(LoadOutcome::Answered, milliseconds(100));
  Report.recordStart(milliseconds(4));
  Report.recordStart(milliseconds(3));
  CHECK(Report.deadlineMisses() == 2);
  const std::string Line = Report.summary();
  for (const char *Pair :
       {"calls=4 ", "answered=1 ", "not_run=1 ", "unknown=1 ", "failed=1 ",
        "deadline_misses=2 ", "in_time_pct=25.000 ", "p99_99_ms=100.000 ",
        "latest_start_ms=4.000"}) {
    CAPTURE(std::string(Pair));
    CHECK(Line.find(Pair) != std::string::npos);
  }
}

TEST_CASE("a report without calls has no percentiles") {
  LoadReport Report(milliseconds(1));
  CHECK(Report.percentile(99) == core::Duration::zero());
  CHECK(Report.summary().find("calls=0 ") == 0);
}
