/// \file
/// Reads single parts of the published configuration.
#ifndef DANDELIONFALL_CORE_CONFIGURATION_PARTS_H
#define DANDELIONFALL_CORE_CONFIGURATION_PARTS_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/configuration_reader.h"
#include "dandelionfall/core/ini_fields.h"

#include <memory>
#include <string_view>

namespace dandelionfall::core {

/// Name of the part with the availability zones.
inline constexpr std::string_view ZonesPart = "zones";
/// Name of the part with the profiles.
inline constexpr std::string_view ProfilesPart = "profiles";
/// Start of the name of each service's part.
inline constexpr std::string_view ServicePrefix = "service/";

/// Reads the availability zones.
/// \param Source the part.
/// \param Config receives them.
/// \param Faults receives the faults.
void readZones(const Part &Source, Configuration &Config, FaultList &Faults);

/// Reads the profiles.
/// \param Source the part.
/// \param Config receives them.
/// \param Faults receives the faults.
void readProfiles(const Part &Source, Configuration &Config, FaultList &Faults);

/// Reads a service.
/// \param Source the part, named `service/NAME`.
/// \param Faults receives the faults.
/// \returns the service as far as it could be read.
std::shared_ptr<const Service> readService(const Part &Source,
                                           FaultList &Faults);

/// Tells whether a text can name something: letters, digits, `-`, `_` and `.`,
/// at most 128 bytes.
/// \param Text the text.
/// \returns whether it can.
bool isName(std::string_view Text);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_CONFIGURATION_PARTS_H
