/// \file
/// Structured logs on standard output, one line of `key=value` pairs an event.
#ifndef DANDELIONFALL_APP_LOGGING_H
#define DANDELIONFALL_APP_LOGGING_H

#include "dandelionfall/core/event.h"

#include <string>

namespace dandelionfall::app {

/// Starts logging to standard output. Nothing is logged before. Lines are
/// bounded in number by kind, and dropped rather than waited for if standard
/// output takes no more; both are counted in the log itself. \param Level the
/// least severity that is written: debug, info, warning or error.
void setUpLogging(const std::string &Level);

/// Writes an event at its severity. Safe for use by several threads.
/// \param Host the node's host name.
/// \param Event the event.
void logEvent(const std::string &Host, const core::Event &Event);

/// Formats an event as it stands in a log line.
/// \param Host the node's host name.
/// \param Event the event; its detail is quoted, and control characters in
/// it are escaped.
/// \returns `event=NUMBER name=NAME host=HOST detail="DETAIL"`.
std::string formatEvent(const std::string &Host, const core::Event &Event);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_LOGGING_H
