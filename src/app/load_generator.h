/// \file
/// Sends calls on an open-loop schedule, which does not wait for responses.
#ifndef DANDELIONFALL_SRC_APP_LOAD_GENERATOR_H
#define DANDELIONFALL_SRC_APP_LOAD_GENERATOR_H

#include "dandelionfall/app/load_plan.h"
#include "dandelionfall/app/load_report.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dandelionfall::app {

/// Parameters of a load run.
struct LoadOptions {
  /// Addresses that accept calls, `IP:PORT`; each call uses one at random.
  std::vector<std::string> m_Addresses;
  const LoadPreset *m_Preset = nullptr;
  Arrivals m_Arrivals = Arrivals::Exponential;
  double m_CallsPerSecond = 0;
  core::Duration m_Duration{0};
  core::Duration m_Deadline{0};
  /// Connections over all addresses, divided evenly; at least one per address.
  std::size_t m_Connections = 1;
  std::uint64_t m_Seed = 0;
};

/// Called once a second during the run with the elapsed seconds, the number of
/// calls sent and the report so far.
using LoadProgress =
    std::function<void(std::uint64_t, std::uint64_t, const LoadReport &)>;

/// Runs a load until its duration has passed and every call has finished.
/// SIGINT or SIGTERM stops the arrivals early.
/// \param Options the parameters of the run.
/// \param Progress called during the run.
/// \returns the results.
/// \throws Error of kind Usage if an address is malformed.
LoadReport runLoad(const LoadOptions &Options, const LoadProgress &Progress);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_LOAD_GENERATOR_H
