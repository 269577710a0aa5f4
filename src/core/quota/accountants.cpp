#include "core/quota/accountants.h"

#include "core/quota/limits.h"

#include <xxhash.h>

#include <algorithm>

namespace dandelionfall::core::quota {

namespace {

/// Nodes on different processors must agree on the number of accountants.
constexpr double Rounding = 1e-9;

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

QuotaShare shareOf(const TeamQuota &Quota, const QuotaTolerance &Tolerance,
                   std::size_t GateCount) {
  if (GateCount == 0)
    return {};
  const double Window = secondsOf(Tolerance.m_Window);
  double Rate = Quota.m_RatePerSecond;
  const double Allowance =
      Tolerance.m_Overage * (Rate * Window + Quota.m_Burst) + Tolerance.m_Slack;
  double Burst = Quota.m_Burst + BucketToleranceShare * Allowance;
  // A bucket that can't hold one request never grants any, so some of the rate
  // is exchanged for room.
  if (Burst < MinBurst) {
    Rate = std::max(0.0, Rate - (MinBurst - Burst) / Window);
    Burst = Rate > 0 ? MinBurst : 0;
  }
  const auto Count = std::clamp<std::size_t>(
      static_cast<std::size_t>(
          std::min(Burst / MinShareBurst + Rounding, double{MaxAccountants})),
      1, std::min(MaxAccountants, GateCount));
  const auto Parts = static_cast<double>(Count);
  return {Count, Rate / Parts, Burst / Parts};
}

NameHash hashOfName(std::string_view Name) {
  return XXH3_64bits(Name.data(), Name.size());
}

std::uint64_t accountantRank(NameHash Gate, NameHash Team) {
  // Finalizer of SplitMix64.
  std::uint64_t Mixed = Gate ^ Team;
  Mixed = (Mixed ^ (Mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
  Mixed = (Mixed ^ (Mixed >> 27U)) * 0x94d049bb133111ebU;
  return Mixed ^ (Mixed >> 31U);
}

GateNames gatesOf(const Configuration &Config) {
  GateNames Result;
  for (const auto &[Name, ServicePtr] : Config.m_Services) {
    for (const Target &Each : ServicePtr->m_Targets)
      Result.push_back({hashOfName(Each.m_GateAddress), Each.m_GateAddress});
  }
  std::sort(Result.begin(), Result.end());
  Result.erase(std::unique(Result.begin(), Result.end()), Result.end());
  return Result;
}

std::vector<std::string> chooseAccountants(const GateNames &Gates,
                                           std::string_view Team,
                                           std::size_t Count) {
  const NameHash Hash = hashOfName(Team);
  std::vector<const GateName *> Best;
  Best.reserve(Gates.size());
  for (const GateName &Each : Gates)
    Best.push_back(&Each);
  Count = std::min(Count, Best.size());
  std::partial_sort(Best.begin(), Best.begin() + static_cast<long>(Count),
                    Best.end(),
                    [Hash](const GateName *Left, const GateName *Right) {
                      return accountantRank(Left->m_Hash, Hash) >
                             accountantRank(Right->m_Hash, Hash);
                    });
  std::vector<std::string> Result;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result.push_back(Best[Index]->m_Address);
  return Result;
}

} // namespace dandelionfall::core::quota
