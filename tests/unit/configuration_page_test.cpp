// Compares docs/CONFIGURATION.md with the key tables: the page must list every
// key, and the range of every number.
#include "configuration_sample.h"
#include "dandelionfall/app/settings.h"
#include "dandelionfall/core/ini_fields.h"

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

using namespace dandelionfall;
using namespace dandelionfall::core;

namespace {

const std::string KnownPrefix = "use one of: ";
const std::string NumberPrefix = "write a number from ";

struct SectionCase {
  const char *m_Part;
  const char *m_Section;
};

const SectionCase PublishedSections[] = {
    {"zones", "zone volos"},
    {"profiles", "profile spare"},
    {"service/slotboard", "service slotboard"},
    {"service/slotboard", "route /spare"},
    {"service/slotboard", "target spare"},
};

const char *SettingsSections[] = {"node",    "target",  "source",
                                  "overlay", "machine", "retries",
                                  "stop",    "log",     "zone_traffic"};

std::string readPage() {
  std::ifstream Stream(DANDELIONFALL_SOURCE_DIRECTORY "/docs/CONFIGURATION.md");
  return {std::istreambuf_iterator<char>(Stream), {}};
}

// Finds the table row that starts with `KEY` or `[SECTION] KEY`.
std::string findRow(const std::string &Page, const std::string &Section,
                    const std::string &Key) {
  std::string Short = "| `";
  Short.append(Key).append("` |");
  std::string Long = "| `[";
  Long.append(Section).append("] ").append(Key).append("` |");
  std::istringstream Lines(Page);
  for (std::string Line; std::getline(Lines, Line);) {
    if (Line.starts_with(Short) || Line.starts_with(Long))
      return Line;
  }
  return "";
}

std::vector<std::string> splitWords(const std::string &Text) {
  std::vector<std::string> Words;
  std::istringstream Stream(Text);
  for (std::string Word; Stream >> Word;) {
    if (Word.ends_with(','))
      Word.pop_back();
    Words.push_back(Word);
  }
  return Words;
}

// Returns the faults of a text that contains one section with one entry.
FaultList checkEntry(const std::string &Part, const std::string &Section,
                     const std::string &Key) {
  const std::string Text = "[" + Section + "]\n" + Key + " = x\n";
  if (Part.empty()) {
    app::Settings Result;
    return app::checkSettings(Text, "node.ini", Result);
  }
  return checkConfiguration(makeParts({{Part, Text}}));
}

// Returns the text after a prefix in the remedy of the entry's fault.
std::string findRemedy(const FaultList &Faults, const std::string &Words) {
  constexpr int EntryLine = 2;
  for (const Error &Fault : Faults) {
    if (Fault.location().m_Line == EntryLine &&
        Fault.remedy().starts_with(Words))
      return Fault.remedy().substr(Words.size());
  }
  return "";
}

// The page writes fractions without trailing zeros.
std::string stripTrailingZeros(const std::string &Bounds) {
  std::string Result;
  for (std::string Word : splitWords(Bounds)) {
    if (Word.find('.') != std::string::npos) {
      Word.erase(Word.find_last_not_of('0') + 1);
      if (Word.ends_with('.'))
        Word.pop_back();
    }
    Result += (Result.empty() ? "" : " ") + Word;
  }
  return Result;
}

void checkSection(const std::string &Page, const std::string &Part,
                  const std::string &Section) {
  const std::string Known =
      findRemedy(checkEntry(Part, Section, "none"), KnownPrefix);
  REQUIRE_FALSE(Known.empty());
  for (const std::string &Key : splitWords(Known)) {
    CAPTURE(Section);
    CAPTURE(Key);
    const std::string Row = findRow(Page, Section, Key);
    CHECK_FALSE(Row.empty());
    const std::string Bounds = stripTrailingZeros(
        findRemedy(checkEntry(Part, Section, Key), NumberPrefix));
    CHECK(Row.find(Bounds) != std::string::npos);
  }
}

} // namespace

TEST_CASE("docs/CONFIGURATION.md lists every key with its bounds") {
  const std::string Page = readPage();
  REQUIRE_FALSE(Page.empty());
  for (const SectionCase &Case : PublishedSections)
    checkSection(Page, Case.m_Part, Case.m_Section);
  for (const char *Section : SettingsSections)
    checkSection(Page, "", Section);
}
