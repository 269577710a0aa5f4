#include "app/node/caller_response.h"
#include "platform/http_dialect.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace dandelionfall;
using core::CallOutcome;
using std::chrono::milliseconds;

namespace {

std::vector<std::string> valuesOf(const std::vector<core::HttpField> &Fields,
                                  std::string_view Name) {
  std::vector<std::string> Result;
  for (const core::HttpField &Field : Fields) {
    if (Field.m_Name == Name)
      Result.push_back(Field.m_Value);
  }
  return Result;
}

using Values = std::vector<std::string>;

struct OutcomeCase {
  CallOutcome m_Outcome;
  std::uint32_t m_Status;
  std::string m_Name;
};

struct DeadlineCase {
  std::string m_Name;
  std::string m_Value;
  std::optional<core::Duration> m_Expected;
};

} // namespace

TEST_CASE("an outcome decided by a node is stated in the response") {
  const std::vector<OutcomeCase> Cases = {
      {CallOutcome::NotRun, 503, "not-run"},
      {CallOutcome::Unknown, 504, "unknown"},
      {CallOutcome::NoRoute, 404, "no-route"},
  };
  for (const OutcomeCase &Case : Cases) {
    CAPTURE(Case.m_Name);
    const auto Response = app::makeCallerResponse(
        core::defaultDialect(),
        {1, Case.m_Outcome, nullptr, milliseconds(1200), "why"});
    CHECK(Response.m_Status == Case.m_Status);
    CHECK(valuesOf(Response.m_Fields, "Dandelionfall-Outcome") ==
          Values{Case.m_Name});
    CHECK(valuesOf(Response.m_Fields, "Retry-After") == Values{"2"});
    CHECK(valuesOf(Response.m_Fields, "Dandelionfall-Retry-After-Ms") ==
          Values{"1200"});
    CHECK(Response.m_Body == Case.m_Name + ": why\n");
  }
}

TEST_CASE("a response has no retry time if none is known") {
  const auto Response = app::makeCallerResponse(
      core::defaultDialect(), {1, CallOutcome::Unknown, nullptr, {}, "why"});
  CHECK(valuesOf(Response.m_Fields, "Retry-After").empty());
  CHECK(valuesOf(Response.m_Fields, "Dandelionfall-Retry-After-Ms").empty());
}

TEST_CASE("a node's own fields are removed from a target's response") {
  // Otherwise the caller could take the response for a refusal by a node.
  const core::HttpResponse TargetResponse{
      503,
      {{"Dandelionfall-Outcome", "not-run"},
       {"X", "1"},
       {"dandelionfall-outcome", "unknown"},
       {"DANDELIONFALL-RETRY-AFTER-MS", "5"},
       {"Dandelionfall-Other", "kept"},
       {"Retry-After", "3"}},
      "body"};
  const auto Response = app::makeCallerResponse(
      core::defaultDialect(),
      {1,
       CallOutcome::Answered,
       std::make_shared<const core::HttpResponse>(TargetResponse),
       {},
       ""});
  const std::vector<core::HttpField> Expected = {
      {"X", "1"}, {"Dandelionfall-Other", "kept"}, {"Retry-After", "3"}};
  CHECK(Response.m_Fields == Expected);
  CHECK(Response.m_Status == 503);
  CHECK(Response.m_Body == "body");
}

TEST_CASE("a body over the limit of its service's profile is refused") {
  core::Configuration Config;
  Config.m_Profiles["small"].m_MaxBodyBytes = 3;
  core::Service Service;
  Service.m_Name = "s";
  Service.m_Profile = "small";
  Service.m_Routes.emplace_back().m_PathPrefix = "/s";
  Config.m_Services["s"] = std::make_shared<const core::Service>(Service);
  core::HttpRequest Request;
  Request.m_Path = "/s/1";
  Request.m_Body = "123";
  CHECK_FALSE(app::refuseLargeBody(core::defaultDialect(), Config, Request)
                  .has_value());
  Request.m_Body = "1234";
  const auto Response =
      app::refuseLargeBody(core::defaultDialect(), Config, Request);
  REQUIRE(Response.has_value());
  CHECK(Response->m_Status == 413);
  CHECK(valuesOf(Response->m_Fields, "Dandelionfall-Outcome") ==
        Values{"not-run"});
  CHECK(Response->m_Body.find("3 bytes") != std::string::npos);
  Request.m_Path = "/other";
  CHECK_FALSE(app::refuseLargeBody(core::defaultDialect(), Config, Request)
                  .has_value());
}

TEST_CASE("a caller's deadline is read, or ignored if invalid") {
  const std::vector<DeadlineCase> Cases = {
      {"Dandelionfall-Deadline-Ms", "500", milliseconds(500)},
      {"dandelionfall-deadline-ms", "1", milliseconds(1)},
      {"Dandelionfall-Deadline-Ms", "86400000", milliseconds(86'400'000)},
      {"Dandelionfall-Deadline-Ms", "86400001", std::nullopt},
      {"Dandelionfall-Deadline-Ms", "0", std::nullopt},
      {"Dandelionfall-Deadline-Ms", "-5", std::nullopt},
      {"Dandelionfall-Deadline-Ms", "5x", std::nullopt},
      {"Dandelionfall-Deadline-Ms", " 5", std::nullopt},
      {"Dandelionfall-Deadline-Ms", "99999999999999", std::nullopt},
      {"Dandelionfall-Deadline-Ms", "", std::nullopt},
      {"Deadline-Ms", "500", std::nullopt},
  };
  for (const DeadlineCase &Case : Cases) {
    CAPTURE(Case.m_Name);
    CAPTURE(Case.m_Value);
    core::HttpRequest Request;
    Request.m_Fields = {{"X", "1"}, {Case.m_Name, Case.m_Value}};
    CHECK(app::parseCallerDeadline(core::defaultDialect(), Request) ==
          Case.m_Expected);
  }
}

