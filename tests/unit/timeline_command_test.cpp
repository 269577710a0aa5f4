#include "dandelionfall/app/event_recorder.h"
#include "dandelionfall/app/status_report.h"
#include "unit/command_run.h"
#include "unit/server_thread.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace dandelionfall;
using core::EventId;
using tests::run;
using tests::RunResult;
using tests::ServerThread;

namespace {

constexpr const char *UnusedAddress = "127.0.0.1:1";

/// Returns a handler that serves the operator pages of a fictitious node.
ServerThread::Handler
makeHandler(const app::StatusReport &Report,
            const std::vector<app::RecordedEvent> &Events) {
  return [Status = app::toJson(Report), Timeline = app::eventsToJson(Events)](
             const core::HttpRequest &Request) {
    core::HttpResponse Response{404, {}, ""};
    if (Request.m_Path == "/status")
      Response = {200, {}, Status};
    if (Request.m_Path == "/timeline")
      Response = {200, {}, Timeline};
    return std::optional(Response);
  };
}

app::StatusReport makeReport(const std::string &Host) {
  app::StatusReport Report;
  Report.m_Host = Host;
  Report.m_Applied = {7, 1};
  return Report;
}

bool contains(const std::string &Text, const std::string &Expected) {
  return Text.find(Expected) != std::string::npos;
}

// The second node's wall clock is behind, but its logical times are later.
const std::vector<app::RecordedEvent> FirstEvents = {
    {1, 9'000, 1, "host-1", {EventId::ProcessStarted, ""}},
    {5, 9'100, 2, "host-1", {EventId::ConfigurationApplied, "version=7"}}};
const std::vector<app::RecordedEvent> SecondEvents = {
    {7, 1'000, 1, "host-2", {EventId::ConfigurationApplied, "version=7"}},
    {8, 1'100, 2, "host-2", {EventId::RequestStarted, "id=1"}}};

} // namespace

TEST_CASE(
    "the events of two nodes are merged; an unreachable node is reported") {
  const ServerThread First(makeHandler(makeReport("host-1"), FirstEvents));
  const ServerThread Second(makeHandler(makeReport("host-2"), SecondEvents));
  const RunResult Complete =
      run({"timeline", "--format=json", Second.address(), First.address()});
  CHECK(Complete.m_ExitCode == 0);
  std::vector<app::RecordedEvent> Expected = FirstEvents;
  Expected.insert(Expected.end(), SecondEvents.begin(), SecondEvents.end());
  CHECK(app::eventsFromJson(Complete.m_Output) == Expected);
  const RunResult Partial =
      run({"timeline", "--min_severity=info", First.address(), UnusedAddress,
           Second.address()});
  CHECK(Partial.m_ExitCode == 7);
  CHECK(contains(Partial.m_Errors, std::string(UnusedAddress) + ": connect: "));
  CHECK(std::count(Partial.m_Output.begin(), Partial.m_Output.end(), '\n') ==
        3);
  CHECK_FALSE(contains(Partial.m_Output, "request-started"));
}

TEST_CASE("the status of many nodes is read with bounded concurrency") {
  constexpr std::size_t Nodes = 300;
  net::HttpServerOptions Options;
  // Connections above this limit are closed by the server. The limit exceeds
  // the 64 concurrent reads because some connections are still closing when the
  // next ones open.
  Options.m_MaxConnections = 128;
  const ServerThread Node(makeHandler(makeReport("host-1"), {}), Options);
  std::vector<std::string> Arguments = {"status", "--format=line"};
  Arguments.insert(Arguments.end(), Nodes, Node.address());
  const RunResult Result = run(Arguments);
  CHECK(Result.m_ExitCode == 0);
  CHECK(Result.m_Errors.empty());
  CHECK(static_cast<std::size_t>(std::count(
            Result.m_Output.begin(), Result.m_Output.end(), '\n')) == Nodes);
}

TEST_CASE("an address that serves something else is refused with a remedy") {
  const ServerThread Other([](const core::HttpRequest & /*Request*/) {
    return std::optional(core::HttpResponse{200, {}, "hello"});
  });
  const ServerThread Empty([](const core::HttpRequest & /*Request*/) {
    return std::optional(core::HttpResponse{404, {}, ""});
  });
  for (const std::string Command : {"status", "timeline"}) {
    CAPTURE(Command);
    const RunResult Malformed = run({Command, Other.address()});
    CHECK(Malformed.m_ExitCode == 8);
    CHECK(contains(Malformed.m_Errors, "; name the operator address"));
    const RunResult Missing = run({Command, Empty.address()});
    CHECK(Missing.m_ExitCode == 7);
    CHECK(contains(Missing.m_Errors, "HTTP status 404; name the operator"));
  }
}
