#include "app/node/caller_response.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <array>
#include <charconv>
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
    OutcomeRow{core::CallOutcome::NoRoute, 404, "no-route"},
};

const OutcomeRow &rowOf(core::CallOutcome Outcome) {
  for (const OutcomeRow &Row : Outcomes) {
    if (Row.m_Outcome == Outcome)
      return Row;
  }
  return Outcomes.back();
}

bool isNodesOwn(const core::HttpField &Field) {
  return boost::algorithm::iequals(Field.m_Name, OutcomeField) ||
         boost::algorithm::iequals(Field.m_Name, RetryAfterMsField);
}

void addRetryAfter(core::HttpResponse &Response, core::Duration Delay) {
  const auto Ms = std::chrono::ceil<milliseconds>(Delay);
  const auto Seconds = std::chrono::ceil<std::chrono::seconds>(Delay);
  Response.m_Fields.push_back({"Retry-After", std::to_string(Seconds.count())});
  Response.m_Fields.push_back(
      {std::string(RetryAfterMsField), std::to_string(Ms.count())});
}

core::HttpResponse withoutNodesOwn(core::HttpResponse Response) {
  std::erase_if(Response.m_Fields, isNodesOwn);
  return Response;
}

} // namespace

core::HttpResponse makeCallerResponse(const core::AnswerCaller &Result) {
  if (Result.m_Outcome == core::CallOutcome::Answered)
    return withoutNodesOwn(*Result.m_Response);
  const OutcomeRow &Row = rowOf(Result.m_Outcome);
  core::HttpResponse Response;
  Response.m_Status = Row.m_Status;
  Response.m_Fields.push_back({"Content-Type", "text/plain"});
  Response.m_Fields.push_back(
      {std::string(OutcomeField), std::string(Row.m_Name)});
  if (Result.m_RetryAfter > core::Duration::zero())
    addRetryAfter(Response, Result.m_RetryAfter);
  Response.m_Body = std::string(Row.m_Name) + ": " + Result.m_Detail + "\n";
  return Response;
}

std::optional<core::HttpResponse>
refuseLargeBody(const core::Configuration &Config,
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
      {{"Content-Type", "text/plain"}, {std::string(OutcomeField), NotRun}},
      NotRun + ": the body is larger than the service's profile allows, " +
          std::to_string(Profile->second.m_MaxBodyBytes) + " bytes\n"};
}

std::optional<core::Duration> callerDeadline(const core::HttpRequest &Request) {
  constexpr std::uint32_t OneDayMs = 86'400'000;
  for (const core::HttpField &Field : Request.m_Fields) {
    if (!boost::algorithm::iequals(Field.m_Name, DeadlineField))
      continue;
    std::uint32_t Ms = 0;
    const char *End = Field.m_Value.data() + Field.m_Value.size();
    const auto [Rest, Code] = std::from_chars(Field.m_Value.data(), End, Ms);
    if (Code == std::errc() && Rest == End && Ms > 0 && Ms <= OneDayMs)
      return milliseconds(Ms);
  }
  return std::nullopt;
}

core::HttpRequest makeTargetRequest(const core::HttpRequest &Request,
                                    core::Duration Remaining) {
  core::HttpRequest Result = Request;
  std::erase_if(Result.m_Fields, [](const core::HttpField &Field) {
    return boost::algorithm::iequals(Field.m_Name, DeadlineField);
  });
  const auto Ms = std::chrono::floor<milliseconds>(Remaining).count();
  Result.m_Fields.push_back({std::string(DeadlineField),
                             std::to_string(std::max<std::int64_t>(Ms, 1))});
  return Result;
}

} // namespace dandelionfall::app
