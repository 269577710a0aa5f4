/// \file
/// Reads the sections of the settings for teams and for traffic between
/// availability zones.
#ifndef DANDELIONFALL_SRC_APP_SETTINGS_TEAMS_H
#define DANDELIONFALL_SRC_APP_SETTINGS_TEAMS_H

#include "dandelionfall/app/settings.h"
#include "dandelionfall/core/ini_document.h"
#include "dandelionfall/core/ini_fields.h"

#include <string_view>

namespace dandelionfall::app {

inline constexpr std::string_view RequiredRevocationKeys[] = {"max_age_ms"};
inline constexpr std::string_view RequiredZoneTrafficKeys[] = {"price_per_gb",
                                                               "worth_of_hour"};

/// Each reads one section.
/// \param Result receives the values.
/// \param Section the section.
/// \param Source file of the settings, for faults.
/// \param Faults receives the faults.
void readRevocation(Settings &Result, const core::IniSection &Section,
                    const core::IniSource &Source, core::FaultList &Faults);
void readQuota(Settings &Result, const core::IniSection &Section,
               const core::IniSource &Source, core::FaultList &Faults);
void readZoneTraffic(Settings &Result, const core::IniSection &Section,
                     const core::IniSource &Source, core::FaultList &Faults);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_SETTINGS_TEAMS_H
