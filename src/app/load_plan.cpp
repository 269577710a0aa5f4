#include "dandelionfall/app/load_plan.h"

#include "dandelionfall/core/error.h"

#include <array>
#include <string>
#include <vector>

namespace dandelionfall::app {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

constexpr std::array ThessalonikiCalls = {
    LoadCall{"GET", "/slotboard/now", 40, false},
    LoadCall{"GET", "/lanewatch/ice", 35, false},
    LoadCall{"GET", "/chartroom/sheet", 15, false},
    LoadCall{"POST", "/escortdesk/booking", 10, true},
};

constexpr std::array KeralaCalls = {
    LoadCall{"GET", "/limitdesk/bridge", 45, false},
    LoadCall{"GET", "/loadbook/history", 25, false},
    LoadCall{"GET", "/inspectra/axle", 15, false},
    LoadCall{"POST", "/permitworks/application", 15, true},
};

constexpr std::array Presets = {
    LoadPreset{"thessaloniki", ThessalonikiCalls},
    LoadPreset{"kerala", KeralaCalls},
};

std::vector<double> listWeights(std::span<const LoadCall> Calls) {
  std::vector<double> Weights;
  Weights.reserve(Calls.size());
  for (const LoadCall &Call : Calls)
    Weights.push_back(Call.m_Weight);
  return Weights;
}

[[noreturn]] void throwUnknownName(const char *What, std::string_view Name,
                                   const std::string &Known) {
  throw core::Error(core::ErrorKind::Usage,
                    std::string("unknown ") + What + " '" + std::string(Name) +
                        "'",
                    "use one of: " + Known);
}

} // namespace

std::span<const LoadPreset> loadPresets() { return Presets; }

const LoadPreset &findLoadPreset(std::string_view Name) {
  std::string Known;
  for (const LoadPreset &Preset : Presets) {
    if (Preset.m_Name == Name)
      return Preset;
    Known.append(Known.empty() ? "" : ", ").append(Preset.m_Name);
  }
  throwUnknownName("preset", Name, Known);
}

Arrivals parseArrivals(std::string_view Name) {
  if (Name == "even")
    return Arrivals::Even;
  if (Name == "exponential")
    return Arrivals::Exponential;
  throwUnknownName("arrivals", Name, "even, exponential");
}

ArrivalSchedule::ArrivalSchedule(Arrivals Kind, double CallsPerSecond,
                                 std::uint64_t Seed)
    : m_Kind(Kind), m_MeanGapUs(MicrosecondsPerSecond / CallsPerSecond),
      m_Random(Seed) {}

core::Duration ArrivalSchedule::next() {
  m_ElapsedUs += m_Kind == Arrivals::Even
                     ? m_MeanGapUs
                     : std::exponential_distribution(1 / m_MeanGapUs)(m_Random);
  return core::Duration(static_cast<core::Duration::rep>(m_ElapsedUs));
}

CallPicker::CallPicker(const LoadPreset &Preset, std::uint64_t Seed)
    : m_Calls(Preset.m_Calls), m_Random(Seed) {
  const std::vector<double> Weights = listWeights(m_Calls);
  m_Weights = {Weights.begin(), Weights.end()};
}

const LoadCall &CallPicker::next() { return m_Calls[m_Weights(m_Random)]; }

} // namespace dandelionfall::app
