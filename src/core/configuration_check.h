/// \file
/// Checks what the parts of a configuration say of each other.
#ifndef DANDELIONFALL_CORE_CONFIGURATION_CHECK_H
#define DANDELIONFALL_CORE_CONFIGURATION_CHECK_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/configuration_reader.h"
#include "dandelionfall/core/ini_fields.h"

namespace dandelionfall::core {

/// Finds references that lead nowhere and names, gates and routes that stand
/// twice. Values that are empty are left out, since reading has reported them.
/// \param Config the configuration, with its route index.
/// \param Parts the parts that it was read from; they give the lines.
/// \param Faults receives the faults.
void checkReferences(const Configuration &Config, const PartMap &Parts,
                     FaultList &Faults);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_CONFIGURATION_CHECK_H
