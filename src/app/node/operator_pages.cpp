#include "app/node/operator_pages.h"

#include "dandelionfall/app/status_report.h"

#include <array>
#include <string>
#include <string_view>

namespace dandelionfall::app {

namespace {

constexpr std::uint32_t StatusOk = 200;
constexpr std::uint32_t StatusNotFound = 404;
constexpr std::uint32_t StatusNotAllowed = 405;
constexpr std::uint32_t StatusUnavailable = 503;

core::HttpResponse makePage(std::uint32_t Status, std::string_view Type,
                            std::string Body) {
  core::HttpResponse Result;
  Result.m_Status = Status;
  Result.m_Fields.push_back({"Content-Type", std::string(Type)});
  Result.m_Body = std::move(Body);
  return Result;
}

std::uint64_t heldBytes(const Blackboard &Board) {
  return Board.m_CallerBodies->held() + Board.m_GateBodies->held();
}

std::uint64_t limitBytes(const Blackboard &Board) {
  return Board.m_CallerBodies->limit() + Board.m_GateBodies->limit();
}

StatusReport makeReport(const Blackboard &Board,
                        const core::DistributionStatus &Distribution) {
  StatusReport Report;
  Report.m_Host = Board.m_Settings.m_Host;
  Report.m_Zone = Board.m_Settings.m_Zone;
  Report.m_Incarnation = toString(Board.m_Incarnation);
  Report.m_ProgramVersion = DANDELIONFALL_VERSION;
  Report.m_Held = Distribution.m_Held;
  Report.m_Applied = Distribution.m_Applied;
  Report.m_HostList = Distribution.m_HostList;
  Report.m_Ready = Board.m_Ready.load();
  Report.m_Draining = Board.m_Draining.load();
  Report.m_Reader = Distribution.m_Reader;
  Report.m_ControlLinks = Distribution.m_Links;
  Report.m_ListedHosts = Distribution.m_ListedHosts;
  Report.m_SourceCalls = Distribution.m_SourceCalls;
  Report.m_Target = Board.m_Settings.m_TargetName;
  Report.m_TargetLimit = Board.m_Load.m_Limit.load();
  Report.m_TargetInFlight = Board.m_Load.m_InFlight.load();
  Report.m_TargetQueued = Board.m_Load.m_Queued.load();
  Report.m_OpenCalls = Board.m_Load.m_OpenCalls.load();
  Report.m_WatchMode = Distribution.m_WatchMode;
  Report.m_Followers = Distribution.m_Followers;
  Report.m_ConfigurationVersion = Distribution.m_ConfigurationVersion;
  Report.m_StoreHistory = Distribution.m_StoreHistory;
  if (Distribution.m_ConfirmedAgo)
    Report.m_ConfirmedAgoS =
        std::chrono::duration<double>(*Distribution.m_ConfirmedAgo).count();
  if (Distribution.m_ProofAge)
    Report.m_ProofAgeS =
        std::chrono::duration<double>(*Distribution.m_ProofAge).count();
  const core::MachineLimits &Machine = Board.m_Settings.m_Machine;
  Report.m_ProcessorShare = Machine.m_ProcessorShare;
  Report.m_Cores = Machine.m_Cores;
  Report.m_MemoryMb = Machine.m_MemoryMb;
  Report.m_Descriptors = Machine.m_Descriptors;
  Report.m_LinkMbps = Machine.m_LinkMbps;
  Report.m_BodyHeldBytes = heldBytes(Board);
  Report.m_BodyLimitBytes = limitBytes(Board);
  Report.m_BodiesRefused = Board.m_Metrics.count(Counter::BodiesRefused);
  return Report;
}

core::HttpResponse statusPage(Blackboard &Board,
                              const core::DistributionStatus &Distribution) {
  return makePage(StatusOk, "application/json",
                  toJson(makeReport(Board, Distribution)));
}

core::HttpResponse
timelinePage(Blackboard &Board,
             const core::DistributionStatus & /*Distribution*/) {
  return makePage(StatusOk, "application/json",
                  eventsToJson(Board.m_Events.events()));
}

void setResponseGauges(Metrics &Values, const core::ResponseMemory &Target,
                       const core::ResponseMemory &Callers) {
  Values.set(Gauge::ResponseHeldBytes,
             static_cast<double>(Target.held() + Callers.held()));
  Values.set(Gauge::ResponseLimitBytes,
             static_cast<double>(Target.limit() + Callers.limit()));
  Values.set(Gauge::ResponsesWaiting,
             static_cast<double>(Target.waiting() + Callers.waiting()));
}

core::HttpResponse metricsPage(Blackboard &Board,
                               const core::DistributionStatus &Distribution) {
  Metrics &Values = Board.m_Metrics;
  Values.set(Gauge::AppliedVersion,
             static_cast<double>(Distribution.m_Applied.m_Version));
  Values.set(Gauge::HeldVersion,
             static_cast<double>(Distribution.m_Held.m_Version));
  Values.set(Gauge::Ready, Distribution.m_Ready ? 1 : 0);
  Values.set(Gauge::ControlLinks, Distribution.m_Links);
  if (Distribution.m_ProofAge)
    Values.set(Gauge::ProofAge,
               std::chrono::duration<double>(*Distribution.m_ProofAge).count());
  Values.set(Gauge::TargetInFlight, Board.m_Load.m_InFlight.load());
  Values.set(Gauge::TargetLimit, Board.m_Load.m_Limit.load());
  Values.set(Gauge::TargetQueued, Board.m_Load.m_Queued.load());
  Values.set(Gauge::BodyHeldBytes, static_cast<double>(heldBytes(Board)));
  Values.set(Gauge::BodyLimitBytes, static_cast<double>(limitBytes(Board)));
  Values.set(Gauge::BodiesWaiting,
             static_cast<double>(Board.m_CallerBodies->waiting()));
  setResponseGauges(Values, *Board.m_TargetResponses, *Board.m_CallerResponses);
  return makePage(StatusOk, "text/plain; version=0.0.4",
                  Values.prometheusText());
}

core::HttpResponse
readyPage(Blackboard &Board,
          const core::DistributionStatus & /*Distribution*/) {
  if (Board.m_Draining.load())
    return makePage(StatusUnavailable, "text/plain", "the node is stopping\n");
  if (!Board.m_Ready.load())
    return makePage(StatusUnavailable, "text/plain",
                    "no configuration is in force yet\n");
  return makePage(StatusOk, "text/plain", "ready\n");
}

struct PageRow {
  std::string_view m_Path;
  core::HttpResponse (*m_Make)(Blackboard &, const core::DistributionStatus &);
};

constexpr std::array Pages = {
    PageRow{"/status", statusPage},
    PageRow{"/timeline", timelinePage},
    PageRow{"/metrics", metricsPage},
    PageRow{"/ready", readyPage},
};

} // namespace

core::HttpResponse
makeOperatorPage(const core::HttpRequest &Request, Blackboard &Board,
                 const core::DistributionStatus &Distribution) {
  if (Request.m_Method != "GET" && Request.m_Method != "HEAD")
    return makePage(StatusNotAllowed, "text/plain",
                    "pages are read with GET\n");
  for (const PageRow &Row : Pages) {
    if (Row.m_Path == Request.m_Path)
      return Row.m_Make(Board, Distribution);
  }
  return makePage(StatusNotFound, "text/plain",
                  "pages: /status /timeline /metrics /ready\n");
}

} // namespace dandelionfall::app
