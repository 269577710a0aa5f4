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

void World::runFromGate(Node &Of, const core::StartTarget &Start) {
  const core::RequestId Id = Start.m_Id;
  run(Of, Id, std::stoull(Start.m_Request->m_Body), Start.m_Deadline,
      [this, &Of, Id, Generation = Of.m_Generation](
          const core::HttpResponsePtr &Response, core::TargetFailure Kind) {
        // The gate asked for it in the same turn; it hears of it in a later
        // one.
        m_Time.at(m_Time.now(), [this, &Of, Id, Generation, Response, Kind] {
          if (Of.m_Generation != Generation)
            return;
          give(Of, [this, &Of, Id, Response, Kind] {
            if (Response != nullptr)
              Of.m_Gate->onTargetAnswer(Id, Response, m_Time.now());
            else
              Of.m_Gate->onTargetFailure(Id, Kind, "fault", m_Time.now());
          });
        });
      });
}

void World::run(Node &Of, const core::RequestId &Id, core::CallId Call,
                TimePoint Deadline, RunHandler Done) {
  if (!Of.m_Target.isUp(m_Time.now()))
    return Done(nullptr, core::TargetFailure::NotSent);
  CallRecord &Record = m_Records.at(Call);
  ++Record.m_Runs;
  if (m_OnRun)
    m_OnRun(Of.m_Id, Call);
  const std::uint64_t Number = ++m_RunCount;
  Of.m_Running[Id] = {Call, Number, std::move(Done)};
  const TargetVerdict Verdict =
      Of.m_Target.take(Record.m_Asked.m_Work, m_Time.now(), m_Random);
  if (Verdict.m_End == TargetEnd::Collapse) {
    ++m_Collapses;
    return breakRuns(Of);
  }
  const TimePoint End = m_Time.now() + Verdict.m_Takes;
  const bool TooLong = End > Deadline;
  m_Time.at(std::min(End, Deadline), [this, &Of, Id, Call, Number, TooLong,
                                      How = Verdict.m_End] {
    const auto Found = Of.m_Running.find(Id);
    if (Found == Of.m_Running.end() || Found->second.m_Number != Number)
      return;
    if (TooLong)
      return endRun(Of, Id, nullptr, core::TargetFailure::TimedOut);
    if (How == TargetEnd::Garbled)
      return endRun(Of, Id, nullptr, core::TargetFailure::Reset);
    if (How == TargetEnd::Answer)
      return endRun(Of, Id, makeResponse(StatusSuccess, answerTo(Call)), {});
    if (How == TargetEnd::Failure)
      return endRun(Of, Id, makeResponse(StatusFailure, "failed"), {});
    // Nothing is heard of it until it is broken off.
  });
}

void World::endRun(Node &Of, const core::RequestId &Id,
                   const core::HttpResponsePtr &Response,
                   core::TargetFailure Kind) {
  const auto Found = Of.m_Running.extract(Id);
  if (Found.empty())
    return;
  Of.m_Target.finish();
  Found.mapped().m_Done(Response, Kind);
}

void World::breakRuns(Node &Of) {
  for (auto &[Id, Each] : std::exchange(Of.m_Running, {}))
    Each.m_Done(nullptr, core::TargetFailure::Reset);
}

TargetModel &World::target(NodeId Id) { return node(Id).m_Target; }

void World::resetTarget(NodeId Id) {
  Node &Of = node(Id);
  for (std::size_t Count = Of.m_Running.size(); Count > 0; --Count)
    Of.m_Target.finish();
  breakRuns(Of);
}

void World::refuseAtTarget(NodeId Id, Duration Time) {
  node(Id).m_Target.refuseUntil(m_Time.now() + Time);
}

void World::restartTarget(NodeId Id, Duration Down) {
  Node &Of = node(Id);
  Of.m_Target.restart(m_Time.now() + Down);
  Of.m_Target.refuseUntil(m_Time.now() + Down);
  breakRuns(Of);
}

} // namespace dandelionfall::emulator
