/// \file
/// Time types of the decision logic, which receives the time with each event
/// and never reads a clock.
#ifndef DANDELIONFALL_CORE_TIME_H
#define DANDELIONFALL_CORE_TIME_H

#include <chrono>

namespace dandelionfall::core {

/// Duration in microseconds.
using Duration = std::chrono::microseconds;

/// Time on the process's monotonic clock; not comparable between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_TIME_H
