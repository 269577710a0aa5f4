#include "app/node/context_runner.h"

#include <boost/asio/post.hpp>

#include <doctest/doctest.h>

#include <stdexcept>
#include <string>
#include <vector>

using namespace dandelionfall;

TEST_CASE("handlers run after one that throws, and what it threw is reported") {
  boost::asio::io_context Context;
  std::vector<std::string> Reports;
  bool Finished = false;
  boost::asio::post(Context, [] { throw std::invalid_argument("odd value"); });
  boost::asio::post(Context, [] { throw 1; });
  boost::asio::post(Context, [&] { Finished = true; });
  app::runContext(Context,
                  [&](const std::string &Text) { Reports.push_back(Text); });
  CHECK(Finished);
  REQUIRE(Reports.size() == 2);
  CHECK(Reports[0] == "std::invalid_argument: odd value");
  CHECK_FALSE(Reports[1].empty());
}

TEST_CASE("a stopped context runs no further handler after one that throws") {
  boost::asio::io_context Context;
  bool Finished = false;
  boost::asio::post(Context, [] { throw std::runtime_error("first"); });
  boost::asio::post(Context, [&] { Finished = true; });
  app::runContext(Context, [&](const std::string &) { Context.stop(); });
  CHECK_FALSE(Finished);
}
