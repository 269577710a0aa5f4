/// \file
/// Parts of the request tests' world.
#ifndef DANDELIONFALL_TESTS_CONTRACT_REQUESTS_WORLD_PARTS_H
#define DANDELIONFALL_TESTS_CONTRACT_REQUESTS_WORLD_PARTS_H

#include "contract/requests_world.h"

#include <unordered_map>

namespace dandelionfall::core {

/// Body of the answer that a target gives to a request.
inline std::string answerTo(const std::string &Body) { return "whole " + Body; }

/// A process that may be frozen.
struct RequestsWorld::Process {
  std::function<void()> m_Perform;
  std::function<void(TimePoint)> m_Tick;
  std::function<std::optional<TimePoint>()> m_NextWakeUp;
  bool m_Alive = true;
  TimePoint m_FrozenUntil;
  std::vector<std::function<void()>> m_Inbox;
  /// Raised by each start, so that inputs of an earlier one are dropped.
  unsigned m_Generation = 0;
};

struct RequestsWorld::Running {
  std::string m_Body;
  std::uint64_t m_Number = 0;
};

struct RequestsWorld::GateProcess : Process {
  std::size_t m_Index = 0;
  std::unique_ptr<Gate> m_Gate;
  std::unordered_map<RequestId, Running> m_Running;
  TimePoint m_CutOffUntil;
  TimePoint m_TargetDownUntil;
};

struct RequestsWorld::Link {
  std::size_t m_Gate = 0;
  unsigned m_Generation = 0;
  bool m_OpenAtIngress = true;
  bool m_OpenAtGate = true;
  bool m_Silent[2] = {false, false};
  TimePoint m_HeldUntil[2];
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_TESTS_CONTRACT_REQUESTS_WORLD_PARTS_H
