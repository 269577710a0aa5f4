/// \file
/// Measures the cost of a configuration of a given size for a node: the time to
/// build all of it, the time to build it with one service changed, the time to
/// find a route, and memory. The last output line has the results as key=value.
#include "dandelionfall/core/configuration_reader.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

ABSL_FLAG(std::string, directory, "", "directory of published parts");
ABSL_FLAG(std::uint32_t, rounds, 20, "repetitions; their median is reported");

namespace {

using namespace dandelionfall::core;

constexpr double BytesPerMegabyte = 1'048'576;

PartMap loadParts(const std::filesystem::path &Directory) {
  namespace fs = std::filesystem;
  PartMap Parts;
  for (const auto &Entry : fs::recursive_directory_iterator(Directory)) {
    const std::string Name =
        fs::relative(Entry.path(), Directory).generic_string();
    if (!Entry.is_regular_file() || Name == "hosts")
      continue;
    std::ifstream File(Entry.path(), std::ios::binary);
    Parts.emplace(Name,
                  makePart(Name, {std::istreambuf_iterator<char>(File), {}}));
  }
  return Parts;
}

Manifest makeManifest(Version Number, const PartMap &Parts) {
  std::map<std::string, Digest, std::less<>> Digests;
  for (const auto &[Name, Value] : Parts)
    Digests.emplace(Name, Value->m_Digest);
  return readManifest(writeManifest(Number, Digests));
}

// Reads a line such as `VmRSS:  1234 kB`; returns 0 if there is none.
double readMemoryMb(const std::string &Key) {
  std::ifstream Status("/proc/self/status");
  for (std::string Line; std::getline(Status, Line);) {
    if (Line.starts_with(Key + ":"))
      return std::stod(Line.substr(Key.size() + 1)) * 1024 / BytesPerMegabyte;
  }
  return 0;
}

// Measures processor time, because the limit for a node is stated as a share of
// a core.
template <typename Action> double medianMs(Action Measured) {
  constexpr double MsPerClock = 1000.0 / CLOCKS_PER_SEC;
  std::vector<double> Times;
  for (std::uint32_t Round = 0; Round < absl::GetFlag(FLAGS_rounds); ++Round) {
    const std::clock_t Start = std::clock();
    Measured();
    Times.push_back(static_cast<double>(std::clock() - Start) * MsPerClock);
  }
  std::sort(Times.begin(), Times.end());
  return Times[Times.size() / 2];
}

// Appends a comment to one service, so that it has to be parsed again.
PartMap changeOneService(const PartMap &Parts) {
  PartMap Changed = Parts;
  const auto Service = Changed.lower_bound("service/");
  Service->second =
      makePart(Service->first, Service->second->m_Text + "; changed\n");
  return Changed;
}

std::vector<std::string> listPaths(const Configuration &Config) {
  std::vector<std::string> Paths;
  for (const RouteIndexEntry &Entry : Config.m_Routes)
    Paths.push_back(std::string(Entry.m_PathPrefix) + "/slot/17?vessel=4711");
  return Paths;
}

std::size_t countTargets(const Configuration &Config) {
  std::size_t Count = 0;
  for (const auto &[Name, ServicePtr] : Config.m_Services)
    Count += ServicePtr->m_Targets.size();
  return Count;
}

void measure() {
  constexpr double NanosecondsPerMs = 1e6;
  const PartMap Parts = loadParts(absl::GetFlag(FLAGS_directory));
  const Manifest Listing = makeManifest(1, Parts);
  const double PartsMb = readMemoryMb("VmRSS");
  const ConfigurationPtr Config = buildConfiguration(Listing, Parts);
  const double ConfigMb = readMemoryMb("VmRSS") - PartsMb;

  const double FullMs = medianMs([&] { buildConfiguration(Listing, Parts); });
  const PartMap ChangedParts = changeOneService(Parts);
  const std::string ChangedManifestText = [&] {
    std::map<std::string, Digest, std::less<>> Digests;
    for (const auto &[Name, Value] : ChangedParts)
      Digests.emplace(Name, Value->m_Digest);
    return writeManifest(2, Digests);
  }();
  const double ManifestMs =
      medianMs([&] { readManifest(ChangedManifestText); });
  const Manifest ChangedManifest = readManifest(ChangedManifestText);
  const double ChangedMs = medianMs([&] {
    buildConfiguration(ChangedManifest, ChangedParts, Config.get(), &Parts);
  });
  const std::vector<std::string> Paths = listPaths(*Config);
  std::size_t Found = 0;
  const double RouteMs = medianMs([&] {
    for (const std::string &Path : Paths)
      Found += findRoute(*Config, "board.example", Path).m_Route != nullptr;
  });
  if (Found != Paths.size() * absl::GetFlag(FLAGS_rounds))
    std::cerr << "some routes were not found\n";
  std::printf("services=%zu targets=%zu routes=%zu manifest_bytes=%zu "
              "parse_ms_full=%.2f manifest_ms=%.2f apply_ms_one_changed=%.2f "
              "find_route_ns=%.0f configuration_mb=%.1f rss_mb=%.1f "
              "rss_peak_mb=%.1f\n",
              Config->m_Services.size(), countTargets(*Config),
              Config->m_Routes.size(), ChangedManifestText.size(), FullMs,
              ManifestMs, ChangedMs,
              RouteMs * NanosecondsPerMs / static_cast<double>(Paths.size()),
              ConfigMb, readMemoryMb("VmRSS"), readMemoryMb("VmHWM"));
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  absl::SetProgramUsageMessage("measures the cost of a configuration");
  absl::ParseCommandLine(ArgumentCount, Arguments);
  try {
    measure();
    return 0;
  } catch (const std::exception &Fault) {
    std::cerr << Fault.what() << "\n";
    return 1;
  }
}
