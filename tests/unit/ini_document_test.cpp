#include "dandelionfall/core/ini_document.h"

#include <doctest/doctest.h>

#include <string>

using namespace dandelionfall::core;

namespace {

struct FaultCase {
  const char *m_Text;
  int m_Line;
  const char *m_Fault;
};

} // namespace

TEST_CASE("INI text is parsed into sections, keys, values and lines") {
  const IniDocument Document = parseIni(
      "; comment\n[service slotboard]\nprofile = escort\n\n[route /a.b]\n"
      "idempotent = never\n",
      "file", ErrorKind::BadSettings);
  REQUIRE(Document.m_Sections.size() == 2);
  CHECK(Document.m_Sections[0].m_Type == "service");
  CHECK(Document.m_Sections[0].m_Name == "slotboard");
  CHECK(Document.m_Sections[0].m_Line == 2);
  REQUIRE(Document.m_Sections[0].find("profile") != nullptr);
  CHECK(*Document.m_Sections[0].find("profile") ==
        IniEntry{"profile", "escort", 3});
  CHECK(Document.m_Sections[1].m_Name == "/a.b");
  CHECK(Document.m_Sections[1].find("profile") == nullptr);
}

TEST_CASE("INI faults state their line") {
  const FaultCase Cases[] = {
      {"key = 1\n", 1, "outside a section"},
      {"[a]\nx = 1\n[a]\ny = 2\n", 3, "duplicate section"},
      {"[a]\n[a]\n", 2, "duplicate section"},
      {"[a]\nx = 1\nx = 2\n", 3, "duplicate key"},
      {"[a\nx = 1\n", 1, "unmatched"},
      {"[a]\nnonsense\n", 2, "'='"},
      {"[a] b\nx = 1\n", 1, "after a section's"},
      {"\n[ ]\nx = 1\n", 2, "without a name"},
      {"[a]\n= 1\n", 2, "key"},
      {"[a]\nx = 1\x01\n", 2, "control character"},
      {"[a  b]\nx = 1\n[a b]\n", 3, "duplicate section"},
  };
  for (const FaultCase &Case : Cases) {
    CAPTURE(Case.m_Text);
    try {
      parseIni(Case.m_Text, "file", ErrorKind::BadSettings);
      FAIL("accepted");
    } catch (const Error &Fault) {
      CHECK(Fault.kind() == ErrorKind::BadSettings);
      CHECK(Fault.location() == SourceLocation{"file", Case.m_Line});
      CHECK(std::string(Fault.what()).find(Case.m_Fault) != std::string::npos);
      CHECK_FALSE(Fault.remedy().empty());
    }
  }
}

TEST_CASE("INI text can have unusual spacing in titles and keys") {
  const IniDocument Document =
      parseIni("[a  b ]\r\n  x=1\r\ny  =  a = b\r\nz =\n[c]", "file",
               ErrorKind::BadSettings);
  REQUIRE(Document.m_Sections.size() == 2);
  CHECK(Document.m_Sections[0].m_Name == "b");
  CHECK(Document.m_Sections[0].m_Entries ==
        std::vector<IniEntry>{{"x", "1", 2}, {"y", "a = b", 3}, {"z", "", 4}});
  CHECK(Document.m_Sections[1].m_Entries.empty());
}
