/// \file
/// What an emulated target does with the requests it is given.
#ifndef DANDELIONFALL_EMULATOR_TARGET_MODEL_H
#define DANDELIONFALL_EMULATOR_TARGET_MODEL_H

#include "emulator/virtual_time.h"

#include <cstdint>
#include <random>

namespace dandelionfall::emulator {

/// Properties of a target, and faults that may come and go. Shares are from 0
/// to 1.
struct TargetBehaviour {
  /// Requests that it runs at full speed; 0 for any number.
  std::uint32_t m_Slots = 0;
  /// Factor by which it is slower than the work of its requests.
  double m_SlowdownFactor = 1;
  /// Share of the requests that it answers with a failure of its own.
  double m_FailureShare = 0;
  /// Share of the requests that it runs and answers with bytes that are no
  /// answer.
  double m_GarbleShare = 0;
  /// Share of the requests that it runs without ever answering.
  double m_SilentShare = 0;
  /// Time after a cold start until it runs all of its slots at full speed.
  Duration m_WarmUp{0};
  friend bool operator==(const TargetBehaviour &,
                         const TargetBehaviour &) = default;
};

/// How the run of a request ends.
enum class TargetResult : std::uint8_t {
  Answer,     ///< The whole answer.
  Failure,    ///< A failure of the target's own.
  Garbled,    ///< Bytes that are no answer.
  NoResponse, ///< Nothing.
  Collapse,   ///< The target has ended, with all that it ran.
};

/// What becomes of a request.
struct TargetRun {
  TargetResult m_Result = TargetResult::Answer;
  Duration m_Duration{0};
};

/// A target that slows down beyond its slots, and collapses at twice of what it
/// bears; a cold one bears little at first.
class TargetModel {
public:
  explicit TargetModel(TargetBehaviour Behaviour = {})
      : m_Behaviour(Behaviour) {}

  const TargetBehaviour &behaviour() const { return m_Behaviour; }
  /// Changes its properties; what runs goes on as before.
  void setBehaviour(const TargetBehaviour &Behaviour) {
    m_Behaviour = Behaviour;
  }
  /// Begins a cold start; what ran is gone.
  void restart(TimePoint Now);
  /// Takes no connection for a time.
  void refuseUntil(TimePoint Until) { m_DownUntil = Until; }
  /// \returns whether connections are taken.
  bool acceptsConnections(TimePoint Now) const { return Now >= m_DownUntil; }
  /// \returns the requests that it runs at full speed; 0 for any number.
  std::uint32_t fullSpeedSlots(TimePoint Now) const;
  /// Takes a request.
  /// \param Work the time that it takes on an unloaded target.
  /// \param Random where the shares are drawn from.
  TargetRun startRequest(Duration ServiceTime, TimePoint Now,
                         std::mt19937_64 &Random);
  /// Ends a request.
  void finishRequest() { --m_InFlight; }
  /// \returns the requests that it runs.
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
