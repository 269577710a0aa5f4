#include "app/command.h"
#include "app/format_flag.h"
#include "app/operator_client.h"
#include "dandelionfall/app/status_report.h"
#include "dandelionfall/core/error.h"

#include <iostream>
#include <limits>

namespace dandelionfall::app {

namespace {

constexpr std::string_view Flags[] = {"format"};

/// Output format of a report.
struct StatusFormat {
  std::string_view m_Name;
  std::string (*m_Render)(const StatusReport &);
};

constexpr StatusFormat Formats[] = {
    {"text", toText},
    {"json", toJson},
    {"line", toLine},
};

const StatusFormat &findFormat(const std::string &Name) {
  for (const StatusFormat &Row : Formats) {
    if (Row.m_Name == Name)
      return Row;
  }
  throw core::Error(core::ErrorKind::Usage, "unknown format '" + Name + "'",
                    "use one of: text, json, line");
}

int run(const Operands &Given) {
  const StatusFormat &Format = findFormat(absl::GetFlag(FLAGS_format));
  int ExitCode = 0;
  for (const OperatorPage &Page : readOperatorPages(Given, "/status")) {
    if (Page.m_Fault) {
      std::cerr << "dandelionfall: " << Page.m_Fault->what() << "\n";
      ExitCode = core::describe(Page.m_Fault->kind()).m_ExitCode;
      continue;
    }
    std::cout << Format.m_Render(statusFromJson(Page.m_Text));
  }
  return ExitCode;
}

} // namespace

const Command StatusCommand = {"status",
                               "ADDRESS...",
                               "shows a node's version, readiness and limits",
                               Flags,
                               1,
                               std::numeric_limits<std::size_t>::max(),
                               run};

} // namespace dandelionfall::app
