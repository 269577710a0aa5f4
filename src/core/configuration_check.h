/// \file
/// Validates references between the parts of a configuration.
#ifndef DANDELIONFALL_CORE_CONFIGURATION_CHECK_H
#define DANDELIONFALL_CORE_CONFIGURATION_CHECK_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/configuration_reader.h"
#include "dandelionfall/core/ini_fields.h"

namespace dandelionfall::core {

/// Finds undefined references and duplicate target names, gates and routes.
/// Skips empty values, because parsing has already reported them.
/// \param Config the configuration, with its route index.
/// \param Parts the parts that it was read from, used to look up line numbers.
/// \param Faults receives the faults.
void checkReferences(const Configuration &Config, const PartMap &Parts,
                     FaultList &Faults);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_CONFIGURATION_CHECK_H