TEST_CASE("a target's request has the remaining time and no other change") {
  core::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Path = "/a";
  Request.m_Body = "b";
  Request.m_Fields = {{"dandelionfall-deadline-MS", "9000"},
                      {"X", "1"},
                      {"Dandelionfall-Deadline-Ms", "8000"}};
  core::HttpRequest Expected = Request;
  Expected.m_Fields = {{"X", "1"}, {"Dandelionfall-Deadline-Ms", "250"}};
  CHECK(app::makeTargetRequest(core::defaultDialect(), Request,
                               std::chrono::microseconds(250'900),
                               "") == Expected);
  Expected.m_Fields.back().m_Value = "1";
  CHECK(app::makeTargetRequest(core::defaultDialect(), Request,
                               core::Duration::zero(), "") == Expected);
  CHECK(app::makeTargetRequest(core::defaultDialect(), Request,
                               milliseconds(-5), "") == Expected);
}

TEST_CASE("responses are classified in the platform's dialect") {
  struct {
    std::uint32_t m_Status;
    std::vector<core::HttpField> m_Fields;
    bool m_Idempotent;
    app::ResponseClass m_Expected;
  } const Cases[] = {
      {200, {{"Response-Signature", "s"}}, false, app::ResponseClass::Complete},
      {200, {}, true, app::ResponseClass::Ambiguous},
      {500, {{"Response-Signature", "s"}}, false, app::ResponseClass::Complete},
      {503, {{"not-executed", "1"}}, false, app::ResponseClass::NotRun},
      {400, {{"Not-Executed", "1"}}, true, app::ResponseClass::NotRun},
      {421, {{"Instance-Id", "i-2"}}, false, app::ResponseClass::OtherTarget},
      // The status implies that the request did not run, but the target's field
      // for that is missing.
      {503, {}, false, app::ResponseClass::Ambiguous},
      {429, {}, false, app::ResponseClass::Ambiguous},
      {503, {}, true, app::ResponseClass::Complete},
  };
  for (const auto &Case : Cases) {
    CAPTURE(Case.m_Status);
    const core::HttpResponse Response{Case.m_Status, Case.m_Fields, ""};
    CHECK(app::classifyResponse(platform::httpDialect(), Response,
                                Case.m_Idempotent) == Case.m_Expected);
  }
  const core::HttpResponse Unsigned{503, {{"Not-Executed", "1"}}, ""};
  CHECK(app::classifyResponse(core::defaultDialect(), Unsigned, false) ==
        app::ResponseClass::Complete);
}

TEST_CASE("a target states its rate and its leaving in a response") {
  struct {
    std::vector<core::HttpField> m_Fields;
    std::optional<core::TargetStatement> m_Expected;
  } const Cases[] = {
      {{}, core::TargetStatement{}},
      {{{"server-limit", "8.2"}}, core::TargetStatement{8.2}},
      {{{"Server-Limit", "0"}}, core::TargetStatement{0}},
      {{{"Server-Leaving", "1"}}, core::TargetStatement{std::nullopt, true}},
      {{{"server-leaving", "1"}, {"Server-Limit", "2"}},
       core::TargetStatement{2, true}},
      {{{"Server-Leaving", "0"}}, core::TargetStatement{}},
      {{{"Server-Leaving", "soon"}}, std::nullopt},
      {{{"Server-Limit", "-1"}}, std::nullopt},
      {{{"Server-Limit", "inf"}}, std::nullopt},
      {{{"Server-Limit", "nan"}}, std::nullopt},
      {{{"Server-Limit", ""}}, std::nullopt},
      {{{"Server-Limit", "8 a second"}}, std::nullopt},
      {{{"Server-Leaving", "1"}, {"Server-Limit", "8 a second"}},
       core::TargetStatement{std::nullopt, true}},
  };
  for (const auto &Case : Cases)
    CHECK(app::parseStatement(platform::httpDialect(),
                              {200, Case.m_Fields, ""}) == Case.m_Expected);
}

TEST_CASE("only the node sets the calling service of a request") {
  core::HttpRequest Request;
  Request.m_Fields = {{"caller-service", "forged"}, {"X", "1"}};
  core::HttpRequest Sent = Request;
  app::setCallerService(platform::httpDialect(), Sent, "slotboard");
  CHECK(Sent.m_Fields == std::vector<core::HttpField>{
                             {"X", "1"}, {"Caller-Service", "slotboard"}});
  core::HttpRequest Unchanged = Request;
  app::setCallerService(core::defaultDialect(), Unchanged, "x");
  CHECK(Unchanged == Request);
}

TEST_CASE("a target's request names the expected instance") {
  core::HttpRequest Request;
  Request.m_Fields = {{"Expect-Instance", "forged"}, {"Deadline-Ms", "9"}};
  const auto Sent = app::makeTargetRequest(platform::httpDialect(), Request,
                                           milliseconds(250), "i-1");
  CHECK(Sent.m_Fields ==
        std::vector<core::HttpField>{{"Deadline-Ms", "250"},
                                     {"Expect-Instance", "i-1"}});
}

TEST_CASE("the retry time can be a fraction of a second") {
  const auto Response = app::makeCallerResponse(
      platform::httpDialect(),
      {1, CallOutcome::NotRun, nullptr, milliseconds(150), "why"});
  CHECK(Response.m_Status == 503);
  CHECK(valuesOf(Response.m_Fields, "Retry-After") == Values{"0.150"});
  CHECK(app::parseRetryAfter(Response) == milliseconds(150));
  CHECK(app::parseRetryAfter({503, {{"Retry-After", "soon"}}, ""}) ==
        core::Duration::zero());
}
