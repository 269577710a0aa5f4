#include "core/ingress/completion_estimate.h"

#include <algorithm>
#include <cmath>

namespace dandelionfall::core::ingress {

namespace {

// Half of the width of the distribution of completion times, as a share of the
// expected time.
constexpr double CompletionSpread = 0.5;

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

// Time until a slot is free. Below the limit, slots may be taken by requests of
// other ingresses on their way: an approximation for several servers
// (Sakasegawa).
double waitSeconds(const TargetOutlook &At) {
  const double SecondsPerEnd = At.m_ServiceSeconds / At.m_Limit;
  const double Occupancy = std::min(1.0, At.m_Load / At.m_Limit);
  const double Contention =
      std::pow(Occupancy, std::sqrt(2 * (At.m_Limit + 1)));
  return SecondsPerEnd * std::max(Contention, At.m_Load + 1 - At.m_Limit);
}

double lateShare(double Seconds, double SecondsLeft) {
  const double Latest = 1 + CompletionSpread;
  return std::clamp((Latest * Seconds - SecondsLeft) /
                        (2 * CompletionSpread * Seconds),
                    0.0, 1.0);
}

} // namespace

CompletionEstimate estimateCompletion(const TargetOutlook &At,
                                      const RequestOutlook &Request) {
  CompletionEstimate Result;
  Result.m_Seconds =
      At.m_RoundTripSeconds + At.m_ServiceSeconds + waitSeconds(At);
  const double Late =
      lateShare(Result.m_Seconds, toSeconds(Request.m_TimeLeft));
  Result.m_MissShare = 1 - (1 - At.m_FailureShare) * (1 - Late);
  const double Vain =
      std::max(Result.m_Seconds, toSeconds(Request.m_DeadlineLeft));
  Result.m_LostSeconds =
      (1 - Result.m_MissShare) * Result.m_Seconds + Result.m_MissShare * Vain;
  return Result;
}

TargetOutlook outlookOf(const Candidate &Of, const ChoiceContext &Context,
                        double TypicalSeconds) {
  const LoadView &View = Of.m_Peer->m_Load;
  TargetOutlook Result;
  Result.m_Load = View.crowdedLoad(Context.m_Now);
  Result.m_Limit = View.limit(assumedLimit(Of, Context.m_AssumedLimit));
  Result.m_ServiceSeconds = View.serviceTime() > Duration{0}
                                ? toSeconds(View.serviceTime())
                                : TypicalSeconds;
  Result.m_RoundTripSeconds = toSeconds(View.roundTrip());
  Result.m_FailureShare = View.failureShare(Context.m_Now);
  return Result;
}

} // namespace dandelionfall::core::ingress
