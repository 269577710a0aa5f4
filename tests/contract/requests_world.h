/// \file
/// One ingress, several gates and their targets in the emulator's virtual time,
/// with checks of the guarantees given to callers.
#ifndef DANDELIONFALL_TESTS_CONTRACT_REQUESTS_WORLD_H
#define DANDELIONFALL_TESTS_CONTRACT_REQUESTS_WORLD_H

#include "emulator/world.h"

#include <cstdint>
#include <functional>
#include <string>

namespace dandelionfall::core {

using namespace std::chrono_literals;
using emulator::Direction;

/// An emulated deployment and its faults. Gates are numbered from 0.
class RequestsWorld {
public:
  /// \param GateCount number of gates and targets; all but the last are in the
  /// ingress's availability zone.
  /// \param Seed seed of the ingress's random choices.
  explicit RequestsWorld(std::size_t GateCount = 3, std::uint64_t Seed = 1);

  /// Schedules an action at a time after the start.
  void at(Duration After, std::function<void()> Action);
  /// Schedules a call at a time after the start; each call has a unique body.
  void callAt(Duration After, const std::string &Method, Duration ServiceTime);
  /// Runs until a time after the start.
  void runUntil(Duration After) { m_World.time().runUntil(After); }

  // Faults; each takes effect at the current time.
  void killGate(std::size_t Gate) { m_World.kill(nodeOf(Gate)); }
  void restartGate(std::size_t Gate) { m_World.restart(nodeOf(Gate)); }
  void freezeGate(std::size_t Gate, Duration Time) {
    m_World.freeze(nodeOf(Gate), Time);
  }
  void freezeIngress(Duration Time) { m_World.freeze(IngressNode, Time); }
  void silenceLinks(std::size_t Gate, Direction Dir) {
    m_World.silenceLinks(nodeOf(Gate), Dir);
  }
  void delayLinks(std::size_t Gate, Direction Dir, Duration Time) {
    m_World.delayLinks(nodeOf(Gate), Dir, Time);
  }
  void breakLinks(std::size_t Gate) { m_World.breakLinks(nodeOf(Gate)); }
  void isolateGate(std::size_t Gate, Duration Time) {
    m_World.isolateGate(nodeOf(Gate), Time);
  }
  void resetTarget(std::size_t Gate) { m_World.resetTarget(nodeOf(Gate)); }
  void refuseAtTarget(std::size_t Gate, Duration Time) {
    m_World.refuseAtTarget(nodeOf(Gate), Time);
  }
  /// Publishes a new state of the ingress's availability zone.
  void publishZone(ZoneState State);
  void drainGate(std::size_t Gate) { m_World.drain(nodeOf(Gate)); }

  /// Runs to the end.
  /// \returns the guarantees that were violated, as text; empty if none.
  std::string findViolations();

  /// \returns the number of calls of a method that ended with an outcome.
  std::size_t count(const std::string &Method, CallOutcome Outcome) const;

  /// Sets whether resumed processes handle their timers before their messages.
  void setTimersFirst(bool First) { m_World.m_TimersFirst = First; }

private:
  static constexpr emulator::NodeId IngressNode = 0;
  static emulator::NodeId nodeOf(std::size_t Gate) { return 1 + Gate; }

  ConfigurationPtr configuration() const;
  std::string violationOf(CallId Id, const emulator::CallRecord &Call) const;

  emulator::World m_World;
  std::size_t m_GateCount;
  Version m_Version = 1;
  ZoneState m_ZoneState = ZoneState::In;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_TESTS_CONTRACT_REQUESTS_WORLD_H
