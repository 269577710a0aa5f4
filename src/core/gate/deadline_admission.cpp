#include "core/gate/deadline_admission.h"

#include <algorithm>
#include <functional>
#include <optional>

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
      : m_Now(View.m_Now), m_Places(View.m_PlacesFreeAt) {
    std::make_heap(m_Places.begin(), m_Places.end(), std::greater<>());
  }

  /// \param Expected the service time of the next request.
  /// \returns when it is expected to finish.
  TimePoint finishNext(Duration Expected) {
    std::pop_heap(m_Places.begin(), m_Places.end(), std::greater<>());
    const TimePoint Finish = std::max(m_Places.back(), m_Now) + Expected;
    m_Places.back() = Finish;
    std::push_heap(m_Places.begin(), m_Places.end(), std::greater<>());
    return Finish;
  }

private:
  TimePoint m_Now;
  std::vector<TimePoint> m_Places;
};

/// Expected finish of the waiting requests and, if it has a
/// place, of the arriving one at \p Position.
std::vector<TimePoint> schedule(const AdmissionView &View,
                                std::optional<std::size_t> Position) {
  PlaceSchedule Schedule(View);
  std::vector<TimePoint> Finishes;
  Finishes.reserve(View.m_Waiting.size() + 1);
  for (std::size_t Index = 0; Index <= View.m_Waiting.size(); ++Index) {
    if (Position == Index)
      Finishes.push_back(Schedule.finishNext(View.m_ServiceTime.m_Mean));
    if (Index < View.m_Waiting.size())
      Finishes.push_back(Schedule.finishNext(View.m_Waiting[Index].m_Expected));
  }
  return Finishes;
}

/// A place in the queue that an arriving request may get.
struct Place {
  /// When the arriving request is expected to finish.
  TimePoint m_Finish;
  /// No waiting request becomes late because of it.
  bool m_DelaysNobody = true;
};

Place tryPlace(const AdmissionView &View,
               const std::vector<TimePoint> &Finishes, std::size_t Position,
               Duration Spread) {
  const std::vector<TimePoint> With = schedule(View, Position);
  Place Result{With[Position], true};
  for (std::size_t Index = Position; Index < View.m_Waiting.size(); ++Index) {
    const TimePoint Deadline = View.m_Waiting[Index].m_Deadline;
    const bool WasInTime = Finishes[Index] + Spread <= Deadline;
    const bool IsInTime = With[Index + 1] + Spread <= Deadline;
    if (WasInTime && !IsInTime)
      Result.m_DelaysNobody = false;
  }
  return Result;
}

Duration earliestFeasible(const AdmissionView &View,
                          const std::vector<TimePoint> &Finishes,
                          std::size_t Position, Duration Spread,
                          TimePoint Deadline) {
  const Duration Alone = View.m_ServiceTime.m_Mean + Spread;
  if (Deadline - View.m_Now < Alone)
    return Duration{0};
  Place Found = tryPlace(View, Finishes, Position, Spread);
  while (!Found.m_DelaysNobody)
    Found = tryPlace(View, Finishes, ++Position, Spread);
  return std::max(Found.m_Finish + Spread - Deadline, MinRetryAfter);
}

} // namespace

AdmissionVerdict DeadlineAdmission::decide(const AdmissionView &View,
                                           TimePoint Deadline) const {
  const TimePoint FirstFree =
      *std::min_element(View.m_PlacesFreeAt.begin(), View.m_PlacesFreeAt.end());
  const bool StartsNow = View.m_Waiting.empty() && FirstFree <= View.m_Now;
  if (!StartsNow && View.m_Waiting.size() >= View.m_QueueLimit)
    return {false, RefusalReason::QueueFull,
            std::max(FirstFree - View.m_Now, MinRetryAfter)};
  const Duration Spread = SpreadFactor * View.m_ServiceTime.m_Deviation;
  const auto Behind =
      std::upper_bound(View.m_Waiting.begin(), View.m_Waiting.end(), Deadline,
                       [](TimePoint Wanted, const WaitingRequest &Other) {
                         return Wanted < Other.m_Deadline;
                       });
  const auto Position =
      static_cast<std::size_t>(Behind - View.m_Waiting.begin());
  const std::vector<TimePoint> Finishes = schedule(View, std::nullopt);
  const Place Found = tryPlace(View, Finishes, Position, Spread);
  if (Found.m_Finish + Spread <= Deadline && Found.m_DelaysNobody)
    return {};
  return {false, RefusalReason::Overload,
          earliestFeasible(View, Finishes, Position, Spread, Deadline)};
}

bool DeadlineAdmission::isWorthStarting(
    Duration Remaining, const ServiceTimeEstimate &Expected) const {
  return Expected.m_Mean <= Remaining;
}

} // namespace dandelionfall::core::gate
