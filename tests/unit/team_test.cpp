// Teams: their definition, keys and priority, and the proof that a key needs.
#include "dandelionfall/core/team.h"

#include "app/node/caller_response.h"
#include "core/ingress/team_guard.h"
#include "dandelionfall/core/configuration_reader.h"
#include "dandelionfall/core/freshness.h"
#include "ingress_fixture.h"
#include "platform/http_dialect.h"
#include "platform/record_decoder.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <limits>

using namespace dandelionfall;
using namespace dandelionfall::core;
using Json = nlohmann::json;

namespace {

constexpr char Secret[] = "28m82thhkmgjqnirth5m";

TeamDefinition define(const std::string &Name, std::vector<std::string> Keys,
                      std::uint32_t Priority = 0, TeamQuota Quota = {}) {
  return {{Name, Priority, Quota}, std::move(Keys)};
}

std::shared_ptr<const TeamTable> makeTeams() {
  return std::make_shared<const TeamTable>(std::vector<TeamDefinition>{
      define("ferries", {Secret, "second"}, 1), define("tugs", {"third"}, 0)});
}

Json makePublished(const Json &Teams) {
  return {{"version", 7},
          {"routes",
           {{{"host", "h.example"},
             {"prefix", "/a/"},
             {"kind", "idempotent"},
             {"timeout-ms", 1000},
             {"target-latency-ms", 300},
             {"priority", 2},
             {"max-attempts", 2},
             {"service", "desk"},
             {"public", true}}}},
          {"services",
           {{{"name", "desk"},
             {"max-connections", 9},
             {"cold-start-s", 3},
             {"cold-per-s", 14}}}},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 1000},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15'000}}},
          {"tenants", Teams}};
}

DecodedRecord decode(const std::string &Text) {
  return platform::PlatformRecordDecoder().decode(
      {"op/config", 9, std::make_shared<const std::string>(Text)});
}

Json makeTeam(const Json &Changes) {
  Json Team = {{"name", "ferries"},
               {"api-keys", {Secret}},
               {"priority", 1},
               {"rate-per-s", 20.5},
               {"burst", 10}};
  Team.update(Changes);
  return Team;
}

PartMap makeParts(const std::string &Teams) {
  PartMap Parts;
  Parts["teams"] =
      std::make_shared<const Part>(Part{"teams", computeDigest(Teams), Teams});
  return Parts;
}

/// An ingress with one service, whose configuration has teams.
struct TeamFixture : IngressFixture {
  explicit TeamFixture(std::optional<Duration> MaxProofAge = std::nullopt)
      : IngressFixture({"h0",
                        "a",
                        {7, 7},
                        1,
                        "least-loaded-of-two",
                        nullptr,
                        nullptr,
                        MaxProofAge}) {
    apply(1);
  }

  void apply(Version Number, bool Public = false) {
    ConfigurationBuilder Builder;
    Builder.m_Version = Number;
    auto Config = std::make_shared<Configuration>(*Builder.build());
    auto Desk = std::make_shared<Service>(*Config->m_Services["desk"]);
    Desk->m_Routes.front().m_Public = Public;
    Desk->m_Routes.front().m_Priority = 2;
    Config->m_Services["desk"] = Desk;
    Config->m_Teams = makeTeams();
    m_Ingress.onConfiguration(Config, m_Now);
    performCommands();
  }

  CallOutcome ask(CallId Id, const std::string &Key) {
    m_Ingress.onCall(Id, makeRequest("GET"), std::nullopt, m_Now, "c", Key);
    performCommands();
    if (!outcome(Id))
      answer(m_Dispatches.back());
    return *outcome(Id);
  }
};

} // namespace

TEST_CASE("a team is found by any of its keys, and by nothing else") {
  const auto Teams = makeTeams();
  CHECK(Teams->findByKey(Secret)->m_Name == "ferries");
  CHECK(Teams->findByKey("second")->m_Name == "ferries");
  CHECK(Teams->findByKey("third")->m_Name == "tugs");
  for (const char *Other : {"", "Second", "secon", "second ", "ferries"})
    CHECK(Teams->findByKey(Other) == nullptr);
}

