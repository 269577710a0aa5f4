/// \file
/// Stand-in for the platform's configuration service, which is read-only:
/// values can be read and watched. Every call is counted, a waiting watch as
/// one call.
///
/// Calls of the reader address:
/// - `GET /manifest`: the manifest of the newest version.
/// - `GET /manifest?after=N&wait_ms=M`: 200 with the manifest as soon as the
///   version is above N, or 204 after M ms (default 20000).
/// - `GET /part/NAME`: the part's text, or 404; NAME may contain `/`.
/// - `GET /hosts`: the host list, `[hosts] revision = N` and for each host
///   `[host NAME]` with `zone`, `address` and `state = live|leaving`.
/// - `GET /hosts?after=N&wait_ms=M`: a watch on the revision of the host list.
///
/// With `--directory`, every file below the directory is published as a part of
/// version 1, except the file `hosts`, which becomes the host list. Without it
/// the version is 0 and has no parts.
///
/// Calls of the admin address, for tests only:
/// - `POST /admin/part/NAME` stages the body as a part; `DELETE` stages the
///   removal of a part.
/// - `POST /admin/commit` publishes the staged parts together as the next
///   version and responds with its number.
/// - `POST /admin/hosts` publishes the body as the host list; without a
///   `[hosts]` section it gets the next revision.
/// - `POST /admin/raw/manifest` publishes the body unchecked as the manifest of
///   the next version. Watches for a lower number receive it.
/// - `POST /admin/mode` sets the mode to the body, one of:
///   - `ok`: no fault;
///   - `down`: closes connections without a response;
///   - `stale [VERSION]`: until `ok`, serves the newest version or the given
///     one, which must be among the last 16; later commits are not visible;
///   - `slow MS`: delays every response until `ok`;
///   - `crossing`: serves one manifest of the previous version, with the newest
///     parts, then is `ok`; a watch gets the previous manifest only if its
///     version is above the watch's `after`;
///   - `crossing_parts`: serves one part of the previous version, then is `ok`;
///   - `truncated`: sends only the first half of each value;
///   - `cut`: sends half of each announced response, then resets the
///     connection.
/// - `GET /admin/counters`: JSON of `calls`, `by_kind` (`manifest`,
///   `manifest_watch`, `part`, `hosts`, `hosts_watch`, `refused`),
///   `waiting_watches` and `peak_calls_per_s`; `DELETE` resets them.
#include "standin/http_server.h"
#include "standin/platform_admin.h"
#include "standin/platform_service.h"
#include "standin/program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, address, "", "address for readers, IP:PORT");
ABSL_FLAG(std::string, admin_address, "", "address for tests, IP:PORT");
ABSL_FLAG(std::string, directory, "",
          "directory of parts to publish as version 1");

namespace {

using namespace dandelionfall::standin;

// Members are destroyed in reverse order: the servers before the service to
// which their handlers refer.
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
      [&Service](const HttpRequest &Request, const ExchangePtr &Exchange) {
        Service.handle(Request, Exchange);
      });
  if (absl::GetFlag(FLAGS_admin_address).empty())
    return Result;
  Result->m_Admin = std::make_unique<HttpServer>(
      Context, absl::GetFlag(FLAGS_admin_address),
      [&Service](const HttpRequest &Request, const ExchangePtr &Exchange) {
        handlePlatformAdmin(Service, Request, Exchange);
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
