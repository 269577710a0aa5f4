#include "standin/fake_exchange.h"
#include "standin/platform_admin.h"
#include "standin/platform_service.h"

#include "dandelionfall/core/configuration_reader.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace dandelionfall;
using namespace dandelionfall::standin;

namespace {

// A platform with three versions; the text of part `zones` identifies each.
struct Fixture {
  Fixture() {
    for (const char *Text : {"[zone v1]\n", "[zone v2]\n", "[zone v3]\n"})
      publish(Text);
  }

  void publish(const std::string &Text) {
    admin("POST", "/admin/part/zones", Text);
    admin("POST", "/admin/commit");
  }

  FakeExchangePtr read(const std::string &Path, const std::string &After = "",
                       const std::string &WaitMs = "20") {
    HttpRequest Request;
    Request.m_Method = "GET";
    Request.m_Path = Path;
    if (!After.empty())
      Request.m_Query = {{"after", After}, {"wait_ms", WaitMs}};
    auto Result = std::make_shared<FakeExchange>();
    m_Service.handle(Request, Result);
    return Result;
  }

  FakeExchangePtr admin(const std::string &Method, const std::string &Path,
                        const std::string &Body = "") {
    return callAdmin(
        Method, Path, Body,
        [this](const HttpRequest &Request, const FakeExchangePtr &Result) {
          handlePlatformAdmin(m_Service, Request, Result);
        });
  }

  nlohmann::json counters() {
    return nlohmann::json::parse(
        admin("GET", "/admin/counters")->m_Reply.m_Body);
  }

  core::Version manifestVersion() {
    return core::readManifest(read("/manifest")->m_Reply.m_Body)
        .m_Stamp.m_Version;
  }

  std::string zones() { return read("/part/zones")->m_Reply.m_Body; }

  boost::asio::io_context m_Context;
  PlatformService m_Service{m_Context};
};

// The manifest version and the part `zones` that a mode serves on the first and
// second read after version 3 was published. Version 0 is an unreadable
// manifest.
struct ModeCase {
  const char *m_Mode;
  core::Version m_Manifest[2];
  const char *m_Zones[2];
};

const ModeCase ModeCases[] = {
    {"ok", {3, 3}, {"[zone v3]\n", "[zone v3]\n"}},
    {"stale", {3, 3}, {"[zone v3]\n", "[zone v3]\n"}},
    {"stale 1", {1, 1}, {"[zone v1]\n", "[zone v1]\n"}},
    {"crossing", {2, 3}, {"[zone v3]\n", "[zone v3]\n"}},
    {"crossing_parts", {3, 3}, {"[zone v2]\n", "[zone v3]\n"}},
    {"truncated", {0, 0}, {"[zon", "[zon"}},
};

} // namespace

TEST_CASE("each mode serves the expected versions of manifest and parts") {
  for (const ModeCase &Case : ModeCases) {
    CAPTURE(Case.m_Mode);
    Fixture Platform;
    CHECK(
        Platform.admin("POST", "/admin/mode", Case.m_Mode)->m_Reply.m_Status ==
        200);
    for (int Use = 0; Use < 2; ++Use) {
      if (Case.m_Manifest[Use] > 0)
        CHECK(Platform.manifestVersion() == Case.m_Manifest[Use]);
      else
        CHECK_THROWS_AS(Platform.manifestVersion(), core::Error);
      CHECK(Platform.zones().starts_with(Case.m_Zones[Use]));
    }
    Platform.admin("POST", "/admin/mode", "ok");
    CHECK(Platform.manifestVersion() == 3);
  }
}

TEST_CASE("a stale platform does not show later commits") {
  Fixture Platform;
  Platform.admin("POST", "/admin/mode", "stale");
  const FakeExchangePtr Watch = Platform.read("/manifest", "3");
  Platform.publish("[zone v4]\n");
  CHECK(Platform.manifestVersion() == 3);
  CHECK(Watch->m_Outcome == FakeOutcome::None);
  Platform.admin("POST", "/admin/mode", "ok");
  CHECK(Watch->m_Outcome == FakeOutcome::Reply);
  CHECK(Platform.zones() == "[zone v4]\n");
}

