#include "app/log_limiter.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::app {

LogLimiter::Verdict LogLimiter::decide(core::EventId Kind, TimePoint Now) {
  const auto [Found, Added] = m_Buckets.try_emplace(Kind);
  Bucket &Kept = Found->second;
  if (!Added) {
    const std::chrono::duration<double> Elapsed = Now - Kept.m_FilledAt;
    Kept.m_Tokens =
        std::min(Burst, Kept.m_Tokens + Elapsed.count() * PerSecond);
  }
  Kept.m_FilledAt = Now;
  if (Kept.m_Tokens < 1) {
    ++Kept.m_LeftOut;
    return {false, 0};
  }
  Kept.m_Tokens -= 1;
  return {true, std::exchange(Kept.m_LeftOut, 0)};
}

} // namespace dandelionfall::app
