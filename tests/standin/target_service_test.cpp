#include "standin/fake_exchange.h"
#include "standin/target_service.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <vector>

using namespace dandelionfall::standin;

namespace {

TargetOptions smallOptions() {
  TargetOptions Options;
  Options.m_Name = "slotboard-1";
  Options.m_Slots = 2;
  Options.m_ServiceTime = std::chrono::milliseconds(1);
  Options.m_ProbeTime = std::chrono::milliseconds(1);
  Options.m_ColdRequests = 0;
  Options.m_ColdLimit = 1;
  Options.m_CollapseFactor = 50;
  return Options;
}

struct Fixture {
  explicit Fixture(const TargetOptions &Options = smallOptions())
      : m_Service(m_Context, Options) {}

  FakeExchangePtr send(const std::string &Booking = "",
                       const std::string &Path = "/book") {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    if (!Booking.empty())
      Request.m_Headers["booking"] = Booking;
    auto Result = std::make_shared<FakeExchange>();
    m_Service.handle(Request, Result);
    return Result;
  }

  FakeExchangePtr admin(const std::string &Method, const std::string &Path,
                        const std::string &Body = "") {
    return callAdmin(
        Method, Path, Body,
        [this](const HttpRequest &Request, const FakeExchangePtr &Result) {
          m_Service.handleAdmin(Request, Result, m_Server);
        });
  }

  nlohmann::json counters() {
    return nlohmann::json::parse(
        admin("GET", "/admin/counters")->m_Reply.m_Body);
  }

  void run(int Milliseconds = 50) {
    m_Context.restart();
    m_Context.run_for(std::chrono::milliseconds(Milliseconds));
  }

  boost::asio::io_context m_Context;
  TargetService m_Service;
  HttpServer m_Server{m_Context, "127.0.0.1:0",
                      [](const HttpRequest &, const ExchangePtr &) {}};
};

// How a request ends in a mode, and how often it runs.
struct ModeCase {
  const char *m_Mode;
  FakeOutcome m_Outcome;
  unsigned m_Status;
  int m_Runs;
};

const ModeCase ModeCases[] = {
    {"ok", FakeOutcome::Reply, 200, 1},
    {"reset", FakeOutcome::Reset, 200, 1},
    {"refuse_all", FakeOutcome::Reply, 503, 0},
    {"silent", FakeOutcome::None, 200, 0},
    {"silent_after_run", FakeOutcome::None, 200, 1},
    {"slow 5", FakeOutcome::Reply, 200, 1},
    {"cold", FakeOutcome::Reply, 200, 1},
    {"close_idle", FakeOutcome::Reply, 200, 1},
};

} // namespace

TEST_CASE("each mode ends a request as documented and counts its runs") {
  for (const ModeCase &Case : ModeCases) {
    CAPTURE(Case.m_Mode);
    Fixture Target;
    CHECK(Target.admin("POST", "/admin/mode", Case.m_Mode)->m_Reply.m_Status ==
          200);
    const FakeExchangePtr Booking = Target.send("b1");
    Target.run();
    CHECK(Booking->m_Outcome == Case.m_Outcome);
    CHECK(Booking->m_Reply.m_Status == Case.m_Status);
    CHECK(Target.counters()["runs"] == Case.m_Runs);
    CHECK(Target.counters()["in_flight"] == 0);
  }
}

TEST_CASE("unknown modes and admin calls are refused") {
  Fixture Target;
  CHECK(Target.admin("POST", "/admin/mode", "dawn")->m_Reply.m_Status == 400);
  CHECK(Target.admin("POST", "/admin/mode", "slow x")->m_Reply.m_Status == 400);
  CHECK(Target.admin("GET", "/admin/mode")->m_Reply.m_Status == 400);
}

TEST_CASE("a response states target, request, run and booking") {
  Fixture Target;
  const FakeExchangePtr First = Target.send("b1");
  const FakeExchangePtr Second = Target.send("b1");
  const FakeExchangePtr Other = Target.send("b2", "/other");
  Target.run();
  CHECK(First->m_Reply.m_Body == "target=slotboard-1\nmethod=POST\npath=/book\n"
                                 "run=1\nbooking=b1\n");
  CHECK(Other->m_Reply.m_Body == "target=slotboard-1\nmethod=POST\n"
                                 "path=/other\nrun=3\nbooking=b2\n");
  const nlohmann::json Counters = Target.counters();
  CHECK(Counters["runs_by_booking"] == nlohmann::json{{"b1", 2}, {"b2", 1}});
  CHECK(Counters["by_path"] == nlohmann::json{{"/book", 2}, {"/other", 1}});
  CHECK(Counters["max_in_flight"] == 3);
  CHECK(Counters["over_slots"] == 1);
}

TEST_CASE("a queued request never runs after its caller disconnected") {
  Fixture Target;
  Target.send();
  Target.send();
  const FakeExchangePtr Queued = Target.send("b1");
  Queued->disconnectCaller();
  Target.run();
  CHECK(Target.counters()["runs"] == 2);
  CHECK(Target.counters()["cancelled"] == 1);
  CHECK(Queued->m_Outcome == FakeOutcome::None);
}

TEST_CASE("a cold target collapses above its limit during its first runs, and "
          "can be made cold again") {
  TargetOptions Options = smallOptions();
  Options.m_ColdRequests = 2;
  Fixture Target(Options);
  // Both run concurrently; the second exceeds the cold limit and takes 50 ms.
  const FakeExchangePtr First = Target.send();
  const FakeExchangePtr Second = Target.send();
  Target.run(20);
  CHECK(First->m_Outcome == FakeOutcome::Reply);
  CHECK(Second->m_Outcome == FakeOutcome::None);
  Target.run(200);
  CHECK(Second->m_Outcome == FakeOutcome::Reply);
  CHECK(Target.counters()["over_cold_limit"] == 1);
  Target.send();
  Target.send();
  Target.run();
  CHECK(Target.counters()["over_cold_limit"] == 1);
  Target.admin("POST", "/admin/mode", "cold");
  Target.send();
  Target.send();
  CHECK(Target.counters()["over_cold_limit"] == 2);
}

TEST_CASE("health probes succeed while the target refuses requests") {
  Fixture Target;
  Target.admin("POST", "/admin/mode", "refuse_all");
  const FakeExchangePtr Probe = Target.send("", "/health");
  Target.run();
  CHECK(Probe->m_Reply.m_Status == 200);
  CHECK(Target.counters()["runs"] == 0);
}
