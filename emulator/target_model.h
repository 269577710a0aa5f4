/// \file
/// Model of a target: service times, failures and collapse.
#ifndef DANDELIONFALL_EMULATOR_TARGET_MODEL_H
#define DANDELIONFALL_EMULATOR_TARGET_MODEL_H

#include "emulator/virtual_time.h"

#include <cstdint>
#include <random>

namespace dandelionfall::emulator {

/// Properties and faults of a target. Shares are from 0 to 1.
struct TargetBehaviour {
  /// Requests that run concurrently at full speed; 0 for unlimited.
  std::uint32_t m_Slots = 0;
  /// Factor on the service time of each request.
  double m_SlowdownFactor = 1;
  /// Share of the requests that are answered with a failure of the target.
  double m_FailureShare = 0;
  /// Share of the requests that run and are answered with bytes that are not a
  /// valid response.
  double m_GarbleShare = 0;
  /// Share of the requests that run but are never answered.
  double m_SilentShare = 0;
  /// Time after a cold start until all slots run at full speed.
  Duration m_WarmUp{0};
  friend bool operator==(const TargetBehaviour &,
                         const TargetBehaviour &) = default;
};

/// Result of running a request.
enum class TargetResult : std::uint8_t {
  Answer,     ///< A complete response.
  Failure,    ///< A failure response of the target.
  Garbled,    ///< Bytes that are not a valid response.
  NoResponse, ///< No response at all.
  Collapse,   ///< The target failed, with all requests that it ran.
};

/// Result and duration of a request.
struct TargetRun {
  TargetResult m_Result = TargetResult::Answer;
  Duration m_Duration{0};
};

/// A target that slows down when more requests run than it has slots, and
/// collapses at more than twice that number. After a cold start only a few
/// slots run at full speed at first.
class TargetModel {
public:
  explicit TargetModel(TargetBehaviour Behaviour = {})
      : m_Behaviour(Behaviour) {}

  const TargetBehaviour &behaviour() const { return m_Behaviour; }
  /// Changes its properties; running requests are unaffected.
  void setBehaviour(const TargetBehaviour &Behaviour) {
    m_Behaviour = Behaviour;
  }
  /// Begins a cold start; running requests are lost.
  void restart(TimePoint Now);
  /// Refuses connections until a time.
  void refuseUntil(TimePoint Until) { m_DownUntil = Until; }
  /// \returns whether connections are accepted.
  bool acceptsConnections(TimePoint Now) const { return Now >= m_DownUntil; }
  /// \returns the number of requests that run at full speed; 0 for unlimited.
  std::uint32_t fullSpeedSlots(TimePoint Now) const;
  /// Starts a request.
  /// \param ServiceTime service time on an unloaded target.
  /// \param Random generator for the shares of the faults.
  TargetRun startRequest(Duration ServiceTime, TimePoint Now,
                         std::mt19937_64 &Random);
  /// Ends a request.
  void finishRequest() { --m_InFlight; }
  /// \returns the number of running requests.
  std::uint32_t inFlight() const { return m_InFlight; }

private:
  TargetResult drawResult(std::mt19937_64 &Random) const;

  TargetBehaviour m_Behaviour;
  std::uint32_t m_InFlight = 0;
  bool m_Cold = false;
  TimePoint m_ColdSince;
  TimePoint m_DownUntil;
};

} // namespace dandelionfall::emulator

#endif // DANDELIONFALL_EMULATOR_TARGET_MODEL_H
