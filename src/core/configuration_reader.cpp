#include "dandelionfall/core/configuration_reader.h"

#include "configuration_check.h"
#include "configuration_parts.h"

namespace dandelionfall::core {

namespace {

// An earlier version from which unchanged services are reused.
struct ReusableServices {
  const Configuration *m_Config = nullptr;
  const PartMap *m_Parts = nullptr;

  std::shared_ptr<const Service> find(const Part &Source) const {
    if (m_Config == nullptr || m_Parts == nullptr)
      return nullptr;
    const auto OldPart = m_Parts->find(Source.m_Name);
    if (OldPart == m_Parts->end() ||
        OldPart->second->m_Digest != Source.m_Digest)
      return nullptr;
    const auto Found = m_Config->m_Services.find(
        std::string_view(Source.m_Name).substr(ServicePrefix.size()));
    return Found == m_Config->m_Services.end() ? nullptr : Found->second;
  }
};

void readPart(const Part &Source, const ReusableServices &Reusable,
              Configuration &Config, FaultList &Faults) {
  if (Source.m_Name == ZonesPart) {
    readZones(Source, Config, Faults);
    return;
  }
  if (Source.m_Name == ProfilesPart) {
    readProfiles(Source, Config, Faults);
    return;
  }
  if (Source.m_Name == TeamsPart) {
    readTeams(Source, Config, Faults);
    return;
  }
  const std::string_view Name = Source.m_Name;
  if (!Name.starts_with(ServicePrefix) ||
      !isName(Name.substr(ServicePrefix.size()))) {
    Faults.emplace_back(ErrorKind::BadConfiguration, "unknown part",
                        "name parts zones, profiles, teams or service/NAME",
                        SourceLocation{Source.m_Name, 0});
    return;
  }
  auto Value = Reusable.find(Source);
  if (Value == nullptr)
    Value = readService(Source, Faults);
  Config.m_Services.emplace(Value->m_Name, std::move(Value));
}

// Returns the part with the digest listed by the manifest, or null after adding
// a fault.
const Part *findListed(const std::string &Name, Digest Expected,
                       const PartMap &Parts, FaultList &Faults) {
  const SourceLocation Location{Name, 0};
  const auto Found = Parts.find(Name);
  if (Found == Parts.end()) {
    Faults.emplace_back(ErrorKind::BadConfiguration, "part is missing",
                        "publish every part that the manifest lists", Location);
    return nullptr;
  }
  // Recomputed because a part received from a peer can state a wrong digest.
  const Digest Actual = computeDigest(Found->second->m_Text);
  if (Actual == Expected)
    return Found->second.get();
  Faults.emplace_back(ErrorKind::BadConfiguration,
                      "digest " + formatDigest(Actual) +
                          " differs from the manifest's " +
                          formatDigest(Expected),
                      "publish the parts before the manifest", Location);
  return nullptr;
}

std::shared_ptr<Configuration> assemble(const Manifest &List,
                                        const PartMap &Parts,
                                        const ReusableServices &Reusable,
                                        FaultList &Faults) {
  auto Config = std::make_shared<Configuration>();
  Config->m_Stamp = List.m_Stamp;
  for (const auto &[Name, Expected] : List.m_Parts) {
    const Part *Source = findListed(Name, Expected, Parts, Faults);
    if (Source != nullptr)
      readPart(*Source, Reusable, *Config, Faults);
  }
  Config->m_Routes = makeRouteIndex(*Config);
  checkReferences(*Config, Parts, Faults);
  return Config;
}

} // namespace

std::vector<std::string> missingParts(const Manifest &List,
                                      const PartMap &Parts) {
  std::vector<std::string> Names;
  for (const auto &[Name, Expected] : List.m_Parts) {
    const auto Found = Parts.find(Name);
    if (Found == Parts.end() || Found->second->m_Digest != Expected)
      Names.push_back(Name);
  }
  return Names;
}

ConfigurationPtr buildConfiguration(const Manifest &List, const PartMap &Parts,
                                    const Configuration *Previous,
                                    const PartMap *PreviousParts) {
  FaultList Faults;
  auto Config = assemble(List, Parts, {Previous, PreviousParts}, Faults);
  if (!Faults.empty())
    throw Faults.front();
  return Config;
}

std::vector<Error> checkConfiguration(const PartMap &Parts) {
  Manifest List;
  for (const auto &[Name, Value] : Parts)
    List.m_Parts.emplace(Name, Value->m_Digest);
  return checkConfiguration(List, Parts);
}

std::vector<Error> checkConfiguration(const Manifest &List,
                                      const PartMap &Parts) {
  FaultList Faults;
  assemble(List, Parts, {}, Faults);
  return Faults;
}

} // namespace dandelionfall::core
