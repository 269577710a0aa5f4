#include "configuration_sample.h"

#include <doctest/doctest.h>

#include <string>

using namespace dandelionfall::core;

namespace {

struct LookupCase {
  const char *m_HostName;
  std::string m_Path;
  /// Service and path prefix of the expected match; empty if there is none.
  std::string m_Service;
  std::string m_PathPrefix;
};

ConfigurationPtr buildRoutes() {
  const PartMap Parts = makeParts({
      {"profiles", "[profile board]\n"},
      {"service/all", "[service all]\nprofile = board\n[route /]\n"},
      {"service/board", "[service board]\nprofile = board\n[route /board]\n"
                        "[route /board/slots/]\n[route /board/slots/new]\n"},
      {"service/hosted", "[service hosted]\nprofile = board\n[route /board]\n"
                         "host_name = ice.example\n[route /only]\n"
                         "host_name = ice.example\n"},
  });
  return buildConfiguration(makeManifest(1, Parts), Parts);
}

const LookupCase LookupCases[] = {
    {"", "/board", "board", "/board"},
    {"", "/board/", "board", "/board"},
    {"", "/board?x=/board/slots/new", "board", "/board"},
    {"", "/boards", "all", "/"},
    {"", "/board/slots", "board", "/board"},
    {"", "/board/slots/", "board", "/board/slots/"},
    {"", "/board/slots/7", "board", "/board/slots/"},
    {"", "/board/slots/new", "board", "/board/slots/new"},
    {"", "/board/slots/new?a=b", "board", "/board/slots/new"},
    {"", "/board/slots/newer", "board", "/board/slots/"},
    {"", "/only", "all", "/"},
    {"ice.example", "/only/x", "hosted", "/only"},
    {"ICE.example:8101", "/only", "hosted", "/only"},
    {"ice.example", "/board/slots/new", "hosted", "/board"},
    {"other.example", "/board/slots/new", "board", "/board/slots/new"},
    {"[::1]:8101", "/board", "board", "/board"},
    {"[::1]", "/board", "board", "/board"},
    {"", "", "", ""},
    {"", "board", "", ""},
    {"", "*", "", ""},
    {"", "/board" + std::string(100'000, '/'), "board", "/board"},
};

} // namespace

TEST_CASE("the host name takes precedence, then the longest path prefix") {
  const ConfigurationPtr Config = buildRoutes();
  for (const LookupCase &Case : LookupCases) {
    CAPTURE(Case.m_HostName);
    CAPTURE(Case.m_Path.substr(0, 100));
    const RouteMatch Match = findRoute(*Config, Case.m_HostName, Case.m_Path);
    REQUIRE((Match.m_Route == nullptr) == Case.m_Service.empty());
    if (Match.m_Route == nullptr)
      continue;
    CHECK(Match.m_Service->m_Name == Case.m_Service);
    CHECK(Match.m_Route->m_PathPrefix == Case.m_PathPrefix);
  }
}

TEST_CASE("routes are found in a configuration without an index") {
  Configuration WithoutIndex;
  WithoutIndex.m_Services = buildRoutes()->m_Services;
  CHECK(findRoute(WithoutIndex, "", "/board/slots/7").m_Service ==
        WithoutIndex.m_Services.at("board").get());
}

TEST_CASE("a published prefix of any length selects its route") {
  const std::string Long = "/board/" + std::string(5000, 'x');
  const PartMap Parts = makeParts({
      {"profiles", "[profile board]\n"},
      {"service/board", "[service board]\nprofile = board\n[route /board]\n"},
      {"service/long",
       "[service long]\nprofile = board\n[route " + Long + "]\n"},
  });
  const ConfigurationPtr Config =
      buildConfiguration(makeManifest(1, Parts), Parts);
  CHECK(findRoute(*Config, "", Long + "/7").m_Service->m_Name == "long");
  CHECK(findRoute(*Config, "", Long + "y").m_Service->m_Name == "board");
}
