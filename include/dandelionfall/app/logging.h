/// \file
/// Structured log on standard output: one line of `key=value` pairs per event.
#ifndef DANDELIONFALL_APP_LOGGING_H
#define DANDELIONFALL_APP_LOGGING_H

#include "dandelionfall/core/event.h"

#include <string>

namespace dandelionfall::app {

/// Starts logging to standard output; events before this call are not logged.
/// Lines are rate-limited per event kind, and dropped if writing to standard
/// output would block; the log itself reports both counts.
/// \param Level lowest severity that is written: debug, info, warning or error;
/// any other value means info.
void setUpLogging(const std::string &Level);

/// Logs an event at its severity. Thread-safe.
/// \param Host the node's host name.
/// \param Event the event.
void logEvent(const std::string &Host, const core::Event &Event);

/// Formats an event as the log line shows it.
/// \param Host the node's host name.
/// \param Event the event; its detail is quoted, and control characters in
/// it are escaped.
/// \returns `event=NUMBER name=NAME host=HOST detail="DETAIL"`.
std::string formatEvent(const std::string &Host, const core::Event &Event);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_LOGGING_H
