#include "emulator/world_parts.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::emulator {

namespace {

constexpr std::uint32_t StatusSuccess = 200;
constexpr std::uint32_t StatusFailure = 500;

core::HttpResponsePtr makeResponse(std::uint32_t Status,
                                   const std::string &Body) {
  return std::make_shared<core::HttpResponse>(
      core::HttpResponse{Status, {}, Body});
}

} // namespace

void World::runFromGate(Node &TheNode, const core::StartTarget &Start) {
  const core::RequestId Id = Start.m_Id;
  run(TheNode, Id, std::stoull(Start.m_Request->m_Body), Start.m_Deadline,
      [this, &TheNode, Id, Generation = TheNode.m_Generation](
          const core::HttpResponsePtr &Response, core::TargetFailure Kind) {
        // The run can end while the gate's commands are being performed; the
        // gate receives the result in a later event.
        m_Time.at(m_Time.now(), [this, &TheNode, Id, Generation, Response,
                                 Kind] {
          if (TheNode.m_Generation != Generation)
            return;
          deliver(TheNode, [this, &TheNode, Id, Response, Kind] {
            if (Response != nullptr)
              TheNode.m_Gate->onTargetAnswer(Id, Response, m_Time.now());
            else
              TheNode.m_Gate->onTargetFailure(Id, Kind, "fault", m_Time.now());
          });
        });
      });
}

void World::checkTarget(Node &TheNode) {
  m_Time.at(m_Time.now(), [this, &TheNode, Generation = TheNode.m_Generation] {
    if (TheNode.m_Generation != Generation)
      return;
    deliver(TheNode, [this, &TheNode] {
      const TimePoint Now = m_Time.now();
      TheNode.m_Gate->onTargetCheck(!TheNode.m_Target.acceptsConnections(Now),
                                    Now);
    });
  });
}

void World::run(Node &TheNode, const core::RequestId &Id, core::CallId Call,
                TimePoint Deadline, RunHandler Done) {
  if (!TheNode.m_Target.acceptsConnections(m_Time.now()))
    return Done(nullptr, core::TargetFailure::NotSent);
  CallRecord &Record = m_Records.at(Call);
  ++Record.m_Runs;
  if (m_OnRun)
    m_OnRun(TheNode.m_Id, Call);
  const std::uint64_t Number = ++m_RunCount;
  TheNode.m_Running[Id] = {Call, Number, std::move(Done)};
  const TargetRun Run = TheNode.m_Target.startRequest(
      Record.m_Options.m_ServiceTime, m_Time.now(), m_Random);
  if (Run.m_Result == TargetResult::Collapse) {
    ++m_Collapses;
    return resetRuns(TheNode);
  }
  const TimePoint End = m_Time.now() + Run.m_Duration;
  const bool TooLong = End > Deadline;
  m_Time.at(std::min(End, Deadline), [this, &TheNode, Id, Call, Number, TooLong,
                                      Result = Run.m_Result] {
    const auto Found = TheNode.m_Running.find(Id);
    if (Found == TheNode.m_Running.end() || Found->second.m_Number != Number)
      return;
    if (TooLong)
      return endRun(TheNode, Id, nullptr, core::TargetFailure::TimedOut);
    if (Result == TargetResult::Garbled)
      return endRun(TheNode, Id, nullptr, core::TargetFailure::Reset);
    if (Result == TargetResult::Answer)
      return endRun(TheNode, Id,
                    makeResponse(StatusSuccess, expectedBody(Call)), {});
    if (Result == TargetResult::Failure)
      return endRun(TheNode, Id, makeResponse(StatusFailure, "failed"), {});
    // No response: the run stays open until it is aborted.
  });
}

void World::endRun(Node &TheNode, const core::RequestId &Id,
                   const core::HttpResponsePtr &Response,
                   core::TargetFailure Kind) {
  const auto Found = TheNode.m_Running.extract(Id);
  if (Found.empty())
    return;
  TheNode.m_Target.finishRequest();
  Found.mapped().m_Done(Response, Kind);
}

void World::resetRuns(Node &TheNode) {
  for (auto &[Id, Each] : std::exchange(TheNode.m_Running, {}))
    Each.m_Done(nullptr, core::TargetFailure::Reset);
}

TargetModel &World::target(NodeId Id) { return node(Id).m_Target; }

void World::resetTarget(NodeId Id) {
  Node &TheNode = node(Id);
  for (std::size_t Count = TheNode.m_Running.size(); Count > 0; --Count)
    TheNode.m_Target.finishRequest();
  resetRuns(TheNode);
}

void World::refuseAtTarget(NodeId Id, Duration Time) {
  node(Id).m_Target.refuseUntil(m_Time.now() + Time);
}

void World::restartTarget(NodeId Id, Duration Down) {
  Node &TheNode = node(Id);
  TheNode.m_Target.restart(m_Time.now() + Down);
  TheNode.m_Target.refuseUntil(m_Time.now() + Down);
  resetRuns(TheNode);
}

} // namespace dandelionfall::emulator
