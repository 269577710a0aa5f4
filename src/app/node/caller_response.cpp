#include "app/node/caller_response.h"

#include <absl/strings/numbers.h>
#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <string>

namespace dandelionfall::app {

namespace {

using std::chrono::milliseconds;

struct OutcomeRow {
  core::CallOutcome m_Outcome;
  std::uint32_t m_Status;
  std::string_view m_Name;
};

constexpr std::array Outcomes = {
    OutcomeRow{core::CallOutcome::NotRun, 503, "not-run"},
    OutcomeRow{core::CallOutcome::Unknown, 504, "unknown"},
    OutcomeRow{core::CallOutcome::UnknownKey, 401, "unknown-key"},
    OutcomeRow{core::CallOutcome::OverQuota, 429, "not-run"},
    OutcomeRow{core::CallOutcome::NoRoute, 404, "no-route"},
};

const OutcomeRow &rowOf(core::CallOutcome Outcome) {
  for (const OutcomeRow &Row : Outcomes) {
    if (Row.m_Outcome == Outcome)
      return Row;
  }
  return Outcomes.back();
}

bool isNamed(const core::HttpField &Field, std::string_view Name) {
  return !Name.empty() && boost::algorithm::iequals(Field.m_Name, Name);
}

const core::HttpField *findField(const core::HttpResponse &Response,
                                 std::string_view Name) {
  for (const core::HttpField &Field : Response.m_Fields) {
    if (isNamed(Field, Name))
      return &Field;
  }
  return nullptr;
}

std::string formatSeconds(const core::HttpDialect &Dialect, milliseconds Ms) {
  if (!Dialect.m_FractionalRetryAfter)
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(Ms).count());
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3f",
                std::chrono::duration<double>(Ms).count());
  return Text;
}

void addRetryAfter(const core::HttpDialect &Dialect,
                   core::HttpResponse &Response, core::Duration Delay) {
  const auto Ms = std::chrono::ceil<milliseconds>(Delay);
  Response.m_Fields.push_back({"Retry-After", formatSeconds(Dialect, Ms)});
  Response.m_Fields.push_back(
      {std::string(Dialect.m_RetryAfterMsField), std::to_string(Ms.count())});
}

core::HttpResponse stripNodeFields(const core::HttpDialect &Dialect,
                                   core::HttpResponse Response) {
  std::erase_if(Response.m_Fields, [&Dialect](const core::HttpField &Field) {
    return isNamed(Field, Dialect.m_OutcomeField) ||
           isNamed(Field, Dialect.m_RetryAfterMsField);
  });
  return Response;
}

// Statuses which state that the node or target did not run the request.
bool isNotRunStatus(std::uint32_t Status) {
  constexpr std::array NotRunStatuses = {408U, 421U, 429U, 503U};
  return std::find(NotRunStatuses.begin(), NotRunStatuses.end(), Status) !=
         NotRunStatuses.end();
}

} // namespace

core::HttpResponse makeCallerResponse(const core::HttpDialect &Dialect,
                                      const core::AnswerCaller &Result) {
  if (Result.m_Outcome == core::CallOutcome::Answered)
    return stripNodeFields(Dialect, *Result.m_Response);
  const OutcomeRow &Row = rowOf(Result.m_Outcome);
  core::HttpResponse Response;
  Response.m_Status = Row.m_Status;
  Response.m_Fields.push_back({"Content-Type", "text/plain"});
  Response.m_Fields.push_back(
      {std::string(Dialect.m_OutcomeField), std::string(Row.m_Name)});
  if (Result.m_Outcome == core::CallOutcome::UnknownKey)
    Response.m_Fields.push_back({"WWW-Authenticate", "ApiKey"});
  if (Result.m_RetryAfter > core::Duration::zero())
    addRetryAfter(Dialect, Response, Result.m_RetryAfter);
  Response.m_Body = std::string(Row.m_Name) + ": " + Result.m_Detail + "\n";
  return Response;
}

std::optional<core::HttpResponse>
refuseLargeBody(const core::HttpDialect &Dialect,
                const core::Configuration &Config,
                const core::HttpRequest &Request) {
  constexpr std::uint32_t ContentTooLarge = 413;
  if (Request.m_Body.empty())
    return std::nullopt;
  const core::RouteMatch Match =
      core::findRoute(Config, Request.m_HostName, Request.m_Path);
  if (Match.m_Service == nullptr)
    return std::nullopt;
  const auto Profile = Config.m_Profiles.find(Match.m_Service->m_Profile);
  if (Profile == Config.m_Profiles.end() ||
      Request.m_Body.size() <= Profile->second.m_MaxBodyBytes)
    return std::nullopt;
  const std::string NotRun(rowOf(core::CallOutcome::NotRun).m_Name);
  return core::HttpResponse{
      ContentTooLarge,
      {{"Content-Type", "text/plain"},
       {std::string(Dialect.m_OutcomeField), NotRun}},
      NotRun + ": the body is larger than the service's profile allows, " +
          std::to_string(Profile->second.m_MaxBodyBytes) + " bytes\n"};
}

std::optional<core::Duration>
parseCallerDeadline(const core::HttpDialect &Dialect,
                    const core::HttpRequest &Request) {
  constexpr std::uint32_t OneDayMs = 86'400'000;
  for (const core::HttpField &Field : Request.m_Fields) {
    if (!isNamed(Field, Dialect.m_DeadlineField))
      continue;
    std::uint32_t Ms = 0;
    const char *End = Field.m_Value.data() + Field.m_Value.size();
    const auto [Rest, Code] = std::from_chars(Field.m_Value.data(), End, Ms);
    if (Code == std::errc() && Rest == End && Ms > 0 && Ms <= OneDayMs)
      return milliseconds(Ms);
  }
  return std::nullopt;
}

