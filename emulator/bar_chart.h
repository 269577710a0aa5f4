/// \file
/// Bar charts in SVG.
#ifndef DANDELIONFALL_EMULATOR_BAR_CHART_H
#define DANDELIONFALL_EMULATOR_BAR_CHART_H

#include <string>
#include <vector>

namespace dandelionfall::emulator {

/// A group of bars with a common label.
struct BarGroup {
  std::string m_Name;
  /// One value per series, from 0 to 1.
  std::vector<double> m_Values;
};

/// Draws a horizontal bar chart.
/// \param Series names of the series; each group has one bar per series.
/// \returns the SVG document.
std::string drawBarChart(const std::string &Title,
                         const std::vector<std::string> &Series,
                         const std::vector<BarGroup> &Groups);

} // namespace dandelionfall::emulator

#endif // DANDELIONFALL_EMULATOR_BAR_CHART_H
