#include "app/command.h"
#include "app/load_generator.h"
#include "dandelionfall/core/error.h"
#include "dandelionfall/net/address.h"

#include <absl/flags/flag.h>

#include <iostream>
#include <limits>

ABSL_FLAG(std::string, preset, "thessaloniki",
          "mix of calls: thessaloniki or kerala");
ABSL_FLAG(double, rate, 100, "calls per second over all addresses");
ABSL_FLAG(double, duration_s, 10, "duration of the arrivals in seconds");
ABSL_FLAG(std::string, arrivals, "exponential",
          "gaps between arrivals: exponential or even");
ABSL_FLAG(std::uint32_t, connections, 64, "connections over all addresses");
ABSL_FLAG(std::uint32_t, deadline_ms, 2000,
          "deadline of each call in milliseconds");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of arrivals and random choices");

namespace dandelionfall::app {

namespace {

constexpr std::string_view Flags[] = {"preset",   "rate",        "duration_s",
                                      "arrivals", "connections", "deadline_ms",
                                      "seed"};

constexpr double MaxRate = 1'000'000;
constexpr double MaxDurationS = 86'400;
constexpr double MaxCalls = 50'000'000;
constexpr std::uint32_t MaxConnections = 20'000;
constexpr std::uint32_t MaxDeadlineMs = 3'600'000;

void checkRange(const char *Flag, double Value, double Min, double Max) {
  if (Value >= Min && Value <= Max)
    return;
  throw core::Error(core::ErrorKind::Usage,
                    std::string("--") + Flag + " is out of range",
                    "choose a value from " + std::to_string(Min) + " to " +
                        std::to_string(Max));
}

void checkFlags() {
  const double Rate = absl::GetFlag(FLAGS_rate);
  const double Duration = absl::GetFlag(FLAGS_duration_s);
  constexpr double MinRate = 0.001;
  constexpr double MinDurationS = 0.001;
  checkRange("rate", Rate, MinRate, MaxRate);
  checkRange("duration_s", Duration, MinDurationS, MaxDurationS);
  checkRange("connections", absl::GetFlag(FLAGS_connections), 1,
             MaxConnections);
  checkRange("deadline_ms", absl::GetFlag(FLAGS_deadline_ms), 1, MaxDeadlineMs);
  if (Rate * Duration > MaxCalls)
    throw core::Error(core::ErrorKind::Usage,
                      "rate and duration amount to more than 50000000 calls",
                      "choose a shorter duration or a lower rate");
}

LoadOptions readOptions(const Operands &Given) {
  checkFlags();
  for (const std::string &Address : Given)
    net::parseEndpoint(Address);
  LoadOptions Options;
  Options.m_Addresses = Given;
  Options.m_Preset = &findLoadPreset(absl::GetFlag(FLAGS_preset));
  Options.m_Arrivals = parseArrivals(absl::GetFlag(FLAGS_arrivals));
  Options.m_CallsPerSecond = absl::GetFlag(FLAGS_rate);
  Options.m_Duration = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(absl::GetFlag(FLAGS_duration_s)));
  Options.m_Deadline =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_deadline_ms));
  Options.m_Connections = absl::GetFlag(FLAGS_connections);
  Options.m_Seed = absl::GetFlag(FLAGS_seed);
  return Options;
}

void printProgress(std::uint64_t Seconds, std::uint64_t Sent,
                   const LoadReport &Report) {
  std::cerr << "progress seconds=" << Seconds << " sent=" << Sent << " "
            << Report.counts() << "\n";
}

int run(const Operands &Given) {
  const LoadOptions Options = readOptions(Given);
  LoadReport Report = runLoad(Options, printProgress);
  std::cout << "preset=" << Options.m_Preset->m_Name
            << " rate=" << Options.m_CallsPerSecond
            << " seed=" << Options.m_Seed << " " << Report.summary() << "\n";
  return 0;
}

} // namespace

const Command LoadCommand = {
    "load",
    "ADDRESS...",
    "sends calls on an open-loop schedule and reports latency and outcomes",
    Flags,
    1,
    std::numeric_limits<std::size_t>::max(),
    run};

} // namespace dandelionfall::app
