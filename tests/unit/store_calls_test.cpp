// Requests to the platform's store and its replies.
#include "platform/store_calls.h"

#include <doctest/doctest.h>

using namespace dandelionfall;

namespace {

core::HttpResponse response(std::uint32_t Status, const std::string &Body,
                            const std::string &Era = "") {
  core::HttpResponse Result;
  Result.m_Status = Status;
  Result.m_Body = Body;
  if (!Era.empty())
    Result.m_Fields.push_back({"store-era", Era});
  return Result;
}

const char *const Listing =
    R"({"items":[{"key":"a","value":"eA==","rev":4}],"has-more":false,"as-of":9})";

} // namespace

TEST_CASE("a reply states the era of the store") {
  CHECK(platform::readReply(1, response(200, Listing, "7")).m_Era == 7);
  CHECK_FALSE(platform::readReply(1, response(200, Listing)).m_Era.has_value());
  const core::StoreReply Gone =
      platform::readReply(1, response(410, "{}", "8"));
  CHECK(Gone.m_Outcome == core::StoreOutcome::HistoryCompacted);
  CHECK(Gone.m_Era == 8);
}

TEST_CASE("a reply with an unreadable era or revision is a failure") {
  for (const core::HttpResponse &Each :
       {response(200, Listing, "x"),
        response(200, R"({"items":[],"as-of":17592186044416})")}) {
    const core::StoreReply Reply = platform::readReply(1, Each);
    CHECK(Reply.m_Outcome == core::StoreOutcome::Failed);
    CHECK_FALSE(Reply.m_Fault.empty());
  }
}

TEST_CASE("a listing names its prefix") {
  core::ListRecords Call;
  Call.m_Prefix = "servers/i 1";
  CHECK(platform::makeRequest(Call).m_Path == "/kv-range?prefix=servers/i%201");
}
