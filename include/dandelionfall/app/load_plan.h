/// \file
/// Calls and arrival times of a load run. Both are fixed before the first call
/// and do not depend on the responses.
#ifndef DANDELIONFALL_APP_LOAD_PLAN_H
#define DANDELIONFALL_APP_LOAD_PLAN_H

#include "dandelionfall/core/time.h"

#include <cstdint>
#include <random>
#include <span>
#include <string_view>

namespace dandelionfall::app {

/// One kind of call in a mix.
struct LoadCall {
  std::string_view m_Method;
  std::string_view m_Path;
  /// Share of the mix's calls, relative to the other weights.
  double m_Weight;
  /// Whether each call carries a unique booking number.
  bool m_HasBooking;
};

/// A named mix of calls.
struct LoadPreset {
  std::string_view m_Name;
  std::span<const LoadCall> m_Calls;
};

/// Lists the presets, one for each example deployment.
/// \returns a table with static storage duration.
std::span<const LoadPreset> loadPresets();

/// Finds a preset by name.
/// \param Name its name.
/// \returns the preset.
/// \throws Error of kind Usage if no preset has that name.
const LoadPreset &findLoadPreset(std::string_view Name);

/// Distribution of the gaps between arrivals.
enum class Arrivals : std::uint8_t {
  Even,        ///< All gaps are equal.
  Exponential, ///< A Poisson process.
};

/// Parses the name of an arrival distribution.
/// \param Name `even` or `exponential`.
/// \returns the distribution.
/// \throws Error of kind Usage for any other name.
Arrivals parseArrivals(std::string_view Name);

/// Times at which calls are due, measured from the start of the run.
class ArrivalSchedule {
public:
  /// \param Kind distribution of the gaps.
  /// \param CallsPerSecond mean rate; must be above 0.
  /// \param Seed equal seeds give equal schedules.
  ArrivalSchedule(Arrivals Kind, double CallsPerSecond, std::uint64_t Seed);
  /// \returns the next due time; the times never decrease.
  core::Duration next();

private:
  Arrivals m_Kind;
  double m_MeanGapUs;
  double m_ElapsedUs = 0;
  std::mt19937_64 m_Random;
};

/// Draws calls of a preset at random, according to their weights.
class CallPicker {
public:
  /// \param Preset the mix.
  /// \param Seed equal seeds give equal calls.
  CallPicker(const LoadPreset &Preset, std::uint64_t Seed);
  /// \returns the next call.
  const LoadCall &next();

private:
  std::span<const LoadCall> m_Calls;
  std::discrete_distribution<std::size_t> m_Weights;
  std::mt19937_64 m_Random;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_LOAD_PLAN_H
