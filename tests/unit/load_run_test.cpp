#include "app/load_generator.h"
#include "unit/server_thread.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <set>
#include <string>

using namespace dandelionfall;
using std::chrono::milliseconds;

namespace {

/// Node that gives each service a different response and records the requests.
class FakeNode {
public:
  explicit FakeNode(bool Answers)
      : m_Answers(Answers), m_Server([this](const core::HttpRequest &Request) {
          return answer(Request);
        }) {}

  void stop() { m_Server.stop(); }
  const std::string &address() const { return m_Server.address(); }

  std::map<std::string, std::uint64_t> m_Calls;
  std::set<std::string> m_Bookings;
  std::set<std::string> m_Deadlines;

private:
  std::optional<core::HttpResponse> answer(const core::HttpRequest &Request) {
    const std::string Service =
        Request.m_Path.substr(1, Request.m_Path.find('/', 1) - 1);
    ++m_Calls[Service];
    for (const core::HttpField &Field : Request.m_Fields) {
      if (Field.m_Name == "Booking")
        m_Bookings.insert(Field.m_Value);
      if (Field.m_Name == "Dandelionfall-Deadline-Ms")
        m_Deadlines.insert(Field.m_Value);
    }
    if (!m_Answers)
      return std::nullopt;
    if (Service == "lanewatch")
      return core::HttpResponse{
          503, {{"Dandelionfall-Outcome", "not-run"}}, "busy"};
    if (Service == "chartroom")
      return core::HttpResponse{500, {}, "broken"};
    return core::HttpResponse{200, {}, "whole"};
  }

  bool m_Answers;
  tests::ServerThread m_Server;
};

app::LoadOptions makeOptions(const FakeNode &Node) {
  app::LoadOptions Options;
  Options.m_Addresses = {Node.address()};
  Options.m_Preset = &app::findLoadPreset("thessaloniki");
  Options.m_CallsPerSecond = 400;
  Options.m_Duration = milliseconds(500);
  Options.m_Deadline = milliseconds(80);
  Options.m_Connections = 400;
  Options.m_Seed = 5;
  return Options;
}

std::uint64_t scheduledCalls(const app::LoadOptions &Options) {
  app::ArrivalSchedule Schedule(Options.m_Arrivals, Options.m_CallsPerSecond,
                                Options.m_Seed);
  std::uint64_t Calls = 0;
  while (Schedule.next() <= Options.m_Duration)
    ++Calls;
  return Calls;
}

void ignoreProgress(std::uint64_t /*Seconds*/, std::uint64_t /*Sent*/,
                    const app::LoadReport & /*Report*/) {}

} // namespace

TEST_CASE(
    "a load run follows its schedule and classifies responses by outcome") {
  FakeNode Node(true);
  const app::LoadOptions Options = makeOptions(Node);
  app::LoadReport Report = app::runLoad(Options, ignoreProgress);
  Node.stop();
  CHECK(Report.total() == scheduledCalls(Options));
  CHECK(Report.count(app::LoadOutcome::Answered) ==
        Node.m_Calls["slotboard"] + Node.m_Calls["escortdesk"]);
  CHECK(Report.count(app::LoadOutcome::NotRun) == Node.m_Calls["lanewatch"]);
  CHECK(Report.count(app::LoadOutcome::HttpError) == Node.m_Calls["chartroom"]);
  CHECK(Report.count(app::LoadOutcome::Failed) == 0);
  CHECK(Node.m_Bookings.size() == Node.m_Calls["escortdesk"]);
  CHECK(Node.m_Deadlines == std::set<std::string>{"80"});
}

TEST_CASE("arrivals continue without responses") {
  FakeNode Node(false);
  const app::LoadOptions Options = makeOptions(Node);
  app::LoadReport Report = app::runLoad(Options, ignoreProgress);
  Node.stop();
  std::uint64_t Received = 0;
  for (const auto &[Service, Calls] : Node.m_Calls)
    Received += Calls;
  CHECK(Received == scheduledCalls(Options));
  CHECK(Report.count(app::LoadOutcome::Failed) == scheduledCalls(Options));
  CHECK(Report.deadlineMisses() == scheduledCalls(Options));
}

TEST_CASE("a load run against an address without a listener fails every call") {
  std::string Address;
  {
    const FakeNode StoppedNode(true);
    Address = StoppedNode.address();
  }
  FakeNode Other(true);
  app::LoadOptions Options = makeOptions(Other);
  Options.m_Addresses = {Address};
  const app::LoadReport Report = app::runLoad(Options, ignoreProgress);
  CHECK(Report.count(app::LoadOutcome::Failed) == scheduledCalls(Options));
}

TEST_CASE("two runs with the same seed share no booking") {
  FakeNode Node(true);
  const app::LoadOptions Options = makeOptions(Node);
  app::runLoad(Options, ignoreProgress);
  app::runLoad(Options, ignoreProgress);
  Node.stop();
  CHECK(Node.m_Bookings.size() == Node.m_Calls["escortdesk"]);
}
