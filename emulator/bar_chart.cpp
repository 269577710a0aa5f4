#include "emulator/bar_chart.h"

#include <array>
#include <sstream>
#include <string_view>

namespace dandelionfall::emulator {

namespace {

constexpr int LabelWidthPx = 120;
constexpr int BarWidthPx = 500;
constexpr int BarHeightPx = 9;
constexpr int GroupGapPx = 10;
constexpr int HeaderPx = 50;
constexpr std::array<std::string_view, 6> Colours = {
    "#1f77b4", "#ff9900", "#2ca02c", "#d62728", "#9467bd", "#7f7f7f"};

std::string_view colourOf(std::size_t Index) {
  return Colours.at(Index % Colours.size());
}

void writeText(std::ostringstream &Out, int X, int Y,
               const std::string &Content) {
  Out << "<text x=\"" << X << "\" y=\"" << Y << "\">" << Content << "</text>\n";
}

void writeBar(std::ostringstream &Out, int Y, double Value,
              std::size_t Series) {
  Out << "<rect x=\"" << LabelWidthPx << "\" y=\"" << Y << "\" width=\""
      << Value * BarWidthPx << "\" height=\"" << BarHeightPx - 1 << "\" fill=\""
      << colourOf(Series) << "\"/>\n";
}

} // namespace

std::string drawBarChart(const std::string &Title,
                         const std::vector<std::string> &Series,
                         const std::vector<BarGroup> &Groups) {
  const int GroupPx =
      static_cast<int>(Series.size()) * BarHeightPx + GroupGapPx;
  const int Height = HeaderPx + static_cast<int>(Groups.size()) * GroupPx;
  std::ostringstream Out;
  Out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
      << LabelWidthPx + BarWidthPx + GroupGapPx << "\" height=\"" << Height
      << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  writeText(Out, GroupGapPx, 2 * GroupGapPx, Title);
  for (std::size_t Index = 0; Index < Series.size(); ++Index) {
    constexpr int LegendStepPx = 130;
    const int X = LabelWidthPx + static_cast<int>(Index) * LegendStepPx;
    Out << "<rect x=\"" << X << "\" y=\"28\" width=\"8\" height=\"8\" fill=\""
        << colourOf(Index) << "\"/>\n";
    writeText(Out, X + BarHeightPx + 2, HeaderPx - GroupGapPx - 4,
              Series[Index]);
  }
  int Y = HeaderPx;
  for (const BarGroup &Each : Groups) {
    writeText(Out, GroupGapPx, Y + BarHeightPx, Each.m_Name);
    for (std::size_t Index = 0; Index < Each.m_Values.size(); ++Index)
      writeBar(Out, Y + static_cast<int>(Index) * BarHeightPx,
               Each.m_Values[Index], Index);
    Y += GroupPx;
  }
  Out << "</svg>\n";
  return Out.str();
}

} // namespace dandelionfall::emulator
