#include "standin/target_service.h"

#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <optional>
#include <sstream>

namespace dandelionfall::standin {

namespace {

struct ModeName {
  std::string_view m_Name;
  TargetMode m_Mode;
};

constexpr ModeName ModeNames[] = {
    {"ok", TargetMode::Ok},
    {"reset", TargetMode::Reset},
    {"refuse_all", TargetMode::RefuseAll},
    {"silent", TargetMode::Silent},
    {"silent_after_run", TargetMode::SilentAfterRun},
    {"close_idle", TargetMode::CloseIdle},
};

std::optional<TargetMode> findMode(std::string_view Name) {
  for (const ModeName &Each : ModeNames) {
    if (Each.m_Name == Name)
      return Each.m_Mode;
  }
  return std::nullopt;
}

// Calls a function after a delay. The pending operation owns the timer.
template <typename Action>
void callAfter(boost::asio::io_context &Context, std::chrono::milliseconds Time,
               Action Callback) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Context, Time);
  Timer->async_wait([Timer, Callback = std::move(Callback)](
                        const boost::system::error_code &Fault) {
    if (!Fault)
      Callback();
  });
}

} // namespace

TargetService::TargetService(boost::asio::io_context &Context,
                             TargetOptions Options)
    : m_Context(Context), m_Options(std::move(Options)),
      m_ColdRunsLeft(m_Options.m_ColdRequests) {}

void TargetService::handle(HttpRequest Request, ExchangePtr Reply) {
  if (m_Mode == TargetMode::Silent)
    return;
  // Health probes succeed in every mode but Silent, so a probe shows none of
  // the other faults.
  if (Request.m_Path == "/health") {
    callAfter(m_Context, m_Options.m_ProbeTime, [Reply] {
      Reply->reply({200, "healthy\n"});
    });
    return;
  }
  if (m_Mode == TargetMode::RefuseAll) {
    ++m_Counters.m_Refused;
    Reply->reply({503, "refused by " + m_Options.m_Name + "\n"});
    return;
  }
  if (inFlight() >= m_Options.m_Slots)
    ++m_Counters.m_OverSlots;
  if (isCold() && inFlight() >= m_Options.m_ColdLimit)
    ++m_Counters.m_OverColdLimit;
  m_Queued.push_back({std::move(Request), std::move(Reply)});
  m_Counters.m_MaxInFlight = std::max(m_Counters.m_MaxInFlight, inFlight());
  startQueued();
}

void TargetService::startQueued() {
  while (m_Running < m_Options.m_Slots && !m_Queued.empty()) {
    Job Next = std::move(m_Queued.front());
    m_Queued.pop_front();
    if (Next.m_Exchange->isCallerDisconnected()) {
      ++m_Counters.m_Cancelled;
      continue;
    }
    run(std::move(Next));
  }
}

std::chrono::milliseconds
TargetService::serviceTime(const HttpRequest &Request) const {
  std::chrono::milliseconds Time(Request.headerNumber(
      "service-ms",
      static_cast<std::uint64_t>(m_Options.m_ServiceTime.count())));
  Time += m_AddedServiceTime;
  if (isCold() && inFlight() > m_Options.m_ColdLimit)
    Time *= m_Options.m_CollapseFactor;
  return Time;
}

void TargetService::run(Job Next) {
  ++m_Running;
  const std::chrono::milliseconds Time = serviceTime(Next.m_Request);
  if (isCold())
    --m_ColdRunsLeft;
  const std::uint64_t RunNumber = m_Counters.countRun(Next.m_Request);
  callAfter(m_Context, Time, [this, RunNumber, Finished = std::move(Next)] {
    finish(Finished, RunNumber);
  });
}

void TargetService::finish(const Job &Finished, std::uint64_t RunNumber) {
  --m_Running;
  HttpReply Result = makeReply(Finished.m_Request, RunNumber);
  if (m_Mode == TargetMode::Reset)
    Finished.m_Exchange->replyHalfAndReset(std::move(Result));
  else if (m_Mode != TargetMode::SilentAfterRun && m_Mode != TargetMode::Silent)
    Finished.m_Exchange->reply(std::move(Result));
  startQueued();
}

HttpReply TargetService::makeReply(const HttpRequest &Request,
                                   std::uint64_t RunNumber) const {
  std::string Body =
      "target=" + m_Options.m_Name + "\nmethod=" + Request.m_Method +
      "\npath=" + Request.m_Path + "\nrun=" + std::to_string(RunNumber) + "\n";
  const std::string Booking = Request.header("booking");
  if (!Booking.empty())
    Body += "booking=" + Booking + "\n";
  const std::uint64_t MinBytes = Request.headerNumber("response-bytes", 0);
  if (Body.size() < MinBytes)
    Body.resize(MinBytes, '.');
  return {200, std::move(Body)};
}

bool TargetService::setMode(const std::string &Text, HttpServer &Server) {
  std::istringstream Words(Text);
  std::string Name;
  std::int64_t Milliseconds = 0;
  Words >> Name;
  if (Name == "cold") {
    m_ColdRunsLeft = m_Options.m_ColdRequests;
    return true;
  }
  if (Name == "slow") {
    if (!(Words >> Milliseconds) || Milliseconds < 0)
      return false;
    m_AddedServiceTime = std::chrono::milliseconds(Milliseconds);
    return true;
  }
  const std::optional<TargetMode> Mode = findMode(Name);
  if (!Mode)
    return false;
  m_Mode = *Mode;
  if (m_Mode == TargetMode::Ok)
    m_AddedServiceTime = {};
  Server.setCloseAfterReply(m_Mode == TargetMode::CloseIdle);
  if (m_Mode == TargetMode::CloseIdle)
    Server.closeIdle();
  return true;
}

void TargetService::handleAdmin(const HttpRequest &Request,
                                const ExchangePtr &Reply, HttpServer &Server) {
  const std::string Call = Request.m_Method + " " + Request.m_Path;
  if (Call == "GET /admin/counters") {
    Reply->reply({200, m_Counters.toJson(inFlight(), Server.counters()),
                  "application/json"});
    return;
  }
  if (Call == "DELETE /admin/counters") {
    m_Counters = {};
    Reply->reply({200, "reset\n"});
    return;
  }
  if (Call == "POST /admin/mode" && setMode(Request.m_Body, Server)) {
    Reply->reply({200, "mode set\n"});
    return;
  }
  Reply->reply({400, "unknown admin call or mode; see target_standin.cpp\n"});
}

} // namespace dandelionfall::standin
