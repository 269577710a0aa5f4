#include "dandelionfall/app/status_report.h"

#include "dandelionfall/core/error.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace dandelionfall;

namespace {

app::StatusReport sample() {
  return {.m_Host = "host-1",
          .m_Zone = "sindos",
          .m_Incarnation = "00000000000000010000000000000002",
          .m_ProgramVersion = "0.1.0",
          .m_Held = {8, 0xfedcba9876543210},
          .m_Applied = {7, 0x1},
          .m_HostList = {3, 0x2},
          .m_Ready = true,
          .m_Draining = false,
          .m_Reader = true,
          .m_ControlLinks = 8,
          .m_ListedHosts = 12,
          .m_SourceCalls = 99,
          .m_Target = "slotboard-1",
          .m_TargetLimit = 12,
          .m_TargetInFlight = 4,
          .m_TargetQueued = 1,
          .m_OpenCalls = 5,
          .m_WatchMode = "publishing",
          .m_Followers = 3,
          .m_ConfigurationVersion = 17,
          .m_StoreHistory = 2,
          .m_ConfirmedAgoS = 0.25,
          .m_ProofAgeS = 1.5,
          .m_ProcessorShare = 0.1,
          .m_Cores = 1,
          .m_MemoryMb = 160,
          .m_Descriptors = 4100,
          .m_LinkMbps = 20.5,
          .m_BodyHeldBytes = 1'000'000,
          .m_BodyLimitBytes = 72'000'000,
          .m_BodiesRefused = 12};
}

} // namespace

TEST_CASE("a status report survives a JSON round trip") {
  CHECK(app::statusFromJson(app::toJson(sample())) == sample());
  CHECK(app::statusFromJson(app::toJson({})) == app::StatusReport{});
}

TEST_CASE("a status report as text names version, readiness and limits") {
  const std::string Text = app::toText(sample());
  for (const char *Line :
       {"applied version: 7/0000000000000001\n", "ready: yes\n",
        "draining: no\n", "control links: 8\n", "target limit: 12\n",
        "availability zone: sindos\n", "watch mode: publishing\n",
        "processor share: 0.1\n", "link Mbit/s: 20.5\n"}) {
    CAPTURE(Line);
    CHECK(Text.find(Line) != std::string::npos);
  }
}

TEST_CASE(
    "a status report as a line has a pair without spaces for each field") {
  const std::string Line = app::toLine(sample());
  CHECK(Line.starts_with("host=host-1 zone=sindos "));
  CHECK(Line.find(" held=8/fedcba9876543210 ") != std::string::npos);
  CHECK(Line.find(" open_calls=5 ") != std::string::npos);
  CHECK(Line.find(" link_mbps=20.5 ") != std::string::npos);
  CHECK(Line.find(" bodies_refused=12\n") != std::string::npos);
  constexpr int Fields = 32;
  CHECK(std::count(Line.begin(), Line.end(), '=') == Fields);
  CHECK(std::count(Line.begin(), Line.end(), ' ') == Fields - 1);
}

TEST_CASE("a malformed status report is refused with a remedy") {
  std::string BadDigest = app::toJson(sample());
  BadDigest.replace(BadDigest.find("fedcba"), 6, "fedcbx");
  std::string BadType = app::toJson(sample());
  BadType.replace(BadType.find("true"), 4, "1.50");
  for (const std::string &Text : {std::string(), std::string("[]"),
                                  std::string("{}"), BadDigest, BadType}) {
    CAPTURE(Text);
    try {
      app::statusFromJson(Text);
      FAIL("accepted");
    } catch (const core::Error &Fault) {
      CHECK(Fault.kind() == core::ErrorKind::MalformedMessage);
      CHECK_FALSE(Fault.remedy().empty());
    }
  }
}
