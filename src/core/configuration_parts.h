/// \file
/// Parses single parts of the published configuration.
#ifndef DANDELIONFALL_CORE_CONFIGURATION_PARTS_H
#define DANDELIONFALL_CORE_CONFIGURATION_PARTS_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/configuration_reader.h"
#include "dandelionfall/core/ini_fields.h"

#include <memory>
#include <string_view>

namespace dandelionfall::core {

/// Name of the part that defines the availability zones.
inline constexpr std::string_view ZonesPart = "zones";
/// Name of the part that defines the profiles.
inline constexpr std::string_view ProfilesPart = "profiles";
/// Name of the part that defines the teams; may be absent.
inline constexpr std::string_view TeamsPart = "teams";
/// Prefix of the names of the parts that define a service.
inline constexpr std::string_view ServicePrefix = "service/";

/// Parses the availability zones.
/// \param Source the part.
/// \param Config receives the availability zones.
/// \param Faults receives the faults.
void readZones(const Part &Source, Configuration &Config, FaultList &Faults);

/// Parses the profiles.
/// \param Source the part.
/// \param Config receives the profiles.
/// \param Faults receives the faults.
void readProfiles(const Part &Source, Configuration &Config, FaultList &Faults);

/// Parses the teams.
/// \param Source the part.
/// \param Config receives the teams.
/// \param Faults receives the faults; none quotes a key.
void readTeams(const Part &Source, Configuration &Config, FaultList &Faults);

/// Parses a service.
/// \param Source the part, named `service/NAME`.
/// \param Faults receives the faults.
/// \returns the service; values with faults are absent or have their defaults.
std::shared_ptr<const Service> readService(const Part &Source,
                                           FaultList &Faults);

/// Checks whether a text is a valid name: 1 to 128 bytes of letters, digits,
/// `-`, `_` and `.`.
bool isName(std::string_view Text);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_CONFIGURATION_PARTS_H
