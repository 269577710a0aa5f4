// Replaces one part of a valid configuration by the input; the first byte of
// the input selects the part. Either the version is rejected and the check
// reports a fault, or all references of the version are defined.
#include "dandelionfall/core/configuration_reader.h"
#include "require.h"

#include <cstdint>

using namespace dandelionfall::core;
using dandelionfall::fuzz::require;

namespace {

constexpr const char *PartNames[] = {"zones", "profiles", "service/s",
                                     "service/t"};

PartMap makeParts(const std::string &Name, const std::string &Text) {
  PartMap Parts = {
      {"zones", makePart("zones", "[zone kalamaria]\n[zone sindos]\n")},
      {"profiles", makePart("profiles", "[profile board]\n")},
      {"service/s",
       makePart("service/s", "[service s]\nprofile = board\n[route /s]\n"
                             "[target s-1]\nhost = host-1\nzone = kalamaria\n"
                             "gate = 127.0.0.1:7101\n")}};
  Parts[Name] = makePart(Name, Text);
  return Parts;
}

void requireValidReferences(const Configuration &Config) {
  for (const auto &[Name, ServicePtr] : Config.m_Services) {
    require(Config.m_Profiles.contains(ServicePtr->m_Profile),
            "a service's profile is defined");
    for (const Target &Each : ServicePtr->m_Targets) {
      require(Config.m_Zones.contains(Each.m_Zone),
              "a target's availability zone is defined");
      require(!Each.m_GateAddress.empty(), "a target has a gate");
    }
    for (const Route &Each : ServicePtr->m_Routes)
      require(findRoute(Config, Each.m_HostName, Each.m_PathPrefix).m_Route ==
                  &Each,
              "a route is found by its own path");
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  if (Size == 0)
    return -1;
  const std::string Name = PartNames[Data[0] % std::size(PartNames)];
  const PartMap Parts =
      makeParts(Name, {reinterpret_cast<const char *>(Data) + 1, Size - 1});
  Manifest TestManifest;
  TestManifest.m_Stamp.m_Version = 1;
  for (const auto &[PartName, Value] : Parts)
    TestManifest.m_Parts.emplace(PartName, Value->m_Digest);
  const std::vector<Error> Faults = checkConfiguration(Parts);
  try {
    requireValidReferences(*buildConfiguration(TestManifest, Parts));
    require(Faults.empty(), "an accepted configuration has no faults");
  } catch (const Error &Fault) {
    require(Fault.kind() == ErrorKind::BadConfiguration,
            "a fault is of kind BadConfiguration");
    require(!Faults.empty(), "a refused configuration has a fault");
  }
  return 0;
}
