#include "core/gate/deadline_admission.h"

#include "core/gate/slot_schedule.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

namespace dandelionfall::core::gate {

namespace {

/// Safety margin, in deviations of the service time, that a request must keep
/// to its deadline.
constexpr int SpreadFactor = 1;

/// Safety margin for requests with a soft deadline. A busy queue fills up to
/// what is admitted, so with a smaller margin half of its responses are late.
constexpr int SoftDeadlineSpreadFactor = 2;

/// Shortest retry time stated in a refusal.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(1);

/// Divisor of the remaining time that gives the longest wait of a late request
/// for a slot. The wait must be no longer than a gap that no request in time
/// fills, because a late request blocks those while it runs.
constexpr int LateWaitDivisor = 16;

/// Expected finish times of the waiting requests and, if \p Position is set, of
/// the arriving request inserted there.
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

/// Effect of inserting the arriving request at a position of the queue.
struct Placement {
  /// Expected finish time of the arriving request.
  TimePoint m_Finish;
  /// Whether no waiting request becomes late because of the insertion.
  bool m_KeepsOthersInTime = true;
};

/// Time by which a waiting request must finish.
TimePoint requiredFinish(const WaitingRequest &Request) {
  return Request.m_Late ? Request.m_Deadline : Request.m_SoftDeadline;
}

/// \param Least rank of the least urgent requests that count.
Placement evaluatePlacement(const AdmissionView &View,
                            const std::vector<TimePoint> &Finishes,
                            std::size_t Position, Duration Spread,
                            Rank Least = std::numeric_limits<Rank>::max()) {
  const std::vector<TimePoint> NewFinishes = schedule(View, Position);
  Placement Result{NewFinishes[Position], true};
  for (std::size_t Index = Position; Index < View.m_Waiting.size(); ++Index) {
    if (View.m_Waiting[Index].m_Rank > Least)
      continue;
    const TimePoint Limit = requiredFinish(View.m_Waiting[Index]);
    const bool WasInTime = Finishes[Index] + Spread <= Limit;
    const bool IsInTime = NewFinishes[Index + 1] + Spread <= Limit;
    if (WasInTime && !IsInTime)
      Result.m_KeepsOthersInTime = false;
  }
  return Result;
}

/// The request would displace less urgent ones, so these don't count.
Duration earliestFeasibleDelay(const AdmissionView &View,
                               const std::vector<TimePoint> &Finishes,
                               std::size_t Position, Duration Spread,
                               const ArrivingRequest &Arriving) {
  const TimePoint Deadline = Arriving.m_SoftDeadline;
  const Duration OwnTime = View.m_ServiceTime.m_Mean + Spread;
  if (Deadline - View.m_Now < OwnTime)
    return Duration{0};
  Placement Found =
      evaluatePlacement(View, Finishes, Position, Spread, Arriving.m_Rank);
  while (!Found.m_KeepsOthersInTime)
    Found =
        evaluatePlacement(View, Finishes, ++Position, Spread, Arriving.m_Rank);
  return std::max(Found.m_Finish + Spread - Deadline, MinRetryAfter);
}

/// Position of a request in the order of the queue.
std::size_t positionOf(const AdmissionView &View, bool Late,
                       const ArrivingRequest &Arriving) {
  const auto Key = std::tuple(Late, Arriving.m_Rank, Arriving.m_SoftDeadline);
  const auto Successor =
      std::upper_bound(View.m_Waiting.begin(), View.m_Waiting.end(), Key,
                       [](const auto &Left, const WaitingRequest &Other) {
                         return Left < std::tuple(Other.m_Late, Other.m_Rank,
                                                  Other.m_SoftDeadline);
                       });
  return static_cast<std::size_t>(Successor - View.m_Waiting.begin());
}

/// Checks whether a late request may wait for idle capacity. The wait is
/// limited to a part of its remaining time, since further requests that can be
/// in time will arrive.
bool canAdmitLate(const AdmissionView &View, const Placement &Found,
                  Duration Spread, TimePoint Deadline) {
  const TimePoint Start = Found.m_Finish - View.m_ServiceTime.m_Mean;
  return Found.m_KeepsOthersInTime && Found.m_Finish + Spread <= Deadline &&
         Start - View.m_Now <= (Deadline - View.m_Now) / LateWaitDivisor;
}

/// Finds the less urgent requests that can't keep their places if the arriving
/// one is inserted. Each that loses its place leaves it to those behind it.
/// \returns nothing if an equally or more urgent one would become late.
std::optional<std::vector<Displaced>>
findDisplaced(const AdmissionView &View, const std::vector<TimePoint> &Finishes,
              std::size_t Position, Duration Spread,
              const ArrivingRequest &Arriving) {
  SlotSchedule Schedule(View);
  std::vector<Displaced> Found;
  for (std::size_t Index = 0; Index < View.m_Waiting.size(); ++Index) {
    if (Index == Position)
      Schedule.finishNext(View.m_ServiceTime.m_Mean);
    const WaitingRequest &Request = View.m_Waiting[Index];
    const TimePoint Limit = requiredFinish(Request);
    const TimePoint Finish = Schedule.nextStart() + Request.m_Expected;
    const bool BecomesLate =
        Finishes[Index] + Spread <= Limit && Finish + Spread > Limit;
    if (Index < Position || (!BecomesLate && Finish <= Request.m_Deadline)) {
      Schedule.finishNext(Request.m_Expected);
      continue;
    }
    if (Request.m_Rank > Arriving.m_Rank) {
      Found.push_back({Index});
      continue;
    }
    if (BecomesLate)
      return std::nullopt;
    Schedule.finishNext(Request.m_Expected);
  }
  for (Displaced &Each : Found) {
    const WaitingRequest &Request = View.m_Waiting[Each.m_Index];
    Each.m_RetryAfter = std::max(Schedule.nextStart() + Request.m_Expected +
                                     Spread - requiredFinish(Request),
                                 MinRetryAfter);
  }
  return Found;
}

/// \returns the last waiting request that is less urgent than a rank.
std::optional<std::size_t> lastLessUrgent(const AdmissionView &View,
                                          Rank Than) {
  for (std::size_t Index = View.m_Waiting.size(); Index > 0; --Index) {
    if (View.m_Waiting[Index - 1].m_Rank > Than)
      return Index - 1;
  }
  return std::nullopt;
}

/// Extends a wait by the more urgent requests that are expected meanwhile.
TimePoint expectedStart(const AdmissionView &View, TimePoint Start,
                        const ArrivingRequest &Arriving) {
  if (Arriving.m_MoreUrgentPart <= 0 || Start <= View.m_Now)
    return Start;
  const auto Wait = static_cast<double>((Start - View.m_Now).count());
  return View.m_Now + Duration(static_cast<Duration::rep>(
                          Wait / (1 - Arriving.m_MoreUrgentPart)));
}

} // namespace

AdmissionDecision
DeadlineAdmission::decideWithFullQueue(const AdmissionView &View,
                                       const ArrivingRequest &Arriving,
                                       Duration RetryAfter) const {
  AdmissionDecision Full{false, false, RefusalReason::QueueFull, RetryAfter};
  const auto Last = lastLessUrgent(View, Arriving.m_Rank);
  // One place is not enough in a queue above a limit that was lowered.
  if (!Last || View.m_Waiting.size() > View.m_QueueLimit)
    return Full;
  AdmissionView Shorter = View;
  Shorter.m_Waiting.erase(Shorter.m_Waiting.begin() +
                          static_cast<std::ptrdiff_t>(*Last));
  AdmissionDecision Decision = decide(Shorter, Arriving);
  // A request that is late already displaces none.
  if (!Decision.m_Admitted || Decision.m_Late)
    return Full;
  for (Displaced &Each : Decision.m_Displaced)
    Each.m_Index += Each.m_Index >= *Last ? 1 : 0;
  Decision.m_Displaced.push_back({*Last, RetryAfter});
  std::sort(Decision.m_Displaced.begin(), Decision.m_Displaced.end(),
            [](const Displaced &Left, const Displaced &Right) {
              return Left.m_Index < Right.m_Index;
            });
  return Decision;
}

AdmissionDecision
DeadlineAdmission::decide(const AdmissionView &View,
                          const ArrivingRequest &Arriving) const {
  const TimePoint Deadline = Arriving.m_Deadline;
  const TimePoint EarliestFree =
      *std::min_element(View.m_SlotsFreeAt.begin(), View.m_SlotsFreeAt.end());
  const bool StartsNow = View.m_Waiting.empty() && EarliestFree <= View.m_Now;
  if (!StartsNow && View.m_Waiting.size() >= View.m_QueueLimit)
    return decideWithFullQueue(
        View, Arriving, std::max(EarliestFree - View.m_Now, MinRetryAfter));
  const Duration Deviation = View.m_ServiceTime.m_Deviation;
  const Duration Spread = SpreadFactor * Deviation;
  const std::vector<TimePoint> Finishes = schedule(View, std::nullopt);
  const bool HasSoftDeadline = Arriving.m_SoftDeadline < Deadline;
  const std::size_t Position = positionOf(View, false, Arriving);
  const Placement Found = evaluatePlacement(View, Finishes, Position, Spread);
  const Duration OwnTime = View.m_ServiceTime.m_Mean;
  const TimePoint Finish =
      expectedStart(View, Found.m_Finish - OwnTime, Arriving) + OwnTime +
      (HasSoftDeadline ? SoftDeadlineSpreadFactor * Deviation : Spread);
  if (Finish <= Arriving.m_SoftDeadline) {
    const auto Losing =
        findDisplaced(View, Finishes, Position, Spread, Arriving);
    if (Losing)
      return {.m_Displaced = *Losing};
  }
  if (HasSoftDeadline) {
    const std::size_t LatePosition = positionOf(View, true, Arriving);
    const Placement Late =
        evaluatePlacement(View, Finishes, LatePosition, Spread);
    if (canAdmitLate(View, Late, Spread, Deadline))
      return {true, true};
  }
  return {false, false, RefusalReason::Overload,
          earliestFeasibleDelay(View, Finishes, Position, Spread, Arriving)};
}

bool DeadlineAdmission::canFinishInTime(
    Duration Remaining, const ServiceTimeEstimate &Expected) const {
  return Expected.m_Mean <= Remaining;
}

} // namespace dandelionfall::core::gate
