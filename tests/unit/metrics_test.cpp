#include "dandelionfall/app/metrics.h"

#include <doctest/doctest.h>

#include <chrono>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace dandelionfall;
using app::Counter;
using app::Gauge;
using app::Metrics;
using app::Timing;

namespace {

double valueOf(const std::string &Text, const std::string &Series) {
  std::istringstream Lines(Text);
  std::string Line;
  while (std::getline(Lines, Line)) {
    if (Line.starts_with(Series + " "))
      return std::stod(Line.substr(Series.size() + 1));
  }
  FAIL("no series " << Series);
  return 0;
}

} // namespace

TEST_CASE("the Prometheus text lists counters and gauges") {
  Metrics Values;
  Values.add(Counter::CallsAnswered);
  Values.add(Counter::SourceCalls, 41);
  Values.add(Counter::SourceCalls);
  Values.set(Gauge::TargetQueued, 3);
  CHECK(Values.count(Counter::SourceCalls) == 42);
  const std::string Text = Values.prometheusText();
  CHECK(valueOf(Text, "dandelionfall_calls_answered_total") == 1);
  CHECK(valueOf(Text, "dandelionfall_source_calls_total") == 42);
  CHECK(valueOf(Text, "dandelionfall_target_queued") == 3);
  CHECK(Text.find("# TYPE dandelionfall_source_calls_total counter") !=
        std::string::npos);
  CHECK(Text.find("# HELP dandelionfall_source_calls_total Calls to") !=
        std::string::npos);
}

TEST_CASE("a distribution has its count, sum and quantiles") {
  constexpr int Samples = 10'000;
  Metrics Values;
  // Each value from 0 to 99 ms occurs equally often, in mixed order.
  for (int Index = 0; Index < Samples; ++Index)
    Values.observe(Timing::CallTotal,
                   std::chrono::milliseconds((Index * 37) % 100));
  const std::string Text = Values.prometheusText();
  CHECK(valueOf(Text, "dandelionfall_call_seconds_count") == Samples);
  CHECK(valueOf(Text, "dandelionfall_call_seconds_sum") ==
        doctest::Approx(495));
  CHECK(valueOf(Text, "dandelionfall_call_seconds{quantile=\"0.5\"}") ==
        doctest::Approx(0.0495).epsilon(0.05));
  CHECK(valueOf(Text, "dandelionfall_call_seconds{quantile=\"0.99\"}") ==
        doctest::Approx(0.098).epsilon(0.02));
}

TEST_CASE("a distribution with few samples has no quantiles yet") {
  Metrics Values;
  CHECK(Values.prometheusText().find("quantile=\"0.5\"} Nan") !=
        std::string::npos);
  Values.observe(Timing::TargetService, std::chrono::milliseconds(2));
  const std::string Text = Values.prometheusText();
  CHECK(valueOf(Text, "dandelionfall_target_service_seconds_count") == 1);
}

TEST_CASE("concurrent counting loses no increment") {
  constexpr int Threads = 4;
  constexpr int Additions = 10'000;
  Metrics Values;
  std::vector<std::thread> Workers;
  Workers.reserve(Threads);
  for (int Index = 0; Index < Threads; ++Index) {
    Workers.emplace_back([&Values] {
      for (int Count = 0; Count < Additions; ++Count)
        Values.add(Counter::Refusals);
    });
  }
  for (std::thread &Worker : Workers)
    Worker.join();
  CHECK(Values.count(Counter::Refusals) == Threads * Additions);
}
