#include "core/gate/deadline_admission.h"

#include <algorithm>
#include <functional>

namespace dandelionfall::core::gate {

namespace {

/// Deviations by which a request may exceed the mean service time and still be
/// in time.
constexpr int SpreadFactor = 1;

/// Shortest time that a refused ingress is told to wait.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(1);

/// Hands out places in the order in which they become free.
class PlaceSchedule {
public:
  explicit PlaceSchedule(const AdmissionView &View)
      : m_Now(View.m_Now), m_Mean(View.m_ServiceTime.m_Mean),
        m_Places(View.m_PlacesFreeAt) {
    std::make_heap(m_Places.begin(), m_Places.end(), std::greater<>());
  }

  /// \returns when the next request is expected to finish.
  TimePoint finishNext() {
    std::pop_heap(m_Places.begin(), m_Places.end(), std::greater<>());
    const TimePoint Finish = std::max(m_Places.back(), m_Now) + m_Mean;
    m_Places.back() = Finish;
    std::push_heap(m_Places.begin(), m_Places.end(), std::greater<>());
    return Finish;
  }

private:
  TimePoint m_Now;
  Duration m_Mean;
  std::vector<TimePoint> m_Places;
};

/// Expected finish of the waiting requests without the arriving one, and one
/// more at the end.
std::vector<TimePoint> scheduleInOrder(const AdmissionView &View) {
  PlaceSchedule Schedule(View);
  std::vector<TimePoint> Finishes;
  Finishes.reserve(View.m_Waiting.size() + 1);
  for (std::size_t Index = 0; Index <= View.m_Waiting.size(); ++Index)
    Finishes.push_back(Schedule.finishNext());
  return Finishes;
}

/// Tells whether no waiting request becomes late because one more starts at
/// \p Position. All take the mean time, so each request behind moves to the
/// finish of the next one.
bool delaysNobody(const AdmissionView &View,
                  const std::vector<TimePoint> &Finishes, std::size_t Position,
                  Duration Spread) {
  for (std::size_t Index = Position; Index < View.m_Waiting.size(); ++Index) {
    const TimePoint Deadline = View.m_Waiting[Index];
    const bool WasInTime = Finishes[Index] + Spread <= Deadline;
    const bool IsInTime = Finishes[Index + 1] + Spread <= Deadline;
    if (WasInTime && !IsInTime)
      return false;
  }
  return true;
}

Duration earliestFeasible(const AdmissionView &View,
                          const std::vector<TimePoint> &Finishes,
                          std::size_t Position, Duration Spread,
                          TimePoint Deadline) {
  const Duration Alone = View.m_ServiceTime.m_Mean + Spread;
  if (Deadline - View.m_Now < Alone)
    return Duration{0};
  while (!delaysNobody(View, Finishes, Position, Spread))
    ++Position;
  const Duration Excess = Finishes[Position] + Spread - Deadline;
  return std::max(Excess, MinRetryAfter);
}

} // namespace

AdmissionVerdict DeadlineAdmission::decide(const AdmissionView &View,
                                           TimePoint Deadline) const {
  const std::vector<TimePoint> Finishes = scheduleInOrder(View);
  const bool StartsNow =
      View.m_Waiting.empty() &&
      Finishes.front() <= View.m_Now + View.m_ServiceTime.m_Mean;
  const Duration Spread = SpreadFactor * View.m_ServiceTime.m_Deviation;
  const auto Place =
      std::upper_bound(View.m_Waiting.begin(), View.m_Waiting.end(), Deadline);
  const auto Position =
      static_cast<std::size_t>(Place - View.m_Waiting.begin());
  if (!StartsNow && View.m_Waiting.size() >= View.m_QueueLimit) {
    const Duration FirstStart =
        Finishes.front() - View.m_ServiceTime.m_Mean - View.m_Now;
    return {false, RefusalReason::QueueFull,
            std::max(FirstStart, MinRetryAfter)};
  }
  const bool InTime = Finishes[Position] + Spread <= Deadline;
  if (InTime && delaysNobody(View, Finishes, Position, Spread))
    return {};
  return {false, RefusalReason::Overload,
          earliestFeasible(View, Finishes, Position, Spread, Deadline)};
}

bool DeadlineAdmission::isWorthStarting(
    Duration Remaining, const ServiceTimeEstimate &Expected) const {
  return Expected.m_Mean <= Remaining;
}

} // namespace dandelionfall::core::gate
