/// \file
/// Time as the decision logic sees it: a number handed in with each event,
/// never read from a clock.
#ifndef DANDELIONFALL_CORE_TIME_H
#define DANDELIONFALL_CORE_TIME_H

#include <chrono>

namespace dandelionfall::core {

/// Length of time in microseconds.
using Duration = std::chrono::microseconds;

/// Instant on the process's own monotonic clock; never compared between
/// processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_TIME_H