TEST_CASE("faults of teams name the team and the remedy, but no key") {
  constexpr double Nan = std::numeric_limits<double>::quiet_NaN();
  const std::vector<std::vector<TeamDefinition>> Faulty = {
      {define("", {"a"})},
      {define("x\r\ny", {"a"})},
      {define("x", {"a"}), define("x", {"b"})},
      {define("x", {Secret}), define("y", {Secret})},
      {define("x", {Secret, Secret})},
      {define("x", {""})},
      {define("x", {"a"}, 1U << 20U)},
      {define("x", {"a"}, 0, {-1, 0})},
      {define("x", {"a"}, 0, {1, -1})},
      {define("x", {"a"}, 0, {Nan, 0})},
  };
  for (const auto &Definitions : Faulty) {
    const auto Fault = findTeamFault(Definitions);
    REQUIRE(Fault);
    CHECK(Fault->m_Index == Definitions.size() - 1);
    CHECK(!Fault->m_Remedy.empty());
    CHECK(Fault->m_Fault.find(Secret) == std::string::npos);
  }
  CHECK(!findTeamFault({define("x", {}), define("y", {"a"}, 3, {8.5, 0})}));
}

TEST_CASE("the teams of a store's configuration are read") {
  const auto Read = decode(makePublished({makeTeam(Json::object()),
                                          makeTeam({{"name", "tugs"},
                                                    {"api-keys", {"x"}},
                                                    {"rate-per-s", nullptr},
                                                    {"burst", nullptr}})})
                               .dump());
  const auto *Config =
      std::get_if<std::shared_ptr<const PublishedConfiguration>>(&Read);
  REQUIRE(Config != nullptr);
  CHECK((*Config)->m_Routes->front().m_Public);
  CHECK((*Config)->m_Teams->teams() ==
        std::vector<Team>{{"ferries", 1, {20.5, 10}}, {"tugs", 1, {}}});
  const auto None = decode(makePublished(Json::array()).dump());
  CHECK(
      std::get<std::shared_ptr<const PublishedConfiguration>>(None)->m_Teams ==
      nullptr);
}

TEST_CASE("a configuration with faulty teams is refused without naming a key") {
  const Json Faulty[] = {{{"name", 3}},
                         {{"api-keys", {Secret, 4}}},
                         {{"api-keys", {Secret, Secret}}},
                         {{"api-keys", {Secret, ""}}},
                         {{"rate-per-s", -1}},
                         {{"burst", "much"}},
                         {{"priority", -1}}};
  std::vector<std::string> Texts;
  for (const Json &Changes : Faulty)
    Texts.push_back(makePublished({makeTeam(Changes)}).dump());
  const std::string Text = makePublished({makeTeam(Json::object())}).dump();
  Texts.push_back(Text.substr(0, Text.find(Secret) + sizeof(Secret) - 3));
  Texts.push_back(std::string("{\"tenants\": ") + Secret);
  for (const std::string &Each : Texts) {
    const auto Read = decode(Each);
    const auto *Refused = std::get_if<UnreadableRecord>(&Read);
    REQUIRE(Refused != nullptr);
    CHECK(Refused->m_Fault.find(std::string(Secret).substr(0, 6)) ==
          std::string::npos);
  }
}

TEST_CASE("the teams of a published part are read and checked") {
  const auto Faults = [](const std::string &Text) {
    std::vector<int> Lines;
    for (const Error &Each : checkConfiguration(makeParts(Text))) {
      CHECK(std::string(Each.what()).find(Secret) == std::string::npos);
      Lines.push_back(Each.location().m_Line);
    }
    return Lines;
  };
  const std::string Ferries = std::string("[team ferries]\nkeys = a, ") +
                              Secret +
                              "\npriority = 1\nrate_per_s = 20.5\nburst = 10\n";
  CHECK(Faults(Ferries).empty());
  CHECK(Faults(Ferries + "[team tugs]\nkeys = " + Secret + "\n") ==
        std::vector<int>{6});
  CHECK(Faults("[team x]\nkeys = a,,b\n") == std::vector<int>{1});
  CHECK(Faults("[team x]\nrate_per_s = -1\n") == std::vector<int>{2});
  CHECK(Faults("[group x]\n") == std::vector<int>{1});
  CHECK(Faults(std::string("[team x]\nkeys = a,\n") + Secret + "==\n") ==
        std::vector<int>{3, 1});
}

