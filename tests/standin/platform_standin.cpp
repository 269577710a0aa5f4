/// \file
/// Stand-in for the platform's configuration service, which can only be read
/// and watched. Every call is counted, a waiting watch as one.
///
/// Calls of the reading address:
/// - `GET /manifest`: the manifest of the newest version.
/// - `GET /manifest?after=N&wait_ms=M`: 200 with the manifest as soon as the
///   version is above N, else 204 after M ms (20000 if not given).
/// - `GET /part/NAME`: the part's text, or 404; NAME may contain `/`.
/// - `GET /hosts`: the host list, `[hosts] revision = N` and for each host
///   `[host NAME]` with `zone`, `address` and `state = live|leaving`.
/// - `GET /hosts?after=N&wait_ms=M`: the same as a watch on the revision.
///
/// With `--directory` every file below it is published as a part of version 1,
/// and the file `hosts` as the host list; without it the version is 0 and has
/// no parts.
///
/// Calls of the admin address, for tests only:
/// - `POST /admin/part/NAME` stages the body as a part, `DELETE` removes one.
/// - `POST /admin/commit` publishes the staged parts at once as the next
///   version and answers its number.
/// - `POST /admin/hosts` publishes the body as the host list; without a
///   `[hosts]` section it gets the next revision.
/// - `POST /admin/raw/manifest` publishes the body as the manifest of the next
///   version, whatever it holds. A watch for a lower number gets it.
/// - `POST /admin/mode` with one of these bodies: `ok`; `down` (closes
///   connections without an answer); `stale [VERSION]` (answers from the newest
///   or from the given version, one of the last 16, until `ok`; commits go on
///   unseen); `slow MS` (delays every answer until `ok`); `crossing` (one
///   manifest of the version before, with the newest parts, then `ok`; a watch
///   is crossed only if that version is above the one that it has);
///   `crossing_parts` (one part of the version before, then `ok`); `truncated`
///   (the first half of each value); `cut` (half of each announced answer, then
///   a reset).
/// - `GET /admin/counters`: JSON of `calls`, `by_kind` (`manifest`,
///   `manifest_watch`, `part`, `hosts`, `hosts_watch`, `refused`),
///   `waiting_watches` and `peak_calls_per_s`; `DELETE` sets them to zero.
#include "standin/http_server.h"
#include "standin/platform_admin.h"
#include "standin/platform_service.h"
#include "standin/program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, address, "", "address for readers, IP:PORT");
ABSL_FLAG(std::string, admin_address, "", "address for tests, IP:PORT");
ABSL_FLAG(std::string, directory, "", "directory of parts to publish first");

namespace {

using namespace dandelionfall::standin;

// Members are destroyed in reverse order: the servers before their service.
struct Platform {
  explicit Platform(boost::asio::io_context &Context) : m_Service(Context) {}

  PlatformService m_Service;
  std::unique_ptr<HttpServer> m_Server;
  std::unique_ptr<HttpServer> m_Admin;
};

std::shared_ptr<void> prepare(boost::asio::io_context &Context) {
  auto Result = std::make_shared<Platform>(Context);
  PlatformService &Service = Result->m_Service;
  if (!absl::GetFlag(FLAGS_directory).empty())
    Service.store().load(absl::GetFlag(FLAGS_directory));
  Result->m_Server = std::make_unique<HttpServer>(
      Context, absl::GetFlag(FLAGS_address),
      [&Service](const HttpRequest &Request, const ExchangePtr &Reply) {
        Service.handle(Request, Reply);
      });
  if (absl::GetFlag(FLAGS_admin_address).empty())
    return Result;
  Result->m_Admin = std::make_unique<HttpServer>(
      Context, absl::GetFlag(FLAGS_admin_address),
      [&Service](const HttpRequest &Request, const ExchangePtr &Reply) {
        handlePlatformAdmin(Service, Request, Reply);
      });
  return Result;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  absl::SetProgramUsageMessage(
      "stand-in for the platform's configuration service, for tests only");
  absl::ParseCommandLine(ArgumentCount, Arguments);
  return serveUntilStopped(prepare);
}
