/// \file
/// How many requests at once the target answers most of.
#ifndef DANDELIONFALL_CORE_GATE_CROWDING_H
#define DANDELIONFALL_CORE_GATE_CROWDING_H

#include "dandelionfall/core/time.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace dandelionfall::core::gate {

/// Learns whether the target slows down so much when nearly all of its slots
/// are taken that it answers more with some left free. Service times at each
/// number of requests in flight are compared with those of the same kind while
/// the target has room; the limit falls to the number with the highest
/// throughput, and is lifted from time to time to measure again.
class Crowding {
public:
  /// Sets the target's slots; another number forgets what was learned.
  void configure(std::uint32_t Slots);
  /// Forgets what was learned, as for another target.
  void forget();
  /// Takes the service time of a whole answer.
  /// \param Kind the kind of the request.
  /// \param InFlight requests at the target when it started, itself included.
  /// \returns whether the limit has changed.
  bool addSample(const std::string &Kind, Duration Sample,
                 std::uint32_t InFlight, TimePoint Now);
  /// \returns the requests that the target is to run at once, at most its
  /// slots.
  std::uint32_t limit() const { return m_Limit; }
  std::uint32_t slots() const { return m_Slots; }
  /// \returns how many times longer a request takes with all slots taken; 0 if
  /// not known.
  double fullSlowdown() const;

  /// Share of the slots up to which a target counts as having room.
  static constexpr double RoomShare = 0.7;
  /// Samples that a mean needs before it decides anything.
  static constexpr std::uint32_t LeastSamples = 12;
  /// Weight of the newest sample in a mean, as a divisor.
  static constexpr std::uint32_t Memory = 16;
  /// Throughput that a lower limit must promise, in terms of that with all
  /// slots taken.
  static constexpr double LeastGain = 1.15;
  /// Time from lowering the limit until it is first lifted to measure again;
  /// doubles each time that the measurement confirms it.
  static constexpr Duration FirstRetrial = std::chrono::seconds(4);
  static constexpr Duration LongestRetrial = std::chrono::seconds(64);

private:
  struct Mean {
    double m_Value = 0;
    std::uint32_t m_Samples = 0;

    void add(double Sample);
    bool isKnown() const { return m_Samples >= LeastSamples; }
  };

  /// Kinds that are told apart; bounds the memory of a target with many routes.
  static constexpr std::size_t MaxKinds = 512;

  std::uint32_t roomySlots() const;
  std::uint32_t bestLimit() const;
  bool setLimit(std::uint32_t Limit, TimePoint Now);
  bool lift(TimePoint Now);

  std::uint32_t m_Slots = 1;
  std::uint32_t m_Limit = 1;
  /// Service time in microseconds of each kind while the target has room.
  std::unordered_map<std::string, Mean> m_Roomy;
  /// Slowdown by requests in flight.
  std::vector<Mean> m_Slowdown;
  Duration m_Retrial = FirstRetrial;
  TimePoint m_LiftAt;
};

} // namespace dandelionfall::core::gate

#endif // DANDELIONFALL_CORE_GATE_CROWDING_H
