#include "dandelionfall/core/request_fingerprint.h"

#include <doctest/doctest.h>

#include <vector>

using namespace dandelionfall::core;

TEST_CASE("a fingerprint depends on what a caller sends again, and on nothing "
          "else") {
  const HttpRequest Original{
      "POST", "/a/b", "h.example", {{"Attempt-Id", "1"}}, "body"};
  HttpRequest Again = Original;
  Again.m_Fields = {
      {"Attempt-Id", "2"}, {"Deadline-Ms", "9"}, {"Caller-Service", "other"}};
  CHECK((fingerprintOf(Again) == fingerprintOf(Original)));
  std::vector<HttpRequest> Others(6, Original);
  Others[0].m_Method = "GET";
  Others[1].m_Path = "/a/c";
  Others[2].m_HostName = "i.example";
  Others[3].m_Body = "bodY";
  Others[4].m_Fields = {{"authorization", "one"}};
  Others[5].m_HostName = "h.example/a";
  Others[5].m_Path = "/b";
  for (const HttpRequest &Other : Others)
    CHECK((fingerprintOf(Other) != fingerprintOf(Original)));
}