std::string callerIdOf(const core::HttpDialect &Dialect,
                       const core::HttpRequest &Request) {
  for (const core::HttpField &Field : Request.m_Fields) {
    if (isNamed(Field, Dialect.m_RequestIdField))
      return Field.m_Value;
  }
  return {};
}

void setCallerService(const core::HttpDialect &Dialect,
                      core::HttpRequest &Request, const std::string &Service) {
  const std::string_view Name = Dialect.m_CallerServiceField;
  if (Name.empty())
    return;
  std::erase_if(Request.m_Fields, [Name](const core::HttpField &Field) {
    return isNamed(Field, Name);
  });
  Request.m_Fields.push_back({std::string(Name), Service});
}

std::string takeKey(const core::HttpDialect &Dialect,
                    core::HttpRequest &Request) {
  std::string Key;
  std::size_t Keys = 0;
  std::erase_if(Request.m_Fields, [&](core::HttpField &Field) {
    if (isNamed(Field, Dialect.m_TeamField))
      return true;
    if (!isNamed(Field, Dialect.m_KeyField))
      return false;
    ++Keys;
    Key = std::move(Field.m_Value);
    return true;
  });
  return Keys == 1 ? Key : "";
}

ResponseClass classifyResponse(const core::HttpDialect &Dialect,
                               const core::HttpResponse &Response,
                               bool Idempotent) {
  constexpr std::uint32_t FirstSuccess = 200;
  constexpr std::uint32_t FirstRedirect = 300;
  constexpr std::uint32_t Misdirected = 421;
  if (!Dialect.m_InstanceField.empty() && Response.m_Status == Misdirected)
    return ResponseClass::OtherTarget;
  if (findField(Response, Dialect.m_NotRunField) != nullptr)
    return ResponseClass::NotRun;
  const bool Success =
      Response.m_Status >= FirstSuccess && Response.m_Status < FirstRedirect;
  if (Success && !Dialect.m_SignatureField.empty() &&
      findField(Response, Dialect.m_SignatureField) == nullptr)
    return ResponseClass::Ambiguous;
  // The status implies that the request did not run, but the target's field for
  // that is missing. The response must not reach the caller, which might rely
  // on the status and send the request again.
  if (!Dialect.m_NotRunField.empty() && !Idempotent &&
      isNotRunStatus(Response.m_Status))
    return ResponseClass::Ambiguous;
  return ResponseClass::Complete;
}

std::optional<core::TargetStatement>
parseStatement(const core::HttpDialect &Dialect,
               const core::HttpResponse &Response) {
  core::TargetStatement Result;
  const core::HttpField *Leaving = findField(Response, Dialect.m_LeavingField);
  Result.m_Leaving = Leaving != nullptr && Leaving->m_Value == "1";
  if (Leaving != nullptr && !Result.m_Leaving && Leaving->m_Value != "0")
    return std::nullopt;
  const core::HttpField *Rate = findField(Response, Dialect.m_RateLimitField);
  double PerSecond = 0;
  if (Rate == nullptr)
    return Result;
  if (absl::SimpleAtod(Rate->m_Value, &PerSecond) && std::isfinite(PerSecond) &&
      PerSecond >= 0) {
    Result.m_RequestsPerSecond = PerSecond;
    return Result;
  }
  // A target that is leaving gets no requests, so its rate doesn't matter.
  return Result.m_Leaving ? std::optional(Result) : std::nullopt;
}

core::Duration parseRetryAfter(const core::HttpResponse &Response) {
  constexpr double MicrosecondsPerSecond = 1'000'000;
  constexpr double OneDaySeconds = 86'400;
  const core::HttpField *Field = findField(Response, "Retry-After");
  double Seconds = 0;
  if (Field == nullptr || !absl::SimpleAtod(Field->m_Value, &Seconds) ||
      !(Seconds > 0 && Seconds < OneDaySeconds))
    return core::Duration{0};
  return core::Duration(
      static_cast<core::Duration::rep>(Seconds * MicrosecondsPerSecond));
}

core::HttpRequest makeTargetRequest(const core::HttpDialect &Dialect,
                                    const core::HttpRequest &Request,
                                    core::Duration Remaining,
                                    const std::string &Target,
                                    const std::string &Team) {
  core::HttpRequest Result = Request;
  std::erase_if(Result.m_Fields, [&](const core::HttpField &Field) {
    return isNamed(Field, Dialect.m_DeadlineField) ||
           isNamed(Field, Dialect.m_InstanceField) ||
           (!Team.empty() && isNamed(Field, Dialect.m_TeamField));
  });
  const auto Ms = std::chrono::floor<milliseconds>(Remaining).count();
  Result.m_Fields.push_back({std::string(Dialect.m_DeadlineField),
                             std::to_string(std::max<std::int64_t>(Ms, 1))});
  if (!Dialect.m_InstanceField.empty())
    Result.m_Fields.push_back({std::string(Dialect.m_InstanceField), Target});
  if (!Team.empty() && !Dialect.m_TeamField.empty())
    Result.m_Fields.push_back({std::string(Dialect.m_TeamField), Team});
  return Result;
}

} // namespace dandelionfall::app
