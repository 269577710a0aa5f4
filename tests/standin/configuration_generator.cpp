/// \file
/// Writes a directory of published parts of a given size, for use in
/// benchmarks.
///
/// Target I (counted from 0) belongs to service I mod `--services`, has the
/// name `service-S-K` and runs on host `host-(I + 1)`. Its availability zone
/// depends on both S and K. The first `--nodes` targets get the link address
/// `127.0.0.1:(first_link_port + I)`; the others get addresses under 127.1.0.0
/// on which no process listens. The file `hosts` lists the hosts of the first
/// `--nodes` targets, or of all targets with `--list_all_hosts`.
#include "dandelionfall/core/error.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

ABSL_FLAG(std::uint32_t, services, 1300, "number of services");
ABSL_FLAG(std::uint32_t, targets, 14'000, "number of targets");
ABSL_FLAG(std::uint32_t, zones, 9, "number of availability zones");
ABSL_FLAG(std::uint32_t, regions, 4, "number of regions");
ABSL_FLAG(std::uint32_t, nodes, 0, "number of targets with a running node");
ABSL_FLAG(std::uint32_t, first_link_port, 20'000,
          "link port of the first node");
ABSL_FLAG(bool, list_all_hosts, false, "list the hosts of all targets");
ABSL_FLAG(std::string, directory, "", "directory to write");

namespace {

using dandelionfall::core::Error;
using dandelionfall::core::ErrorKind;

constexpr std::uint32_t Slots = 12;
constexpr std::uint32_t Connections = 120;
constexpr std::uint32_t UnusedLinkPort = 7101;
constexpr std::uint32_t HostsPerSubnet = 250;
constexpr std::uint32_t MaxSubnets = 250;
// Every fourth service has a second route, declared as never idempotent.
constexpr std::uint32_t BookingServicePeriod = 4;

struct Sizes {
  std::uint32_t m_Services;
  std::uint32_t m_Targets;
  std::uint32_t m_Zones;
  std::uint32_t m_Regions;
  std::uint32_t m_Nodes;
  std::uint32_t m_FirstLinkPort;
};

Sizes readSizes() {
  const Sizes Size{
      absl::GetFlag(FLAGS_services), absl::GetFlag(FLAGS_targets),
      absl::GetFlag(FLAGS_zones),    absl::GetFlag(FLAGS_regions),
      absl::GetFlag(FLAGS_nodes),    absl::GetFlag(FLAGS_first_link_port)};
  constexpr std::uint32_t LastPort = 65'535;
  if (Size.m_Services == 0 || Size.m_Zones == 0 || Size.m_Regions == 0)
    throw Error(ErrorKind::Usage,
                "a number of services, availability zones or regions is zero",
                "give at least one service, availability zone and region");
  if (Size.m_Targets > HostsPerSubnet * MaxSubnets)
    throw Error(ErrorKind::Usage, "too many targets", "give at most 62500");
  if (Size.m_Nodes > Size.m_Targets ||
      Size.m_FirstLinkPort + Size.m_Nodes > LastPort)
    throw Error(ErrorKind::Usage, "too many nodes",
                "give at most as many as targets, with link ports up to 65535");
  return Size;
}

std::string numbered(const std::string &Name, std::uint32_t Number) {
  return Name + "-" + std::to_string(Number);
}

std::string zoneOf(const Sizes &Size, std::uint32_t Index) {
  const std::uint32_t ServiceNumber = Index % Size.m_Services;
  const std::uint32_t TargetNumber = Index / Size.m_Services;
  return numbered("zone", (ServiceNumber + TargetNumber) % Size.m_Zones + 1);
}

std::string linkAddress(const Sizes &Size, std::uint32_t Index) {
  if (Index < Size.m_Nodes)
    return "127.0.0.1:" + std::to_string(Size.m_FirstLinkPort + Index);
  return "127.1." + std::to_string(Index / HostsPerSubnet) + "." +
         std::to_string(Index % HostsPerSubnet + 1) + ":" +
         std::to_string(UnusedLinkPort);
}

std::string formatZones(const Sizes &Size) {
  std::ostringstream Text;
  for (std::uint32_t Zone = 0; Zone < Size.m_Zones; ++Zone)
    Text << "[" << numbered("zone zone", Zone + 1)
         << "]\nregion = " << numbered("region", Zone % Size.m_Regions + 1)
         << "\nstate = in\n";
  return Text.str();
}

std::string formatService(const Sizes &Size, std::uint32_t Service) {
  const std::string Name = numbered("service", Service + 1);
  const bool HasBookingRoute = Service % BookingServicePeriod == 0;
  std::ostringstream Text;
  Text << "[service " << Name
       << "]\nprofile = " << (HasBookingRoute ? "booking" : "reading")
       << "\n[route /" << Name << "]\n";
  if (HasBookingRoute)
    Text << "[route /" << Name << "/book]\nidempotent = never\n";
  for (std::uint32_t Index = Service; Index < Size.m_Targets;
       Index += Size.m_Services)
    Text << "[target " << Name << "-" << Index / Size.m_Services + 1
         << "]\nhost = " << numbered("host", Index + 1)
         << "\nzone = " << zoneOf(Size, Index)
         << "\ngate = " << linkAddress(Size, Index) << "\nslots = " << Slots
         << "\nconnections = " << Connections << "\n";
  return Text.str();
}

std::string formatHosts(const Sizes &Size, std::uint32_t HostCount) {
  std::ostringstream Text;
  Text << "[hosts]\nrevision = 1\ncount = " << HostCount << "\n";
  for (std::uint32_t Index = 0; Index < HostCount; ++Index)
    Text << "[" << numbered("host host", Index + 1)
         << "]\nzone = " << zoneOf(Size, Index)
         << "\naddress = " << linkAddress(Size, Index) << "\nstate = live\n";
  return Text.str();
}

constexpr const char *Profiles =
    "[profile reading]\ndeadline_ms = 1000\ntry_timeout_ms = 300\n"
    "[profile booking]\ndeadline_ms = 3000\ntry_timeout_ms = 1000\n"
    "retry_percent = 0\n";

void writeFile(const std::filesystem::path &Path, const std::string &Text) {
  std::ofstream File(Path, std::ios::binary);
  File << Text;
  File.flush();
  if (!File)
    throw Error(ErrorKind::UnreadableFile, "can't write " + Path.string(),
                "check the directory and its permissions");
}

void generate() {
  const Sizes Size = readSizes();
  const std::filesystem::path Directory = absl::GetFlag(FLAGS_directory);
  if (Directory.empty())
    throw Error(ErrorKind::Usage, "missing directory", "give --directory=DIR");
  const std::filesystem::path ServiceDirectory = Directory / "service";
  std::filesystem::create_directories(ServiceDirectory);
  writeFile(Directory / "zones", formatZones(Size));
  writeFile(Directory / "profiles", Profiles);
  for (std::uint32_t Service = 0; Service < Size.m_Services; ++Service)
    writeFile(ServiceDirectory / numbered("service", Service + 1),
              formatService(Size, Service));
  writeFile(Directory / "hosts",
            formatHosts(Size, absl::GetFlag(FLAGS_list_all_hosts)
                                  ? Size.m_Targets
                                  : Size.m_Nodes));
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  absl::SetProgramUsageMessage("writes published parts of a given size");
  absl::ParseCommandLine(ArgumentCount, Arguments);
  try {
    generate();
    return 0;
  } catch (const Error &Fault) {
    std::cerr << Fault.what() << "\n";
    return dandelionfall::core::describe(Fault.kind()).m_ExitCode;
  } catch (const std::exception &Fault) {
    std::cerr << Fault.what() << "\n";
    return dandelionfall::core::describe(ErrorKind::Internal).m_ExitCode;
  }
}
