/// \file
/// This node's share of the calls that the platform's configuration service can
/// handle.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_SOURCE_BUDGET_H
#define DANDELIONFALL_CORE_DISTRIBUTION_SOURCE_BUDGET_H

#include "dandelionfall/core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace dandelionfall::core {

/// Token bucket that keeps the calls of all nodes together within the budget in
/// every second.
///
/// Tokens are earned on a grid of `hosts / (share * budget)` seconds with a
/// random phase and expire shortly after, so that a fleet in which all nodes
/// call at once cannot spend accumulated tokens. Only elected readers, of which
/// there are few, hold a few expired tokens in reserve. A waiting watch uses
/// one token per second.
class SourceBudget {
public:
  /// Fraction of the budget that is allocated; the rest covers a host list that
  /// is wrong by a tenth, the readers' reserve and random clusters of phases.
  static constexpr double AllocatedShare = 0.7;
  /// Fraction of the budget that all readers together can hold in reserve.
  static constexpr double ReserveShare = 0.05;
  /// Lifetime of a token, long enough for a late wake-up to use it.
  static constexpr Duration TokenLifetime = std::chrono::milliseconds(50);

  /// Creates an empty bucket.
  /// \param Budget calls per second of all nodes together.
  /// \param Hosts number of nodes that share the budget.
  /// \param Phase position of the first token within the first period, from 0
  /// to 1.
  /// \param Now the current time.
  SourceBudget(double Budget, std::size_t Hosts, double Phase, TimePoint Now);

  /// Sets the number of nodes; the wait for the next token is scaled with it.
  void setHosts(std::size_t Hosts, TimePoint Now);
  /// Sets the limit of the reserve of expired tokens.
  /// \param Readers number of readers that share the reserve; 0 for no reserve.
  void setReaders(std::size_t Readers);
  /// Sets whether a watch is waiting.
  void setWatching(bool Watching, TimePoint Now);

  /// Consumes one token.
  /// \returns false if there is none.
  bool tryConsume(TimePoint Now);
  /// \returns the number of available tokens, including the reserve.
  std::size_t available(TimePoint Now);
  /// \returns the largest number of expired tokens held in reserve.
  std::size_t reserveLimit() const { return m_ReserveLimit; }
  /// \returns when the next token is earned.
  TimePoint nextToken() const { return m_Next; }
  /// \returns the tokens earned per second while no watch is waiting.
  double rate() const;
  /// \returns whether the rate is high enough for a permanently waiting watch.
  bool supportsWatch() const;

private:
  Duration period() const;
  void advance(TimePoint Now);
  void rescale(Duration OldPeriod, TimePoint Now);

  double m_Budget;
  std::size_t m_Hosts;
  bool m_Watching = false;
  std::size_t m_ReserveLimit = 0;
  std::size_t m_Reserve = 0;
  TimePoint m_Next;
  std::deque<TimePoint> m_Earned;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_SOURCE_BUDGET_H
