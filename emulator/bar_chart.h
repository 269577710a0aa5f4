/// \file
/// Bars as an SVG picture.
#ifndef DANDELIONFALL_EMULATOR_BAR_CHART_H
#define DANDELIONFALL_EMULATOR_BAR_CHART_H

#include <string>
#include <vector>

namespace dandelionfall::emulator {

/// Bars that belong together.
struct BarGroup {
  std::string m_Name;
  /// One for each series, from 0 to 1.
  std::vector<double> m_Values;
};

/// Draws groups of bars.
/// \param Series names of the bars of each group.
/// \returns the SVG document.
std::string drawBarChart(const std::string &Title,
                         const std::vector<std::string> &Series,
                         const std::vector<BarGroup> &Groups);

} // namespace dandelionfall::emulator

#endif // DANDELIONFALL_EMULATOR_BAR_CHART_H
