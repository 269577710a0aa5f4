/// \file
/// State shared by the control thread and the traffic thread: written by one
/// and read by the other.
#ifndef DANDELIONFALL_SRC_APP_NODE_BLACKBOARD_H
#define DANDELIONFALL_SRC_APP_NODE_BLACKBOARD_H

#include "dandelionfall/app/event_recorder.h"
#include "dandelionfall/app/metrics.h"
#include "dandelionfall/app/settings.h"
#include "dandelionfall/core/byte_budget.h"
#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/freshness.h"
#include "dandelionfall/core/host_list.h"
#include "dandelionfall/core/http_dialect.h"
#include "dandelionfall/core/identity.h"

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace dandelionfall::app {

/// Configuration version of another node, as seen in its traffic messages, and
/// the address of that node.
struct PeerVersion {
  core::Version m_Version = 0;
  std::string m_Address;
};

/// Load of the node, as last published by the traffic thread.
struct TrafficLoad {
  std::atomic<std::uint32_t> m_InFlight{0};
  std::atomic<std::uint32_t> m_Queued{0};
  std::atomic<std::uint32_t> m_Limit{0};
  std::atomic<std::uint64_t> m_OpenCalls{0};
};

/// Size of the largest body of a response.
inline constexpr std::uint64_t MaxResponseBytes = 8U << 20U;

/// \returns the HTTP field names that callers and targets use on the platform
/// of the given source protocol.
const core::HttpDialect &dialectOf(SourceProtocol Protocol);

/// \returns whether events for the single steps of each request are recorded:
/// if request tracing is on or the log level is `debug`.
bool areStepEventsEnabled(const Settings &Config);

/// Shared state of one node. Each group of members states the thread that
/// writes it; all threads can read it.
struct Blackboard {
  Blackboard(const Settings &Config, core::Incarnation Start)
      : m_Settings(Config), m_Dialect(dialectOf(Config.m_SourceProtocol)),
        m_Incarnation(Start), m_CallerBodies(core::ByteBudget::create(
                                  core::callerBodyLimits(Config.m_Machine))),
        m_GateBodies(
            core::ByteBudget::create(core::gateBodyLimits(Config.m_Machine))),
        m_TargetResponses(std::make_shared<const core::ResponseMemory>(
            core::targetResponseMemory(Config.m_Machine, MaxResponseBytes))),
        m_CallerResponses(std::make_shared<const core::ResponseMemory>(
            core::callerResponseMemory(Config.m_Machine, MaxResponseBytes))),
        m_Events(Config.m_Host, m_Clock, Config.m_TraceRequests),
        m_StepEvents(areStepEventsEnabled(Config)) {}

  const Settings m_Settings;
  /// HTTP field names used by callers and targets.
  const core::HttpDialect &m_Dialect;
  const core::Incarnation m_Incarnation;
  /// Bodies from callers, and from other nodes for the target; used by the
  /// traffic thread.
  const std::shared_ptr<core::ByteBudget> m_CallerBodies;
  const std::shared_ptr<core::ByteBudget> m_GateBodies;
  /// Bodies from the target, and on their way to callers; used by the traffic
  /// thread.
  const std::shared_ptr<const core::ResponseMemory> m_TargetResponses;
  const std::shared_ptr<const core::ResponseMemory> m_CallerResponses;
  /// Safe for concurrent use by several threads.
  LogicalClock m_Clock;
  EventRecorder m_Events;
  Metrics m_Metrics;
  /// Written by the control thread.
  std::atomic<core::ConfigurationPtr> m_Configuration;
  std::atomic<core::HostListPtr> m_Hosts;
  /// Latest proof that a configuration was the newest; written after that
  /// configuration.
  std::atomic<std::shared_ptr<const core::FreshnessProof>> m_Proof;
  std::atomic<bool> m_Ready{false};
  std::atomic<bool> m_Draining{false};
  std::atomic<bool> m_StepEvents;
  /// Written by the traffic thread.
  TrafficLoad m_Load;
  /// Queue from the traffic thread to the control thread.
  tbb::concurrent_queue<PeerVersion> m_PeerVersions;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_BLACKBOARD_H
