#include "app/node/link_watch.h"

#include <doctest/doctest.h>

#include <vector>

using namespace dandelionfall;
using app::LinkWatch;
using core::LinkId;

namespace {

constexpr core::Duration Step{1};
const core::TimePoint Start{std::chrono::seconds(100)};

} // namespace

TEST_CASE("a link that sends no first frame is found") {
  LinkWatch Watch;
  CHECK(Watch.admit(1, Start));
  const auto Limit = Start + LinkWatch::FirstFrameTimeout;
  CHECK(Watch.findSilent(Limit - Step).empty());
  CHECK(Watch.findSilent(Limit) == std::vector<LinkId>{1});
  Watch.onClosed(1);
  CHECK(Watch.findSilent(Limit).empty());
}

TEST_CASE("a link that becomes silent is found") {
  LinkWatch Watch;
  CHECK(Watch.admit(1, Start));
  Watch.onFrame(1, Start + Step);
  const auto Limit = Start + Step + LinkWatch::SilenceTimeout;
  CHECK(Watch.findSilent(Limit - Step).empty());
  CHECK(Watch.findSilent(Limit) == std::vector<LinkId>{1});
  Watch.onFrame(1, Limit);
  CHECK(Watch.findSilent(Limit).empty());
}

TEST_CASE("a pause of this process does not count as silence") {
  LinkWatch Watch;
  CHECK(Watch.admit(1, Start));
  CHECK(Watch.findSilent(Start).empty());
  const auto Resumed = Start + std::chrono::minutes(1);
  CHECK(Watch.findSilent(Resumed).empty());
  const auto Limit = Resumed + LinkWatch::FirstFrameTimeout;
  CHECK(Watch.findSilent(Limit) == std::vector<LinkId>{1});
}

TEST_CASE("links without a first frame are limited in number") {
  LinkWatch Watch;
  LinkId Link = 0;
  while (Link < LinkWatch::MaxAwaitingFirstFrame)
    CHECK(Watch.admit(++Link, Start));
  CHECK_FALSE(Watch.admit(++Link, Start));
  Watch.onFrame(1, Start);
  Watch.onFrame(1, Start);
  Watch.onClosed(2);
  CHECK(Watch.admit(++Link, Start));
  CHECK(Watch.admit(++Link, Start));
  CHECK_FALSE(Watch.admit(++Link, Start));
}

TEST_CASE("links that have sent a frame are limited in number") {
  LinkWatch Watch;
  for (LinkId Link = 1; Link <= LinkWatch::MaxLinks; ++Link) {
    REQUIRE(Watch.admit(Link, Start));
    Watch.onFrame(Link, Start);
  }
  CHECK_FALSE(Watch.admit(LinkWatch::MaxLinks + 1, Start));
}
