#include "deployment.h"

namespace dandelionfall::benchmark {

std::span<const Deployment> deployments() {
  static const std::vector<Deployment> All = {
      {"thessaloniki",
       {"kalamaria", "sindos", "epanomi"},
       {"slotboard", "escortdesk", "lanewatch", "chartroom"},
       12,
       120,
       500us},
      {"kerala",
       {"ernakulam", "thrissur", "kottayam", "alappuzha"},
       {"limitdesk", "permitworks", "loadbook", "inspectra"},
       6,
       110,
       1ms},
  };
  return All;
}

std::string gateAddress(std::size_t Service, std::size_t Zone) {
  return std::to_string(Service) + ":" + std::to_string(Zone);
}

core::ConfigurationPtr makeConfiguration(const Deployment &Of,
                                         core::Version Number,
                                         core::ZoneState FirstZone) {
  auto Config = std::make_shared<core::Configuration>();
  Config->m_Stamp.m_Version = Number;
  for (const char *Name : Of.m_Zones)
    Config->m_Zones[Name] = {Name, "region", core::ZoneState::In};
  Config->m_Zones[Of.m_Zones.front()].m_State = FirstZone;
  core::Profile Standard;
  Standard.m_Name = "standard";
  Standard.m_Deadline = CallDeadline;
  Standard.m_TryTimeout = CallDeadline / 2;
  Config->m_Profiles["standard"] = Standard;
  for (std::size_t Service = 0; Service < Of.m_Services.size(); ++Service) {
    auto Built = std::make_shared<core::Service>();
    Built->m_Name = Of.m_Services[Service];
    Built->m_Profile = "standard";
    Built->m_Routes.push_back(
        {"/" + Built->m_Name, "", core::Idempotency::ByMethod});
    for (std::size_t Zone = 0; Zone < Of.m_Zones.size(); ++Zone) {
      const std::string Address = gateAddress(Service, Zone);
      Built->m_Targets.push_back({"t" + Address, "h" + Address,
                                  Of.m_Zones[Zone], Address, Of.m_Slots,
                                  Of.m_Connections});
    }
    Config->m_Services[Built->m_Name] = Built;
  }
  return Config;
}

} // namespace dandelionfall::benchmark