TEST_CASE("unknown modes and versions are refused") {
  for (const char *Mode : {"", "slow", "slow -1", "stale 9", "dawn"}) {
    CAPTURE(Mode);
    Fixture Platform;
    CHECK(Platform.admin("POST", "/admin/mode", Mode)->m_Reply.m_Status == 400);
    CHECK(Platform.manifestVersion() == 3);
  }
}

TEST_CASE("a platform that is down drops requests and watches") {
  Fixture Platform;
  const FakeExchangePtr Watch = Platform.read("/manifest", "3");
  Platform.admin("POST", "/admin/mode", "down");
  CHECK(Watch->m_Outcome == FakeOutcome::Drop);
  CHECK(Watch->m_FinishCount == 1);
  CHECK(Platform.read("/manifest")->m_Outcome == FakeOutcome::Drop);
  CHECK(Platform.read("/part/zones")->m_Outcome == FakeOutcome::Drop);
  CHECK(Platform.read("/hosts")->m_Outcome == FakeOutcome::Drop);
}

TEST_CASE("a platform in mode cut sends half of a value") {
  Fixture Platform;
  Platform.admin("POST", "/admin/mode", "cut");
  CHECK(Platform.read("/part/zones")->m_Outcome == FakeOutcome::Reset);
}

TEST_CASE("watches end at a newer value, at their timeout, or when their "
          "caller disconnects") {
  Fixture Platform;
  CHECK(Platform.read("/manifest", "2")->m_Reply.m_Status == 200);
  const FakeExchangePtr Woken = Platform.read("/manifest", "3", "60000");
  const FakeExchangePtr Hosts = Platform.read("/hosts", "1", "60000");
  const FakeExchangePtr Disconnected = Platform.read("/manifest", "3", "60000");
  const FakeExchangePtr Expired = Platform.read("/manifest", "9", "1");
  CHECK(Platform.counters()["waiting_watches"] == 4);
  Disconnected->disconnectCaller();
  CHECK(Platform.counters()["waiting_watches"] == 3);
  Platform.m_Context.run_for(std::chrono::milliseconds(100));
  CHECK(Expired->m_Reply.m_Status == 204);
  Platform.publish("[zone v4]\n");
  CHECK(Woken->m_Reply.m_Status == 200);
  CHECK(Disconnected->m_Outcome == FakeOutcome::None);
  CHECK(Hosts->m_Outcome == FakeOutcome::None);
  Platform.admin("POST", "/admin/hosts", "[host h]\nzone = v4\n");
  CHECK(Hosts->m_Reply.m_Body ==
        "[hosts]\nrevision = 2\ncount = 1\n[host h]\nzone = v4\n");
  CHECK(Platform.counters()["waiting_watches"] == 0);
}

TEST_CASE("a raw manifest is published unchanged") {
  Fixture Platform;
  const FakeExchangePtr Watch = Platform.read("/manifest", "3");
  Platform.admin("POST", "/admin/raw/manifest", "[manifest");
  CHECK(Watch->m_Reply.m_Body == "[manifest");
  Platform.publish("[zone v5]\n");
  CHECK(Platform.manifestVersion() == 5);
}

TEST_CASE("a removed part is absent from the next version") {
  Fixture Platform;
  CHECK(Platform.admin("DELETE", "/admin/part/zones")->m_Reply.m_Status == 200);
  CHECK(Platform.zones() == "[zone v3]\n");
  Platform.admin("POST", "/admin/commit");
  CHECK(Platform.read("/part/zones")->m_Reply.m_Status == 404);
  CHECK(Platform.admin("DELETE", "/admin/part/zones")->m_Reply.m_Status == 404);
}

TEST_CASE("every call is counted by kind, regardless of its response") {
  Fixture Platform;
  Platform.admin("POST", "/admin/mode", "down");
  Platform.read("/manifest");
  Platform.read("/manifest", "3");
  Platform.read("/part/zones");
  Platform.read("/part/none");
  Platform.read("/hosts");
  Platform.read("/elsewhere");
  const nlohmann::json Counters = Platform.counters();
  CHECK(Counters["calls"] == 6);
  CHECK(Counters["peak_calls_per_s"] == 6);
  CHECK(Counters["by_kind"] == nlohmann::json{{"manifest", 1},
                                              {"manifest_watch", 1},
                                              {"part", 2},
                                              {"hosts", 1},
                                              {"refused", 1}});
  Platform.admin("DELETE", "/admin/counters");
  CHECK(Platform.counters()["calls"] == 0);
}
