#include "configuration_check.h"

#include "configuration_parts.h"

#include <absl/container/flat_hash_map.h>

namespace dandelionfall::core {

namespace {

// The checked values don't contain line numbers. Faults are rare, so the line
// is looked up by parsing the part again.
int findLine(const PartMap &Parts, const std::string &File,
             std::string_view Type, std::string_view Name,
             std::string_view Key) {
  const auto Found = Parts.find(File);
  if (Found == Parts.end())
    return 0;
  const IniDocument Document =
      parseIni(Found->second->m_Text, File, ErrorKind::BadConfiguration);
  for (const IniSection &Section : Document.m_Sections) {
    if (Section.m_Type != Type || Section.m_Name != Name)
      continue;
    const IniEntry *Entry = Section.find(Key);
    return Entry == nullptr ? Section.m_Line : Entry->m_Line;
  }
  return 0;
}

// Validates the references of one configuration.
class ReferenceCheck {
public:
  ReferenceCheck(const Configuration &Config, const PartMap &Parts,
                 FaultList &Faults)
      : m_Config(Config), m_Parts(Parts), m_Faults(Faults) {
    std::size_t TargetCount = 0;
    for (const auto &[Name, ServicePtr] : Config.m_Services)
      TargetCount += ServicePtr->m_Targets.size();
    m_TargetOwners.reserve(TargetCount);
    m_GateOwners.reserve(TargetCount);
  }

  void run() {
    // A part that can't be parsed has its own fault; don't report each
    // reference into it as well.
    m_SkipZones = !m_Faults.empty() && m_Config.m_Zones.empty();
    m_SkipProfiles = !m_Faults.empty() && m_Config.m_Profiles.empty();
    for (const auto &[Name, ServicePtr] : m_Config.m_Services) {
      checkProfile(*ServicePtr);
      for (const Target &Each : ServicePtr->m_Targets)
        checkTarget(*ServicePtr, Each);
    }
    checkRoutes();
  }

private:
  void add(const Service &Owner, std::string_view Type, std::string_view Name,
           std::string_view Key, const std::string &Fault,
           const std::string &Remedy) {
    const std::string File = std::string(ServicePrefix) + Owner.m_Name;
    const int Line = findLine(m_Parts, File, Type, Name, Key);
    m_Faults.emplace_back(ErrorKind::BadConfiguration, Fault, Remedy,
                          SourceLocation{File, Line});
  }

  void checkProfile(const Service &Owner) {
    if (m_SkipProfiles || Owner.m_Profile.empty() ||
        m_Config.m_Profiles.contains(Owner.m_Profile))
      return;
    add(Owner, "service", Owner.m_Name, "profile",
        "profile '" + Owner.m_Profile + "' is not defined",
        "name a profile that the profiles part defines");
  }

  void checkTarget(const Service &Owner, const Target &Each) {
    if (!m_SkipZones && !Each.m_Zone.empty() &&
        !m_Config.m_Zones.contains(Each.m_Zone))
      add(Owner, "target", Each.m_Name, "zone",
          "availability zone '" + Each.m_Zone + "' is not defined",
          "name an availability zone that the zones part defines");
    const auto [NameOwner, IsNewName] =
        m_TargetOwners.try_emplace(Each.m_Name, &Owner);
    if (!IsNewName)
      add(Owner, "target", Each.m_Name, "",
          "target " + Each.m_Name + " is also a target of service " +
              NameOwner->second->m_Name,
          "give each target a unique name");
    if (Each.m_GateAddress.empty())
      return;
    const auto [GateOwner, IsNewGate] =
        m_GateOwners.try_emplace(Each.m_GateAddress, &Each);
    if (!IsNewGate)
      add(Owner, "target", Each.m_Name, "gate",
          "gate " + Each.m_GateAddress + " is also the gate of target " +
              GateOwner->second->m_Name,
          "give each target's node a unique address");
  }

  // Equal routes are adjacent because the index is sorted.
  void checkRoutes() {
    const RouteIndexEntry *Previous = nullptr;
    for (const RouteIndexEntry &Each : m_Config.m_Routes) {
      if (Previous != nullptr && Previous->m_HostName == Each.m_HostName &&
          Previous->m_PathPrefix == Each.m_PathPrefix)
        add(*Each.m_Service, "route", Each.m_PathPrefix, "",
            "route " + std::string(Each.m_PathPrefix) +
                " is also a route of service " + Previous->m_Service->m_Name,
            "define each route in one service only");
      Previous = &Each;
    }
  }

  const Configuration &m_Config;
  const PartMap &m_Parts;
  FaultList &m_Faults;
  bool m_SkipZones = false;
  bool m_SkipProfiles = false;
  absl::flat_hash_map<std::string_view, const Service *> m_TargetOwners;
  absl::flat_hash_map<std::string_view, const Target *> m_GateOwners;
};

} // namespace

void checkReferences(const Configuration &Config, const PartMap &Parts,
                     FaultList &Faults) {
  ReferenceCheck(Config, Parts, Faults).run();
}

} // namespace dandelionfall::core
