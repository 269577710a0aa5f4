/// \file
/// Private types of the emulated deployment.
#ifndef DANDELIONFALL_EMULATOR_WORLD_PARTS_H
#define DANDELIONFALL_EMULATOR_WORLD_PARTS_H

#include "emulator/world.h"

namespace dandelionfall::emulator {

struct World::Running {
  core::CallId m_Call = 0;
  /// Distinguishes two runs of the same request.
  std::uint64_t m_Number = 0;
  RunHandler m_Done;
};

struct World::Node {
  NodeId m_Id = 0;
  NodeOptions m_Options;
  std::unique_ptr<core::Ingress> m_Ingress;
  std::unique_ptr<core::Gate> m_Gate;
  core::ConfigurationPtr m_Config;
  bool m_Alive = true;
  /// Incremented when the process ends, so that inputs for an earlier process
  /// are dropped.
  unsigned m_Generation = 0;
  TimePoint m_FrozenUntil;
  TimePoint m_IsolatedUntil;
  TimePoint m_WakeUp = TimePoint::max();
  std::vector<std::function<void()>> m_Inbox;
  TargetModel m_Target;
  std::unordered_map<core::RequestId, Running> m_Running;
};

struct World::Link {
  NodeId m_Ingress = 0;
  NodeId m_Gate = 0;
  /// Link number used by the ingress.
  core::LinkId m_Number = 0;
  unsigned m_IngressGeneration = 0;
  unsigned m_GateGeneration = 0;
  bool m_OpenAtIngress = true;
  bool m_OpenAtGate = true;
  /// Faults of each direction, indexed by `Direction`.
  bool m_Silent[2] = {false, false};
  TimePoint m_DelayedUntil[2];
};

} // namespace dandelionfall::emulator

#endif // DANDELIONFALL_EMULATOR_WORLD_PARTS_H
