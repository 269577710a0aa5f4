// Limits of the operators' configuration in a store: what is served as it
// stands, and what is refused whole.
#include "dandelionfall/core/registry.h"

#include "platform/record_decoder.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace dandelionfall;
using Json = nlohmann::json;

namespace {

Json route(const std::string &Host, const std::string &Prefix,
           const std::string &Service) {
  return {{"name", "r"},        {"host", Host},
          {"prefix", Prefix},   {"kind", "non_idempotent"},
          {"timeout-ms", 1500}, {"target-latency-ms", 500},
          {"priority", 1},      {"max-attempts", 2},
          {"service", Service}};
}

Json service(const std::string &Name) {
  return {{"name", Name},
          {"max-connections", 9},
          {"cold-start-s", 3},
          {"cold-per-s", 14}};
}

Json configuration(int Version) {
  return {{"version", Version},
          {"routes", {route("h.example", "/a/", "desk")}},
          {"services", {service("desk"), service("board")}},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 67'108'864},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15'000}}}};
}

struct World {
  World() { CHECK(write(configuration(4))); }

  bool write(const Json &Value) {
    ++m_Revision;
    return m_Registry.apply(
        {{"op/config", m_Revision,
          std::make_shared<const std::string>(Value.dump())}},
        m_Revision, core::TimePoint(std::chrono::seconds(100)));
  }

  /// Writes version 5 with a change to one field.
  bool change(const std::string &Pointer, Json Value) {
    Json Changed = configuration(5);
    Changed[Json::json_pointer(Pointer)] = std::move(Value);
    return write(Changed);
  }

  /// \returns the service of the route that a request selects; empty if there
  /// is none.
  std::string serviceOf(const std::string &Host, const std::string &Path) {
    const auto Config = m_Registry.configuration();
    const core::RouteMatch Match = core::findRoute(*Config, Host, Path);
    return Match.m_Route == nullptr ? ""
                                    : Match.m_Route->m_Split.front().m_Service;
  }

  /// \returns the details of the refusals since the last call.
  std::vector<std::string> takeRefusals() {
    std::vector<std::string> Details;
    for (const core::Event &Each : m_Registry.takeEvents()) {
      if (Each.m_Id == core::EventId::RecordRefused)
        Details.push_back(Each.m_Detail);
    }
    return Details;
  }

  platform::PlatformRecordDecoder m_Decoder;
  core::Registry m_Registry{m_Decoder, {{{"kalamaria", "gr-north"}}, 7620, {}}};
  core::Revision m_Revision = 1;
};

struct RefusedCase {
  std::string m_Pointer;
  Json m_Value;
  /// Part of the event's detail.
  std::string m_Fault;
};

const Json Split = {{{"service", "desk"}, {"weight", 0}},
                    {{"service", "board"}, {"weight", 0}}};
const Json HugeSplit = {{{"service", "desk"}, {"weight", 1e308}},
                        {{"service", "board"}, {"weight", 1e308}}};

const RefusedCase RefusedCases[] = {
    {"/routes/0/prefix", "a/", "begin and end it with '/'"},
    {"/routes/0/prefix", "/a", "begin and end it with '/'"},
    {"/routes/0/prefix", "/a?b/", "without blanks, '?' and '#'"},
    {"/routes/0/prefix", "/a#b/", "without blanks, '?' and '#'"},
    {"/routes/0/prefix", "/a b/", "without blanks, '?' and '#'"},
    {"/routes/0/host", "h.example:80", "write it without a port"},
    {"/routes/1", route("H.example", "/a/", "board"), "is defined twice"},
    {"/routes/0/priority", 2'147'483'648, "at most 2147483647"},
    {"/routes/0/traffic-split", Split, "sum of the weights"},
    {"/routes/0/traffic-split", HugeSplit, "sum of the weights"},
    {"/routes/0/timeout-ms", 86'400'001, "timeout-ms is longer than a day"},
    {"/services/1", service("desk"), "is defined twice"},
};

} // namespace

TEST_CASE("a prefix of any length selects its route") {
  for (const std::size_t Length : {200U, 254U, 255U, 256U, 297U, 9000U}) {
    CAPTURE(Length);
    World Node;
    const std::string Long = "/a/" + std::string(Length, 'x') + "/";
    Json Changed = configuration(5);
    Changed["routes"].push_back(route("h.example", Long, "board"));
    CHECK(Node.write(Changed));
    CHECK(Node.serviceOf("h.example", Long) == "board");
    CHECK(Node.serviceOf("h.example", Long + "17?x=1") == "board");
    CHECK(Node.serviceOf("h.example", Long.substr(0, Length)) == "desk");
    CHECK(Node.takeRefusals().empty());
  }
}

TEST_CASE("a host in any case selects its routes") {
  World Node;
  CHECK(Node.change("/routes/0/host", "Ice.Example"));
  CHECK(Node.serviceOf("ice.example", "/a/7") == "desk");
  CHECK(Node.serviceOf("ICE.example:8101", "/a/7") == "desk");
}

TEST_CASE("a configuration that can't be served is refused whole, with what "
          "and why") {
  for (const RefusedCase &Case : RefusedCases) {
    CAPTURE(Case.m_Pointer);
    CAPTURE(Case.m_Fault);
    World Node;
    CHECK_FALSE(Node.change(Case.m_Pointer, Case.m_Value));
    CHECK(Node.m_Registry.version() == 4);
    CHECK(Node.serviceOf("h.example", "/a/7") == "desk");
    const std::vector<std::string> Refusals = Node.takeRefusals();
    REQUIRE(Refusals.size() == 1);
    CHECK(Refusals.front().find("key=op/config") != std::string::npos);
    CHECK(Refusals.front().find("version 5") != std::string::npos);
    CHECK(Refusals.front().find(Case.m_Fault) != std::string::npos);
  }
}

TEST_CASE("values at the limits are served") {
  const std::pair<std::string, Json> Cases[] = {
      {"/routes/0/priority", 2'147'483'647},
      {"/routes/0/max-attempts", 1000},
      {"/routes/0/max-attempts", 0},
      {"/services/0/max-connections", 0},
      {"/routes/0/timeout-ms", 86'400'000},
      {"/routes/1", route("h.example", "/b/", "board")},
      {"/services/1", service(std::string(1000, 's'))},
      {"/limits/max-body-bytes", 1ULL << 40U},
  };
  for (const auto &Case : Cases) {
    CAPTURE(Case.first);
    World Node;
    CHECK(Node.change(Case.first, Case.second));
    CHECK(Node.m_Registry.version() == 5);
    CHECK(Node.takeRefusals().empty());
  }
}
