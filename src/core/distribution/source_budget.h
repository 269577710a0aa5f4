/// \file
/// This node's share of the calls that the platform's configuration service
/// bears.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_SOURCE_BUDGET_H
#define DANDELIONFALL_CORE_DISTRIBUTION_SOURCE_BUDGET_H

#include "dandelionfall/core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace dandelionfall::core {

/// Token bucket whose sum over all nodes stays under the budget in every
/// second.
///
/// Tokens are earned on a grid of `hosts / (share * budget)` seconds with a
/// random phase and lapse shortly after, so that a fleet that wants to call all
/// at once can't spend what it saved up. Only elected readers, whose number is
/// small, keep a few lapsed tokens in reserve. A waiting watch uses up one
/// token a second.
class SourceBudget {
public:
  /// Part of the budget that is given out; the rest covers a list that is
  /// wrong by a tenth, the readers' reserve and random clusters of phases.
  static constexpr double AllocatedShare = 0.7;
  /// Part of the budget that all readers together may hold in reserve.
  static constexpr double ReserveShare = 0.05;
  /// Time a token can be used, in which a late wake-up still finds it.
  static constexpr Duration TokenLifetime = std::chrono::milliseconds(50);

  /// \param Budget calls a second of all nodes together.
  /// \param Hosts number of nodes that share it.
  /// \param Phase position of the first token within the first period, from 0
  /// to 1.
  /// \param Now the time; the bucket starts empty.
  SourceBudget(double Budget, std::size_t Hosts, double Phase, TimePoint Now);

  /// Changes the number of nodes; the wait for the next token scales with it.
  void setHosts(std::size_t Hosts, TimePoint Now);
  /// Sets how many lapsed tokens are kept.
  /// \param Readers readers that share the reserve; 0 keeps none.
  void setReaders(std::size_t Readers);
  /// Notes whether a watch is waiting.
  void setWatching(bool Watching, TimePoint Now);

  /// Uses one token.
  /// \returns false if there is none.
  bool tryConsume(TimePoint Now);
  /// \returns the tokens on hand, the reserve included.
  std::size_t available(TimePoint Now);
  /// \returns the lapsed tokens that are kept at most.
  std::size_t reserveLimit() const { return m_ReserveLimit; }
  /// \returns when the next token is earned.
  TimePoint nextToken() const { return m_Next; }
  /// \returns tokens a second when no watch waits.
  double rate() const;
  /// Tells whether the rate pays for a watch that waits all the time.
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
