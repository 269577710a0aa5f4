#include "dandelionfall/core/event.h"

#include "app/severity_name.h"

#include <doctest/doctest.h>

#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <fstream>
#include <map>
#include <string>
#include <vector>

using namespace dandelionfall;

namespace {

/// A row of the event table in docs/EVENTS.md.
struct DocumentedEvent {
  std::string m_Name;
  std::string m_Severity;
  std::string m_Meaning;
  std::string m_Action;
};

constexpr std::size_t Columns = 5;

std::vector<std::string> splitRow(const std::string &Line) {
  std::vector<std::string> Cells;
  boost::algorithm::split(Cells, Line,
                          [](char Character) { return Character == '|'; });
  for (std::string &Cell : Cells)
    boost::algorithm::trim(Cell);
  // The row starts and ends with '|', which gives empty first and last cells.
  return {Cells.begin() + 1, Cells.end() - 1};
}

std::map<int, DocumentedEvent> readCatalogue() {
  std::ifstream Stream(DANDELIONFALL_SOURCE_DIRECTORY "/docs/EVENTS.md");
  REQUIRE(Stream);
  std::map<int, DocumentedEvent> Rows;
  std::string Line;
  while (std::getline(Stream, Line)) {
    const bool IsRow = Line.size() > 2 && Line.starts_with("| ") &&
                       Line[2] >= '0' && Line[2] <= '9';
    if (!IsRow)
      continue;
    const std::vector<std::string> Cells = splitRow(Line);
    CAPTURE(Line);
    REQUIRE(Cells.size() == Columns);
    const bool IsNew =
        Rows.emplace(std::stoi(Cells[0]),
                     DocumentedEvent{Cells[1], Cells[2], Cells[3], Cells[4]})
            .second;
    CHECK(IsNew);
  }
  return Rows;
}

} // namespace

TEST_CASE("docs/EVENTS.md lists exactly the events of the program") {
  std::map<int, DocumentedEvent> Rows = readCatalogue();
  for (const core::EventInfo &Info : core::eventCatalogue()) {
    const int Number = static_cast<int>(Info.m_Id);
    CAPTURE(Number);
    const auto Found = Rows.find(Number);
    if (Found == Rows.end()) {
      FAIL_CHECK("event is missing in docs/EVENTS.md");
      continue;
    }
    CHECK(Found->second.m_Name == Info.m_Name);
    CHECK(Found->second.m_Severity == app::severityName(Info.m_Severity));
    CHECK(Found->second.m_Meaning == Info.m_Meaning);
    CHECK_FALSE(Found->second.m_Action.empty());
    Rows.erase(Found);
  }
  for (const auto &[Number, Row] : Rows)
    FAIL_CHECK("event " << Number << " " << Row.m_Name
                        << " is in docs/EVENTS.md, but not in the program");
}
