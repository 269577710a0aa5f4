/// \file
/// Names of the severities of events.
#ifndef DANDELIONFALL_SRC_APP_SEVERITY_NAME_H
#define DANDELIONFALL_SRC_APP_SEVERITY_NAME_H

#include "dandelionfall/core/event.h"

#include <string_view>

namespace dandelionfall::app {

/// Returns the name of a severity as used in JSON and in docs/EVENTS.md.
/// \param Value the severity.
/// \returns its name in lower case.
std::string_view severityName(core::Severity Value);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_SEVERITY_NAME_H
