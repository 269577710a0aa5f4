#include "core/gate/stated_rate.h"

#include "core/gate/limits.h"

#include <algorithm>

namespace dandelionfall::core::gate {

namespace {

/// Rates above this are no limit for a single target.
constexpr double MaxRate = 100'000;

} // namespace

bool StatedRate::onResponse(std::optional<double> PerSecond, TimePoint Sent,
                            TimePoint Now) {
  m_HasResponded = true;
  if (PerSecond)
    m_StatedAt = Now;
  else if (!m_PerSecond || Sent < m_StatedAt)
    return false;
  const std::optional<double> Before = m_PerSecond;
  set(PerSecond);
  return m_PerSecond != Before;
}

bool StatedRate::adopt(double PerSecond, TimePoint Now) {
  if (m_HasResponded || m_PerSecond)
    return false;
  m_StatedAt = Now;
  set(PerSecond);
  return m_PerSecond.has_value();
}

void StatedRate::set(std::optional<double> PerSecond) {
  if (PerSecond && *PerSecond > MaxRate)
    PerSecond.reset();
  m_PerSecond = PerSecond;
  if (!PerSecond) {
    m_Starts.clear();
    return;
  }
  m_Window.m_Starts = static_cast<std::size_t>(std::max(1.0, *PerSecond));
  m_Window.m_Length =
      interval() * static_cast<Duration::rep>(m_Window.m_Starts);
}

// A target with a rate near zero still gets a request now and then, because
// only a response can withdraw the limit.
Duration StatedRate::interval() const {
  const std::chrono::duration<double> Longest = MaxStatedInterval;
  const double Seconds =
      *m_PerSecond * Longest.count() <= 1 ? Longest.count() : 1 / *m_PerSecond;
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(Seconds));
}

void StatedRate::recordStart(TimePoint Now) {
  if (!m_PerSecond)
    return;
  while (m_Starts.size() >= m_Window.m_Starts)
    m_Starts.pop_front();
  m_Starts.push_back(Now);
}

TimePoint StatedRate::earliestStart(TimePoint Now) const {
  return m_PerSecond ? nextStarts(1, Now).front() : Now;
}

std::vector<TimePoint> StatedRate::nextStarts(std::size_t Count,
                                              TimePoint Now) const {
  if (!m_PerSecond)
    return {};
  return gate::nextStarts(m_Window, m_Starts, Count, Now);
}

Duration StatedRate::wait(std::size_t Ahead, TimePoint Now) const {
  if (!m_PerSecond)
    return Duration{0};
  return earliestStart(Now) - Now +
         interval() * static_cast<Duration::rep>(Ahead);
}

} // namespace dandelionfall::core::gate