TEST_CASE("a node takes the key out of a request, and any name of a team") {
  struct {
    std::vector<HttpField> m_Fields;
    std::string m_Key;
  } const Cases[] = {
      {{{"X", "1"}}, ""},
      {{{"x-api-key", "k"}, {"X", "1"}}, "k"},
      {{{"X-Api-Key", "k"}, {"tenant", "tugs"}, {"X", "1"}}, "k"},
      {{{"X-Api-Key", "k"}, {"X-API-KEY", "k"}, {"X", "1"}}, ""},
  };
  for (const auto &Case : Cases) {
    HttpRequest Request;
    Request.m_Fields = Case.m_Fields;
    CHECK(app::takeKey(platform::httpDialect(), Request) == Case.m_Key);
    CHECK(Request.m_Fields == std::vector<HttpField>{{"X", "1"}});
    CHECK(app::makeTargetRequest(platform::httpDialect(), Request, 1s, "i",
                                 "ferries")
              .m_Fields.back() == HttpField{"Tenant", "ferries"});
  }
}

TEST_CASE("only requests with a key in force run, with their team's name") {
  TeamFixture Test;
  CHECK(Test.ask(1, Secret) == CallOutcome::Answered);
  CHECK(Test.m_Dispatches.back().m_Message.m_Team == "ferries");
  CHECK(Test.ask(2, "none") == CallOutcome::UnknownKey);
  CHECK(Test.ask(3, "") == CallOutcome::UnknownKey);
  CHECK(Test.m_Answers[3].m_RetryAfter == Duration{0});
  CHECK(Test.m_Dispatches.size() == 1);
  Test.apply(2, /*Public=*/true);
  for (const CallId Id : {4, 5}) {
    CHECK(Test.ask(Id, Id == 4 ? "none" : Secret) == CallOutcome::Answered);
    CHECK(Test.m_Dispatches.back().m_Message.m_Team.empty());
  }
  for (const Event &Each : Test.m_Events)
    CHECK(Each.m_Detail.find(Secret) == std::string::npos);
}

TEST_CASE("the priority of a team goes before that of a route") {
  TeamFixture Test;
  Test.ask(1, Secret);
  const auto Ferries = Test.m_Dispatches.back().m_Message.m_Priority;
  Test.ask(2, "third");
  const auto Tugs = Test.m_Dispatches.back().m_Message.m_Priority;
  Route Urgent;
  Route Other;
  Other.m_Priority = 100'000;
  const Team High{"high", 0, {}};
  const Team Low{"low", 1, {}};
  CHECK(Tugs < Ferries);
  CHECK(ingress::combinedPriority(&High, Other) <
        ingress::combinedPriority(&Low, Urgent));
  CHECK(ingress::combinedPriority(&High, Urgent) <
        ingress::combinedPriority(&High, Other));
  CHECK(ingress::combinedPriority(nullptr, Urgent) == 0);
}

TEST_CASE("without a recent proof no key is accepted, and none is unknown") {
  TeamFixture Test(5s);
  const TimePoint Start = Test.m_Now;
  CHECK(Test.ask(1, Secret) == CallOutcome::NotRun);
  CHECK(Test.m_Answers[1].m_RetryAfter > Duration{0});
  Test.m_Ingress.onFreshness({1, Start});
  CHECK(Test.ask(2, Secret) == CallOutcome::Answered);
  Test.suspend(5s);
  CHECK(Test.ask(3, Secret) == CallOutcome::Answered);
  Test.suspend(1ms);
  CHECK(Test.ask(4, Secret) == CallOutcome::NotRun);
  CHECK(Test.ask(5, "none") == CallOutcome::NotRun);
  // A proof of a version that is not applied yet proves the applied one to be
  // outdated.
  Test.m_Ingress.onFreshness({2, Test.m_Now});
  CHECK(Test.ask(6, Secret) == CallOutcome::NotRun);
  Test.apply(2);
  CHECK(Test.ask(7, Secret) == CallOutcome::Answered);
  // An older proof that arrives late changes nothing.
  Test.m_Ingress.onFreshness({2, Start});
  CHECK(Test.ask(8, Secret) == CallOutcome::Answered);
}
