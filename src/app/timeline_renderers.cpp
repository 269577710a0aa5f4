#include "app/severity_name.h"
#include "app/timeline_svg.h"
#include "dandelionfall/app/timeline.h"
#include "dandelionfall/core/error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <map>
#include <sstream>

namespace dandelionfall::app {

namespace {

using Json = nlohmann::json;

/// Writes one aligned line per event.
class TextRenderer final : public TimelineRenderer {
public:
  std::string_view name() const override { return "text"; }

  std::string render(const std::vector<RecordedEvent> &Events) const override {
    std::size_t HostWidth = 0;
    for (const RecordedEvent &Entry : Events)
      HostWidth = std::max(HostWidth, Entry.m_Host.size());
    std::ostringstream Stream;
    Stream << std::left;
    for (const RecordedEvent &Entry : Events)
      writeLine(Stream, Entry, static_cast<int>(HostWidth));
    return Stream.str();
  }

private:
  static void writeLine(std::ostringstream &Stream, const RecordedEvent &Entry,
                        int HostWidth) {
    constexpr int TimeWidth = 8;
    constexpr int SeverityWidth = 7;
    constexpr int NameWidth = 23;
    const core::EventInfo &Info = core::describe(Entry.m_Event.m_Id);
    Stream << std::setw(TimeWidth) << Entry.m_LogicalTime << " "
           << std::setw(HostWidth) << Entry.m_Host << " "
           << std::setw(SeverityWidth) << severityName(Info.m_Severity) << " "
           << static_cast<std::uint16_t>(Info.m_Id) << " "
           << std::setw(NameWidth) << Info.m_Name << " "
           << printable(Entry.m_Event.m_Detail) << "\n";
  }

  // Details can contain external bytes; control characters must not reach a
  // terminal.
  static std::string printable(std::string Text) {
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7f;
    for (char &Character : Text) {
      const auto Byte = static_cast<unsigned char>(Character);
      if (Byte < FirstPrintable || Byte == Delete)
        Character = '?';
    }
    return Text;
  }
};

/// Writes the format that `eventsFromJson` parses.
class JsonRenderer final : public TimelineRenderer {
public:
  std::string_view name() const override { return "json"; }

  std::string render(const std::vector<RecordedEvent> &Events) const override {
    return eventsToJson(Events) + "\n";
  }
};

/// Writes trace-event JSON: one process per host, logical times as
/// microseconds.
class TraceRenderer final : public TimelineRenderer {
public:
  std::string_view name() const override { return "trace"; }

  std::string render(const std::vector<RecordedEvent> &Events) const override {
    std::map<std::string, int> ProcessNumbers;
    Json Rows = Json::array();
    for (const RecordedEvent &Entry : Events) {
      const auto [Process, IsNew] = ProcessNumbers.emplace(
          Entry.m_Host, static_cast<int>(ProcessNumbers.size()) + 1);
      if (IsNew)
        Rows.push_back({{"ph", "M"},
                        {"name", "process_name"},
                        {"pid", Process->second},
                        {"args", {{"name", Entry.m_Host}}}});
      Rows.push_back(makeRow(Entry, Process->second));
    }
    const Json Document = {{"traceEvents", Rows}};
    return Document.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  }

private:
  static Json makeRow(const RecordedEvent &Entry, int Process) {
    const core::EventInfo &Info = core::describe(Entry.m_Event.m_Id);
    return {{"ph", "i"},
            {"s", "p"},
            {"name", std::string(Info.m_Name)},
            {"cat", std::string(severityName(Info.m_Severity))},
            {"ts", Entry.m_LogicalTime},
            {"pid", Process},
            {"tid", 0},
            {"args",
             {{"detail", Entry.m_Event.m_Detail},
              {"event", static_cast<std::uint16_t>(Info.m_Id)},
              {"sequence", Entry.m_Sequence},
              {"wall_ms", Entry.m_WallMs}}}};
  }
};

/// Draws one line per host.
class SvgRenderer final : public TimelineRenderer {
public:
  std::string_view name() const override { return "svg"; }

  std::string render(const std::vector<RecordedEvent> &Events) const override {
    return drawTimeline(Events);
  }
};

const TextRenderer Text;
const JsonRenderer JsonText;
const TraceRenderer Trace;
const SvgRenderer Svg;
constexpr std::array<const TimelineRenderer *, 4> Renderers = {&Text, &JsonText,
                                                               &Trace, &Svg};

} // namespace

std::span<const TimelineRenderer *const> timelineRenderers() {
  return Renderers;
}

const TimelineRenderer &findTimelineRenderer(std::string_view Name) {
  std::string Known;
  for (const TimelineRenderer *Each : Renderers) {
    if (Each->name() == Name)
      return *Each;
    Known.append(Known.empty() ? "" : ", ").append(Each->name());
  }
  throw core::Error(core::ErrorKind::Usage,
                    "unknown format '" + std::string(Name) + "'",
                    "use one of: " + Known);
}

} // namespace dandelionfall::app
