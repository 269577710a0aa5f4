#include "app/log_limiter.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::app {

LogLimiter::Decision LogLimiter::decide(core::EventId Kind, TimePoint Now) {
  const auto [Found, Added] = m_Buckets.try_emplace(Kind);
  Bucket &KindBucket = Found->second;
  if (!Added) {
    const std::chrono::duration<double> Elapsed = Now - KindBucket.m_FilledAt;
    KindBucket.m_Tokens = std::min(
        BurstLines, KindBucket.m_Tokens + Elapsed.count() * LinesPerSecond);
  }
  KindBucket.m_FilledAt = Now;
  if (KindBucket.m_Tokens < 1) {
    ++KindBucket.m_Suppressed;
    return {false, 0};
  }
  KindBucket.m_Tokens -= 1;
  return {true, std::exchange(KindBucket.m_Suppressed, 0)};
}

} // namespace dandelionfall::app
