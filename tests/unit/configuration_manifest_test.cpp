#include "configuration_sample.h"

#include <doctest/doctest.h>

#include <string>

using namespace dandelionfall::core;

namespace {

struct FaultCase {
  std::string m_Text;
  int m_Line;
  const char *m_Fault;
};

const std::string Head = "[manifest]\nversion = 3\nparts = 1\n[parts]\n";
const std::string Whole = Head + "zones = 0123456789abcdef\n";

} // namespace

TEST_CASE("a manifest is read with its version, digest and parts") {
  const Manifest List = readManifest(Whole);
  CHECK(List.m_Stamp == VersionStamp{3, digestOf(Whole)});
  CHECK(List.m_Parts.at("zones") == 0x0123456789abcdefULL);
}

TEST_CASE("a manifest with a fault is refused") {
  const FaultCase Cases[] = {
      {"", 0, "no version"},
      {"[parts]\n", 0, "no version"},
      {"[manifest]\nparts = 0\n", 1, "lacks the key version"},
      {"[manifest]\nversion = 3\n", 1, "lacks the key parts"},
      {"[manifest]\nversion = 0\nparts = 0\n", 2, "no valid version"},
      {"[manifest]\nversion = -1\nparts = 0\n", 2, "no valid version"},
      {"[manifest]\nversion = 18446744073709551616\nparts = 0\n", 2,
       "no valid version"},
      {"[manifest]\nversion = 3\nparts = 0\nzone = x\n", 4, "unknown key"},
      {"[manifest x]\nversion = 3\nparts = 0\n", 1, "unknown section"},
      {Whole + "[more]\n", 6, "unknown section"},
      {Whole + "[manifest]\n", 6, "duplicate section"},
      {Whole + "zones = 0123456789abcdef\n", 6, "duplicate key"},
      {Head + "zones = 0123456789abcdeg\n", 5, "no valid zones"},
      {Head + "zones = 0123456789abcde\n", 5, "no digest"},
      {Head + "zone = 0123456789abcdef\n", 5, "unknown part"},
      {Head + "service/ = 0123456789abcdef\n", 5, "unknown part"},
      {Head + "service/a/b = 0123456789abcdef\n", 5, "unknown part"},
      {Head, 0, "0 parts are listed instead of 1"},
      {Whole + "profiles = 0123456789abcdef\n", 0,
       "2 parts are listed instead of 1"},
      {Whole.substr(0, Whole.size() - 1), 0, "last line has no end"},
      {Whole + std::string(MaxValueBytes, '\n'), 0, "larger than 1 MB"},
  };
  for (const FaultCase &Case : Cases) {
    CAPTURE(Case.m_Text.substr(0, 100));
    try {
      readManifest(Case.m_Text);
      FAIL("accepted");
    } catch (const Error &Fault) {
      CHECK(Fault.kind() == ErrorKind::BadConfiguration);
      CHECK(Fault.location() == SourceLocation{"manifest", Case.m_Line});
      CHECK(Fault.fault().find(Case.m_Fault) != std::string::npos);
      CHECK_FALSE(Fault.remedy().empty());
    }
  }
}

TEST_CASE("a manifest that is cut off anywhere is refused") {
  const PartMap Parts = makeParts(sampleTexts());
  std::map<std::string, Digest, std::less<>> Digests;
  for (const auto &[Name, Value] : Parts)
    Digests.emplace(Name, Value->m_Digest);
  const std::string Text = writeManifest(1234, Digests);
  CHECK_NOTHROW(readManifest(Text));
  for (std::size_t Length = 0; Length < Text.size(); ++Length) {
    CAPTURE(Length);
    CHECK_THROWS_AS(readManifest(Text.substr(0, Length)), Error);
  }
}
