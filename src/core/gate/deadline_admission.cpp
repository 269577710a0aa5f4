#include "core/gate/deadline_admission.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

namespace dandelionfall::core::gate {

namespace {

/// Deviations by which a request may exceed the mean service time and still be
/// in time.
constexpr int SpreadFactor = 1;

/// The same where the answer is wanted before the deadline. A busy queue fills
/// up to what is admitted, so with less to spare half of its answers are late.
constexpr int SoftDeadlineSpreadFactor = 2;

/// Shortest time that a refused ingress is told to wait.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(1);

/// Part of its remaining time that a late request may wait for a place: no more
/// than a gap that nothing in time fills, for it keeps that out while it runs.
constexpr int LateWaitDivisor = 16;

/// Hands out places in the order in which they become free.
class SlotSchedule {
public:
  explicit SlotSchedule(const AdmissionView &View)
      : m_Now(View.m_Now), m_FreeTimes(View.m_SlotsFreeAt) {
    std::make_heap(m_FreeTimes.begin(), m_FreeTimes.end(), std::greater<>());
  }

  /// \param Expected the service time of the next request.
  /// \returns when it is expected to finish.
  TimePoint finishNext(Duration Expected) {
    std::pop_heap(m_FreeTimes.begin(), m_FreeTimes.end(), std::greater<>());
    const TimePoint Finish = std::max(m_FreeTimes.back(), m_Now) + Expected;
    m_FreeTimes.back() = Finish;
    std::push_heap(m_FreeTimes.begin(), m_FreeTimes.end(), std::greater<>());
    return Finish;
  }

private:
  TimePoint m_Now;
  std::vector<TimePoint> m_FreeTimes;
};

/// Expected finish of the waiting requests and, if it has a
/// place, of the arriving one at \p Position.
std::vector<TimePoint> schedule(const AdmissionView &View,
                                std::optional<std::size_t> Position) {
  SlotSchedule Schedule(View);
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
struct Placement {
  /// When the arriving request is expected to finish.
  TimePoint m_Finish;
  /// No waiting request becomes late because of it.
  bool m_KeepsOthersInTime = true;
};

/// Time by which a waiting request is to finish.
TimePoint requiredFinish(const WaitingRequest &Request) {
  return Request.m_Late ? Request.m_Deadline : Request.m_SoftDeadline;
}

Placement evaluatePlacement(const AdmissionView &View,
                            const std::vector<TimePoint> &Finishes,
                            std::size_t Position, Duration Spread) {
  const std::vector<TimePoint> NewFinishes = schedule(View, Position);
  Placement Result{NewFinishes[Position], true};
  for (std::size_t Index = Position; Index < View.m_Waiting.size(); ++Index) {
    const TimePoint Limit = requiredFinish(View.m_Waiting[Index]);
    const bool WasInTime = Finishes[Index] + Spread <= Limit;
    const bool IsInTime = NewFinishes[Index + 1] + Spread <= Limit;
    if (WasInTime && !IsInTime)
      Result.m_KeepsOthersInTime = false;
  }
  return Result;
}

Duration earliestFeasibleDelay(const AdmissionView &View,
                               const std::vector<TimePoint> &Finishes,
                               std::size_t Position, Duration Spread,
                               TimePoint Deadline) {
  const Duration OwnTime = View.m_ServiceTime.m_Mean + Spread;
  if (Deadline - View.m_Now < OwnTime)
    return Duration{0};
  Placement Found = evaluatePlacement(View, Finishes, Position, Spread);
  while (!Found.m_KeepsOthersInTime)
    Found = evaluatePlacement(View, Finishes, ++Position, Spread);
  return std::max(Found.m_Finish + Spread - Deadline, MinRetryAfter);
}

/// Place of a request in the order of the queue.
std::size_t positionOf(const AdmissionView &View, bool Late,
                       TimePoint SoftDeadline) {
  const auto Position = std::upper_bound(
      View.m_Waiting.begin(), View.m_Waiting.end(),
      std::pair(Late, SoftDeadline),
      [](const std::pair<bool, TimePoint> &Key, const WaitingRequest &Other) {
        return Key < std::pair(Other.m_Late, Other.m_SoftDeadline);
      });
  return static_cast<std::size_t>(Position - View.m_Waiting.begin());
}

/// Tells whether a late request may wait for what is left over: only for a part
/// of its time, since more of those that can be in time will come.
bool canAdmitLate(const AdmissionView &View, const Placement &Found,
                  Duration Spread, TimePoint Deadline) {
  const TimePoint Start = Found.m_Finish - View.m_ServiceTime.m_Mean;
  return Found.m_KeepsOthersInTime && Found.m_Finish + Spread <= Deadline &&
         Start - View.m_Now <= (Deadline - View.m_Now) / LateWaitDivisor;
}

} // namespace

AdmissionDecision
DeadlineAdmission::decide(const AdmissionView &View,
                          const ArrivingRequest &Arriving) const {
  const TimePoint Deadline = Arriving.m_Deadline;
  const TimePoint EarliestFree =
      *std::min_element(View.m_SlotsFreeAt.begin(), View.m_SlotsFreeAt.end());
  const bool StartsNow = View.m_Waiting.empty() && EarliestFree <= View.m_Now;
  if (!StartsNow && View.m_Waiting.size() >= View.m_QueueLimit)
    return {false, false, RefusalReason::QueueFull,
            std::max(EarliestFree - View.m_Now, MinRetryAfter)};
  const Duration Deviation = View.m_ServiceTime.m_Deviation;
  const Duration Spread = SpreadFactor * Deviation;
  const std::vector<TimePoint> Finishes = schedule(View, std::nullopt);
  const bool HasSoftDeadline = Arriving.m_SoftDeadline < Deadline;
  const std::size_t Position = positionOf(View, false, Arriving.m_SoftDeadline);
  const Placement Found = evaluatePlacement(View, Finishes, Position, Spread);
  const TimePoint Finish =
      Found.m_Finish +
      (HasSoftDeadline ? SoftDeadlineSpreadFactor * Deviation : Spread);
  if (Finish <= Arriving.m_SoftDeadline && Found.m_KeepsOthersInTime)
    return {};
  if (HasSoftDeadline) {
    const std::size_t LatePosition =
        positionOf(View, true, Arriving.m_SoftDeadline);
    const Placement Late =
        evaluatePlacement(View, Finishes, LatePosition, Spread);
    if (canAdmitLate(View, Late, Spread, Deadline))
      return {true, true};
  }
  return {false, false, RefusalReason::Overload,
          earliestFeasibleDelay(View, Finishes, Position, Spread,
                                Arriving.m_SoftDeadline)};
}

bool DeadlineAdmission::isWorthStarting(
    Duration Remaining, const ServiceTimeEstimate &Expected) const {
  return Expected.m_Mean <= Remaining;
}

} // namespace dandelionfall::core::gate
