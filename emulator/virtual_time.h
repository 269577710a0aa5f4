/// \file
/// Virtual clock and scheduler of an emulated deployment.
#ifndef DANDELIONFALL_EMULATOR_VIRTUAL_TIME_H
#define DANDELIONFALL_EMULATOR_VIRTUAL_TIME_H

#include "dandelionfall/core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace dandelionfall::emulator {

using core::Duration;
using core::TimePoint;
using namespace std::chrono_literals;

/// Runs actions in order of time; actions of the same time run in the order in
/// which they were scheduled.
class VirtualTime {
public:
  using Action = std::function<void()>;

  TimePoint now() const { return m_Now; }
  /// \returns the time since the start.
  Duration elapsed() const { return m_Now - Start; }
  /// Schedules an action; a time in the past counts as now.
  void at(TimePoint When, Action Do);
  /// Schedules an action at a time after the start.
  void afterStart(Duration After, Action Do) {
    at(Start + After, std::move(Do));
  }
  /// Runs all actions that are due up to a time after the start.
  void runUntil(Duration AfterStart);

private:
  // Far from zero, so that times before the start need no special case.
  static constexpr TimePoint Start{std::chrono::seconds(1000)};

  TimePoint m_Now = Start;
  std::uint64_t m_Count = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Action> m_Events;
};

} // namespace dandelionfall::emulator

#endif // DANDELIONFALL_EMULATOR_VIRTUAL_TIME_H
