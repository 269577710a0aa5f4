#include "fleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdint>
#include <cstdio>
#include <string>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the load and of all choices");
ABSL_FLAG(std::string, work, "exponential",
          "distribution of the work of requests: exponential or uniform");

namespace {

using namespace dandelionfall::benchmark;

void print(const std::string &Prefix, const RoutingResult &Result) {
  std::printf(
      "%scalls=%llu %sin_time_pct=%.3f %snot_run=%llu %sunknown=%llu "
      "%sdispatched_after_3s=%llu %snot_whole=%llu %sran_twice=%llu "
      "%sfalse_not_run=%llu %sover_limit=%llu",
      Prefix.c_str(), static_cast<unsigned long long>(Result.m_Calls),
      Prefix.c_str(), Result.inTimePercent(), Prefix.c_str(),
      static_cast<unsigned long long>(Result.m_NotRun), Prefix.c_str(),
      static_cast<unsigned long long>(Result.m_Unknown), Prefix.c_str(),
      static_cast<unsigned long long>(Result.m_DispatchedAfter3s),
      Prefix.c_str(), static_cast<unsigned long long>(Result.m_NotWhole),
      Prefix.c_str(), static_cast<unsigned long long>(Result.m_RanTwice),
      Prefix.c_str(), static_cast<unsigned long long>(Result.m_FalseNotRun),
      Prefix.c_str(), static_cast<unsigned long long>(Result.m_OverLimit));
}

void add(RoutingResult &Sum, const RoutingResult &Part) {
  for (const auto Member :
       {&RoutingResult::m_Calls, &RoutingResult::m_InTime,
        &RoutingResult::m_NotRun, &RoutingResult::m_Unknown,
        &RoutingResult::m_DispatchedAfter3s, &RoutingResult::m_NotWhole,
        &RoutingResult::m_RanTwice, &RoutingResult::m_FalseNotRun,
        &RoutingResult::m_OverLimit})
    Sum.*Member += Part.*Member;
}

} // namespace

int main(int Count, char **Arguments) {
  absl::SetProgramUsageMessage(
      "Service while an availability zone leaves and returns, in virtual time; "
      "the last line sums both deployments.");
  absl::ParseCommandLine(Count, Arguments);
  const std::string Work = absl::GetFlag(FLAGS_work);
  if (Work != "exponential" && Work != "uniform") {
    std::fprintf(stderr, "unknown --work=%s: use exponential or uniform\n",
                 Work.c_str());
    return 2;
  }
  const auto Distribution = Work == "uniform"
                                ? dandelionfall::benchmark::Work::Uniform
                                : dandelionfall::benchmark::Work::Exponential;
  RoutingResult Nodes;
  RoutingResult Baseline;
  for (const Deployment &Each : deployments()) {
    const std::uint64_t Seed = absl::GetFlag(FLAGS_seed);
    const RoutingResult Own =
        Fleet(Each, Mode::Nodes, Distribution, Seed).run();
    const RoutingResult Plain =
        Fleet(Each, Mode::Baseline, Distribution, Seed).run();
    std::printf("deployment=%s ", Each.m_Name);
    print("", Own);
    std::printf("\ndeployment=%s ", Each.m_Name);
    print("baseline_", Plain);
    std::printf("\n");
    add(Nodes, Own);
    add(Baseline, Plain);
  }
  print("", Nodes);
  std::printf(" ");
  print("baseline_", Baseline);
  std::printf("\n");
  return 0;
}
