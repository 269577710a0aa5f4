// Requests of callers, until the ingress decides on them.
#include "app/node/caller_response.h"
#include "app/node/traffic_driver_impl.h"
#include "core/ingress/idempotency.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::app {

namespace {

using core::TimePoint;

// `Retry-After` for callers that are refused before the first version is
// applied or during a planned stop.
constexpr core::Duration NotReadyRetryAfter = std::chrono::seconds(1);
// `Retry-After` for callers whose body found no room in time.
constexpr core::Duration NoRoomRetryAfter = std::chrono::seconds(1);

} // namespace

core::HttpResponse
TrafficDriver::Impl::refuseForRoom(const core::HttpRequest &Header) {
  const char *Cause = "the node has no memory for the body";
  m_Board.m_Metrics.add(Counter::BodiesRefused);
  m_Board.m_Metrics.add(Counter::CallsNotRun);
  m_Board.m_Events.record(
      {core::EventId::RequestNotServed,
       "caller_id=" + callerIdOf(m_Board.m_Dialect, Header) +
           " outcome=not-run cause=\"" + Cause + "\""});
  return makeCallerResponse(
      m_Board.m_Dialect, core::AnswerCaller{0, core::CallOutcome::NotRun,
                                            nullptr, NoRoomRetryAfter, Cause});
}

void TrafficDriver::Impl::onCall(core::CallId Call,
                                 std::shared_ptr<core::HttpRequest> Request) {
  const TimePoint Now = monotonicNow();
  const core::Duration Held = m_Server->timeHeld(Call);
  m_CallStarts.emplace(Call, Now - Held);
  if (!m_Board.m_Ready.load() || m_RefusesCalls) {
    const char *Cause =
        m_RefusesCalls ? "the node is stopping" : "the node is not ready";
    perform(core::AnswerCaller{Call, core::CallOutcome::NotRun, nullptr,
                               NotReadyRetryAfter, Cause});
    m_Board.m_Events.record(
        {core::EventId::RequestNotServed,
         "caller_id=" + callerIdOf(m_Board.m_Dialect, *Request) + " call=" +
             std::to_string(Call) + " outcome=not-run cause=" + Cause});
    return;
  }
  if (refuseIfBodyTooLarge(Call, *Request))
    return;
  auto Deadline = parseCallerDeadline(m_Board.m_Dialect, *Request);
  // The caller counts the time in which earlier requests held this one up.
  if (Deadline)
    Deadline = std::max(*Deadline - Held, core::Duration{1});
  const std::string CallerId = callerIdOf(m_Board.m_Dialect, *Request);
  setCallerService(m_Board.m_Dialect, *Request,
                   m_Board.m_Settings.m_TargetService);
  std::string Key;
  if (m_Configuration != nullptr && m_Configuration->m_Teams != nullptr) {
    Key = takeKey(m_Board.m_Dialect, *Request);
    refreshProof();
  }
  m_Ingress.onCall(Call, std::move(Request), Deadline, Now, CallerId, Key);
  performCommands();
}

void TrafficDriver::Impl::refreshProof() {
  const auto Latest = m_Board.m_Proof.load();
  if (Latest == nullptr || Latest == m_Proof)
    return;
  // It is of the latest configuration, whose stamp can be the applied one's.
  if (m_Board.m_Configuration.load() != m_Configuration)
    return;
  m_Proof = Latest;
  m_Ingress.onFreshness(*Latest);
  m_Gate.onFreshness(*Latest);
}

bool TrafficDriver::Impl::mayRunBeside(const core::HttpRequest &Request) const {
  if (m_Configuration == nullptr)
    return false;
  const core::Route *Match =
      core::findRoute(*m_Configuration, Request.m_HostName, Request.m_Path)
          .m_Route;
  return Match != nullptr &&
         core::ingress::mayRunBeside(Match->m_Idempotency, Request.m_Method);
}

bool TrafficDriver::Impl::refuseIfBodyTooLarge(
    core::CallId Call, const core::HttpRequest &Request) {
  if (m_Configuration == nullptr)
    return false;
  const auto RefusalResponse =
      refuseLargeBody(m_Board.m_Dialect, *m_Configuration, Request);
  if (!RefusalResponse.has_value())
    return false;
  m_CallStarts.erase(Call);
  reportCallerError("a body larger than the profile allows",
                    callerIdOf(m_Board.m_Dialect, Request));
  m_Server->respond(Call, *RefusalResponse);
  return true;
}

void TrafficDriver::Impl::reportCallerError(const std::string &Fault,
                                            const std::string &CallerId) {
  m_Board.m_Metrics.add(Counter::CallerErrors);
  m_Board.m_Events.record(
      {core::EventId::CallerRejected,
       "caller_id=" + CallerId + " fault=\"" + Fault + "\""});
}

void TrafficDriver::Impl::onCallerDisconnected(core::CallId Call) {
  m_CallStarts.erase(Call);
  m_Ingress.onCallerDisconnected(Call, monotonicNow());
  performCommands();
}

} // namespace dandelionfall::app
