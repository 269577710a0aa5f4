#include "app/node/source_request.h"

#include <string>

namespace dandelionfall::app {

namespace {

constexpr std::chrono::milliseconds MaxWatchWait{20'000};
constexpr std::chrono::milliseconds CallTimeout{2'000};
constexpr std::uint32_t StatusOk = 200;
constexpr std::uint32_t StatusNoContent = 204;

std::string pathOf(const core::CallSource &Call) {
  switch (Call.m_Kind) {
  case core::SourceRequestKind::ReadManifest:
    return "/manifest";
  case core::SourceRequestKind::WatchManifest:
    return "/manifest?after=" + std::to_string(Call.m_After) +
           "&wait_ms=" + std::to_string(MaxWatchWait.count());
  case core::SourceRequestKind::ReadPart:
    return "/part/" + Call.m_PartName;
  case core::SourceRequestKind::ReadHosts:
    break;
  }
  return "/hosts";
}

} // namespace

core::HttpRequest makeSourceRequest(const core::CallSource &Call) {
  core::HttpRequest Request;
  Request.m_Method = "GET";
  Request.m_Path = pathOf(Call);
  return Request;
}

core::Duration sourceTimeout(const core::CallSource &Call) {
  if (Call.m_Kind == core::SourceRequestKind::WatchManifest)
    return MaxWatchWait + CallTimeout;
  return CallTimeout;
}

core::SourceReply makeSourceReply(std::uint64_t Id,
                                  const net::HttpResult &Result) {
  core::SourceReply Reply;
  Reply.m_Id = Id;
  if (Result.m_Outcome != net::ExchangeOutcome::Answered)
    return Reply;
  const std::uint32_t Status = Result.m_Response->m_Status;
  Reply.m_Ok = Status == StatusOk || Status == StatusNoContent;
  Reply.m_Changed = Status == StatusOk;
  Reply.m_Text = Result.m_Response->m_Body;
  return Reply;
}

} // namespace dandelionfall::app
