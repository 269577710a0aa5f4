/// \file
/// What a load run sends, and when: fixed before the first call, whatever the
/// answers are.
#ifndef DANDELIONFALL_APP_LOAD_PLAN_H
#define DANDELIONFALL_APP_LOAD_PLAN_H

#include "dandelionfall/core/time.h"

#include <cstdint>
#include <random>
#include <span>
#include <string_view>

namespace dandelionfall::app {

/// One kind of call of a mix.
struct LoadCall {
  std::string_view m_Method;
  std::string_view m_Path;
  /// Share among the mix's calls, relative to the other weights.
  double m_Weight;
  /// Whether each call carries a booking number of its own.
  bool m_HasBooking;
};

/// A named mix of calls.
struct LoadPreset {
  std::string_view m_Name;
  std::span<const LoadCall> m_Calls;
};

/// Lists the presets, one for each deployment of the examples.
/// \returns a table that lives as long as the program.
std::span<const LoadPreset> loadPresets();

/// Chooses a preset.
/// \param Name its name.
/// \returns the preset.
/// \throws Error of kind Usage if there is none of that name.
const LoadPreset &findLoadPreset(std::string_view Name);

/// How the gaps between arrivals are drawn.
enum class Arrivals : std::uint8_t {
  Even,        ///< All gaps are the same.
  Exponential, ///< A Poisson process.
};

/// Reads the name of a kind of arrivals.
/// \param Name even or exponential.
/// \returns the kind.
/// \throws Error of kind Usage for any other name.
Arrivals parseArrivals(std::string_view Name);

/// Instants at which calls are due, counted from the start of the run.
class ArrivalSchedule {
public:
  /// \param Kind how the gaps are drawn.
  /// \param CallsPerSecond the mean rate; above 0.
  /// \param Seed equal seeds give equal schedules.
  ArrivalSchedule(Arrivals Kind, double CallsPerSecond, std::uint64_t Seed);
  /// \returns the next instant; never less than the one before.
  core::Duration next();

private:
  Arrivals m_Kind;
  double m_MeanGapUs;
  double m_ElapsedUs = 0;
  std::mt19937_64 m_Random;
};

/// Draws calls of a preset by their weights.
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
