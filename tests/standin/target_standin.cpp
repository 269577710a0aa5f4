/// \file
/// Stand-in for a target: an HTTP back end with slots, a cold start during
/// which it collapses under load, and faults on request.
///
/// Every request gets, after the service time, a response with status 200 and
/// the lines `target=`, `method=`, `path=`, `run=` and, if the request has the
/// header `Booking`, `booking=`. Requests beyond the slots are queued. The
/// request headers `Service-Ms` and `Response-Bytes` set the service time of
/// this request and the minimum size of its response body. `/health` responds
/// with `healthy` in every mode but `silent`. While the target is cold (its
/// first `--cold_requests` runs), the service time is multiplied by
/// `--collapse_factor` if more than `--cold_limit` requests are in flight.
/// Connections beyond `--connections` are reset.
///
/// Calls of the admin address:
/// - `GET /admin/counters`: JSON of `runs`, `runs_by_booking`,
///   `runs_by_method`, `by_path`, `in_flight`, `max_in_flight`, `over_slots`,
///   `over_cold_limit`, `refused`, `cancelled`, `connections`,
///   `max_connections`, `connections_accepted` and `connections_refused`.
/// - `DELETE /admin/counters`: resets them, except those of connections.
/// - `POST /admin/mode` sets the mode to the body, one of:
///   - `ok`: no fault;
///   - `reset`: runs, sends half of the response and resets the connection;
///   - `refuse_all`: responds with 503 without running;
///   - `silent`: neither runs nor responds;
///   - `silent_after_run`: runs without responding;
///   - `slow MS`: adds to each service time until `ok`;
///   - `cold`: restarts the cold phase;
///   - `close_idle`: closes idle connections now, and each other connection
///     after its next response.
#include "standin/http_server.h"
#include "standin/program.h"
#include "standin/target_service.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, address, "", "address for callers, IP:PORT");
ABSL_FLAG(std::string, admin_address, "", "address for tests, IP:PORT");
ABSL_FLAG(std::string, name, "target", "name stated in each response");
ABSL_FLAG(std::uint32_t, slots, 12, "maximum number of concurrent runs");
ABSL_FLAG(std::uint32_t, connections, 120,
          "maximum number of open connections");
ABSL_FLAG(std::uint32_t, service_ms, 5, "service time of one run in ms");
ABSL_FLAG(std::uint32_t, probe_ms, 6, "response time of a health probe in ms");
ABSL_FLAG(std::uint32_t, connect_cost_ms, 1, "delay of a new connection in ms");
ABSL_FLAG(std::uint64_t, cold_requests, 0,
          "number of runs during which it is cold");
ABSL_FLAG(std::uint32_t, cold_limit, 2,
          "requests in flight that it can handle while cold");
ABSL_FLAG(std::uint32_t, collapse_factor, 10,
          "factor on the service time above the cold limit");

namespace {

using namespace dandelionfall::standin;

// Members are destroyed in reverse order: the servers before the service to
// which their handlers refer.
struct Target {
  explicit Target(boost::asio::io_context &Context, TargetOptions Options)
      : m_Service(Context, std::move(Options)) {}

  TargetService m_Service;
  std::unique_ptr<HttpServer> m_Server;
  std::unique_ptr<HttpServer> m_Admin;
};

TargetOptions readOptions() {
  TargetOptions Options;
  Options.m_Name = absl::GetFlag(FLAGS_name);
  Options.m_Slots = absl::GetFlag(FLAGS_slots);
  Options.m_ServiceTime =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_service_ms));
  Options.m_ProbeTime =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_probe_ms));
  Options.m_ColdRequests = absl::GetFlag(FLAGS_cold_requests);
  Options.m_ColdLimit = absl::GetFlag(FLAGS_cold_limit);
  Options.m_CollapseFactor = absl::GetFlag(FLAGS_collapse_factor);
  return Options;
}

std::shared_ptr<void> prepare(boost::asio::io_context &Context) {
  auto Result = std::make_shared<Target>(Context, readOptions());
  Target &Self = *Result;
  HttpServerOptions Limits;
  Limits.m_ConnectCost =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_connect_cost_ms));
  Limits.m_MaxConnections = absl::GetFlag(FLAGS_connections);
  Self.m_Server = std::make_unique<HttpServer>(
      Context, absl::GetFlag(FLAGS_address),
      [&Self](HttpRequest Request, ExchangePtr Reply) {
        Self.m_Service.handle(std::move(Request), std::move(Reply));
      },
      Limits);
  if (absl::GetFlag(FLAGS_admin_address).empty())
    return Result;
  Self.m_Admin = std::make_unique<HttpServer>(
      Context, absl::GetFlag(FLAGS_admin_address),
      [&Self](const HttpRequest &Request, const ExchangePtr &Reply) {
        Self.m_Service.handleAdmin(Request, Reply, *Self.m_Server);
      });
  return Result;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  absl::SetProgramUsageMessage("stand-in for a target, for tests only");
  absl::ParseCommandLine(ArgumentCount, Arguments);
  return serveUntilStopped(prepare);
}
