#include "dandelionfall/core/machine_limits.h"

#include "core/registry/limits.h"

#include <algorithm>

namespace dandelionfall::core {

namespace {

/// Share of each limit that feeds may take.
constexpr double FeedShare = 0.04;
/// Processor time of one notice: encoding, a system call, the wake-up.
constexpr std::chrono::duration<double> NoticeProcessorTime{25e-6};
/// Bytes of one notice on the link, with the headers of its packet and of the
/// acknowledgement.
constexpr double NoticeBytes = 150;
constexpr double BitsPerByte = 8;
constexpr double BitsPerMegabit = 1e6;
/// Shares of the memory that bodies may take: of callers' requests, of requests
/// at the gate, of the target's responses, of responses to callers. The rest is
/// for the configuration, headers and buffers of links.
constexpr double CallerBodyShare = 0.3;
constexpr double GateBodyShare = 0.15;
constexpr double TargetResponseShare = 0.18;
constexpr double CallerResponseShare = 0.12;
/// Share of each budget that is kept for small bodies.
constexpr double SmallShare = 0.15;
/// Share of the memory for responses that all of them may take, at least.
constexpr double MinSharedShare = 0.25;
/// Share of the memory that one response may take at most.
constexpr double MaxWholeShare = 0.25;
constexpr double BytesPerMegabyte = 1e6;
/// Memory if nothing is stated.
constexpr std::uint32_t DefaultMemoryMb = 1024;
constexpr std::size_t MaxSmallBytes = 128U << 10U;
constexpr double MinFollowers = 4;
/// Upper limit, and the value if nothing is stated.
constexpr double DefaultFollowers = 64;

double memoryBytes(const MachineLimits &Limits) {
  return BytesPerMegabyte *
         (Limits.m_MemoryMb > 0 ? Limits.m_MemoryMb : DefaultMemoryMb);
}

ByteBudgetLimits splitForSmall(double Bytes) {
  return {static_cast<std::size_t>((1 - SmallShare) * Bytes),
          static_cast<std::size_t>(SmallShare * Bytes), MaxSmallBytes};
}

ByteBudgetLimits bodyLimits(const MachineLimits &Limits, double Share) {
  return splitForSmall(Share * memoryBytes(Limits));
}

ResponseMemory responseMemory(const MachineLimits &Limits, double Share,
                              std::uint64_t MaxBodyBytes) {
  const double Bytes = Share * memoryBytes(Limits);
  const double Whole = std::min(static_cast<double>(bodyCost(MaxBodyBytes)),
                                MaxWholeShare * memoryBytes(Limits));
  return {ByteBudget::create(
              splitForSmall(std::max(Bytes - Whole, MinSharedShare * Bytes))),
          ByteBudget::create({static_cast<std::size_t>(Whole), 0, 0})};
}

} // namespace

std::size_t maxFollowers(const MachineLimits &Limits) {
  const double NoticesPerSecond =
      std::chrono::duration<double>(1) /
      std::chrono::duration<double>(registry::NoticeInterval);
  double Followers = DefaultFollowers;
  const auto Limit = [&Followers](double Available, double NeededByOne) {
    if (Available > 0)
      Followers = std::min(Followers, FeedShare * Available / NeededByOne);
  };
  Limit(Limits.m_ProcessorShare * std::max(Limits.m_Cores, 1U),
        NoticesPerSecond * NoticeProcessorTime.count());
  Limit(Limits.m_LinkMbps * BitsPerMegabit,
        NoticesPerSecond * NoticeBytes * BitsPerByte);
  Limit(Limits.m_Descriptors, 1);
  return static_cast<std::size_t>(std::max(Followers, MinFollowers));
}

ByteBudgetLimits callerBodyLimits(const MachineLimits &Limits) {
  return bodyLimits(Limits, CallerBodyShare);
}

ByteBudgetLimits gateBodyLimits(const MachineLimits &Limits) {
  return bodyLimits(Limits, GateBodyShare);
}

ResponseMemory targetResponseMemory(const MachineLimits &Limits,
                                    std::uint64_t MaxBodyBytes) {
  return responseMemory(Limits, TargetResponseShare, MaxBodyBytes);
}

ResponseMemory callerResponseMemory(const MachineLimits &Limits,
                                    std::uint64_t MaxBodyBytes) {
  return responseMemory(Limits, CallerResponseShare, MaxBodyBytes);
}

} // namespace dandelionfall::core
