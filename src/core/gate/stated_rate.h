/// \file
/// Rate limit that a target states in its responses.
#ifndef DANDELIONFALL_CORE_GATE_STATED_RATE_H
#define DANDELIONFALL_CORE_GATE_STATED_RATE_H

#include "core/gate/rate_window.h"
#include "dandelionfall/core/time.h"

#include <deque>
#include <optional>
#include <vector>

namespace dandelionfall::core::gate {

/// Limits the starts at a target to the rate that it states. The gate is the
/// only process that sends requests to the target, so the limit holds for all
/// nodes together.
class StatedRate {
public:
  /// Handles the statement in a response.
  /// \param PerSecond stated rate, not negative; unset if the response states
  /// none.
  /// \param Sent when the request of the response was sent. A response to a
  /// request sent before the latest statement of a rate doesn't withdraw it,
  /// because the responses may have been reordered.
  /// \returns whether the limit changed.
  bool onResponse(std::optional<double> PerSecond, TimePoint Sent,
                  TimePoint Now);
  /// Adopts a rate that another node learned from an earlier response. Has no
  /// effect once the target has responded to this node.
  /// \returns whether the limit changed.
  bool adopt(double PerSecond, TimePoint Now);
  /// Records that a request was sent to the target.
  void recordStart(TimePoint Now);
  /// \returns when the next request may start; `Now` if it may start at once.
  TimePoint earliestStart(TimePoint Now) const;
  /// \returns when the next requests may start at the earliest; empty if there
  /// is no limit.
  std::vector<TimePoint> nextStarts(std::size_t Count, TimePoint Now) const;
  /// \returns the stated rate, or nothing if there is no limit.
  std::optional<double> limit() const { return m_PerSecond; }
  /// \returns the time after which a request that arrives now could start.
  /// \param Ahead number of requests that start before it.
  Duration wait(std::size_t Ahead, TimePoint Now) const;

private:
  void set(std::optional<double> PerSecond);
  Duration interval() const;

  std::optional<double> m_PerSecond;
  RateWindow m_Window;
  TimePoint m_StatedAt = TimePoint::min();
  bool m_HasResponded = false;
  /// Starts within the window, in ascending order.
  std::deque<TimePoint> m_Starts;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_STATED_RATE_H
