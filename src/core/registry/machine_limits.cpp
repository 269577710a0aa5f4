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
constexpr double MinFollowers = 4;
/// Upper limit, and the value if nothing is stated.
constexpr double DefaultFollowers = 64;

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

} // namespace dandelionfall::core
