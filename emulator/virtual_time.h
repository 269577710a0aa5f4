/// \file
/// The clock and the events of an emulated deployment.
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

/// Runs actions in the order of their times, and of their making where these
/// are equal.
class VirtualTime {
public:
  using Action = std::function<void()>;

  TimePoint now() const { return m_Now; }
  /// \returns the time since the start.
  Duration elapsed() const { return m_Now - Start; }
  /// Runs an action at a time; at once if it has passed.
  void at(TimePoint When, Action Do);
  /// Runs an action at a time after the start.
  void afterStart(Duration After, Action Do) {
    at(Start + After, std::move(Do));
  }
  /// Runs all that is due until a time after the start.
  void runUntil(Duration AfterStart);

private:
  // Far from zero, so that times before the start are no special case.
  static constexpr TimePoint Start{std::chrono::seconds(1000)};

  TimePoint m_Now = Start;
  std::uint64_t m_Count = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Action> m_Events;
};

} // namespace dandelionfall::emulator

#endif // DANDELIONFALL_EMULATOR_VIRTUAL_TIME_H
