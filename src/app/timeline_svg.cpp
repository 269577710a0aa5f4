#include "app/timeline_svg.h"

#include "app/severity_name.h"

#include <map>
#include <sstream>

namespace dandelionfall::app {

namespace {

constexpr int LabelWidthPx = 160;
constexpr int StepPx = 14;
constexpr int LanePx = 28;
constexpr int DotRadiusPx = 5;

std::string escapeXml(const std::string &Text) {
  constexpr unsigned char FirstPrintable = 0x20;
  const std::map<char, std::string> Entities = {
      {'&', "&amp;"}, {'<', "&lt;"}, {'>', "&gt;"}, {'"', "&quot;"}};
  std::string Escaped;
  for (const char Character : Text) {
    const auto Entity = Entities.find(Character);
    if (Entity != Entities.end())
      Escaped += Entity->second;
    else if (static_cast<unsigned char>(Character) < FirstPrintable)
      Escaped += ' ';
    else
      Escaped += Character;
  }
  return Escaped;
}

std::string_view severityColour(core::Severity Value) {
  constexpr std::string_view Colours[] = {"#9e9e9e", "#1f77b4", "#ff9900",
                                          "#d62728"};
  return Colours[static_cast<std::size_t>(Value)];
}

int laneY(int Lane) { return LanePx * (Lane + 1); }

/// Assigns lanes from top to bottom in order of host names.
std::map<std::string, int>
assignLanes(const std::vector<RecordedEvent> &Events) {
  std::map<std::string, int> Lanes;
  for (const RecordedEvent &Entry : Events)
    Lanes.emplace(Entry.m_Host, 0);
  int Next = 0;
  for (auto &[Host, Lane] : Lanes)
    Lane = Next++;
  return Lanes;
}

void drawLane(std::ostringstream &Stream, const std::string &Host, int Lane,
              int Width) {
  const int Y = laneY(Lane);
  Stream << "<text x=\"4\" y=\"" << Y + DotRadiusPx << "\">" << escapeXml(Host)
         << "</text>\n<line x1=\"" << LabelWidthPx << "\" y1=\"" << Y
         << "\" x2=\"" << Width << "\" y2=\"" << Y
         << "\" stroke=\"#cccccc\"/>\n";
}

void drawEvent(std::ostringstream &Stream, const RecordedEvent &Entry,
               int Column, int Lane) {
  const core::EventInfo &Info = core::describe(Entry.m_Event.m_Id);
  Stream << "<circle cx=\"" << LabelWidthPx + StepPx * (Column + 1)
         << "\" cy=\"" << laneY(Lane) << "\" r=\"" << DotRadiusPx
         << "\" fill=\"" << severityColour(Info.m_Severity) << "\"><title>"
         << Entry.m_LogicalTime << " " << escapeXml(Entry.m_Host) << " "
         << static_cast<std::uint16_t>(Info.m_Id) << " " << Info.m_Name << " "
         << escapeXml(Entry.m_Event.m_Detail) << "</title></circle>\n";
}

} // namespace

std::string drawTimeline(const std::vector<RecordedEvent> &Events) {
  const std::map<std::string, int> Lanes = assignLanes(Events);
  const int Width =
      LabelWidthPx + StepPx * (static_cast<int>(Events.size()) + 2);
  const int Height = LanePx * (static_cast<int>(Lanes.size()) + 1);
  std::ostringstream Stream;
  Stream << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width
         << "\" height=\"" << Height
         << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
  for (const auto &[Host, Lane] : Lanes)
    drawLane(Stream, Host, Lane, Width);
  int Column = 0;
  for (const RecordedEvent &Entry : Events)
    drawEvent(Stream, Entry, Column++, Lanes.at(Entry.m_Host));
  Stream << "</svg>\n";
  return Stream.str();
}

} // namespace dandelionfall::app
