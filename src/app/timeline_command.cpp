#include "app/command.h"
#include "app/format_flag.h"
#include "app/operator_client.h"
#include "app/severity_name.h"
#include "dandelionfall/app/timeline.h"
#include "dandelionfall/core/error.h"

#include <algorithm>
#include <iostream>
#include <limits>

ABSL_FLAG(std::string, min_severity, "debug",
          "lowest severity to show: debug, info, warning or error");

namespace dandelionfall::app {

namespace {

constexpr std::string_view Flags[] = {"format", "min_severity"};

core::Severity findSeverity(const std::string &Name) {
  for (const core::Severity Each :
       {core::Severity::Debug, core::Severity::Info, core::Severity::Warning,
        core::Severity::Error}) {
    if (severityName(Each) == Name)
      return Each;
  }
  throw core::Error(core::ErrorKind::Usage, "unknown severity '" + Name + "'",
                    "use one of: debug, info, warning, error");
}

int run(const Operands &Given) {
  const TimelineRenderer &Renderer =
      findTimelineRenderer(absl::GetFlag(FLAGS_format));
  const core::Severity MinSeverity =
      findSeverity(absl::GetFlag(FLAGS_min_severity));
  int ExitCode = 0;
  std::vector<std::vector<RecordedEvent>> Processes;
  for (const OperatorPage &Page : readOperatorPages(Given, "/timeline")) {
    if (Page.m_Fault) {
      std::cerr << "dandelionfall: " << Page.m_Fault->what() << "\n";
      ExitCode = core::describe(Page.m_Fault->kind()).m_ExitCode;
      continue;
    }
    Processes.push_back(eventsFromJson(Page.m_Text));
  }
  std::vector<RecordedEvent> Events = mergeEvents(Processes);
  std::erase_if(Events, [MinSeverity](const RecordedEvent &Entry) {
    return core::describe(Entry.m_Event.m_Id).m_Severity < MinSeverity;
  });
  std::cout << Renderer.render(Events);
  return ExitCode;
}

} // namespace

const Command TimelineCommand = {
    "timeline",
    "ADDRESS...",
    "merges the events of several nodes into one causal order",
    Flags,
    1,
    std::numeric_limits<std::size_t>::max(),
    run};

} // namespace dandelionfall::app
