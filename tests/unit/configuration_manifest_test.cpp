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

const std::string Header = "[manifest]\nversion = 3\nparts = 1\n[parts]\n";
const std::string CompleteManifest = Header + "zones = 0123456789abcdef\n";

} // namespace

TEST_CASE("a manifest is read with its version, digest and parts") {
  const Manifest List = readManifest(CompleteManifest);
  CHECK(List.m_Stamp == VersionStamp{3, computeDigest(CompleteManifest)});
  CHECK(List.m_Parts.at("zones") == 0x0123456789abcdefULL);
}

TEST_CASE("a manifest with a fault is refused") {
  const FaultCase Cases[] = {
      {"", 0, "no version"},
      {"[parts]\n", 0, "no version"},
      {"[manifest]\nparts = 0\n", 1, "lacks the key version"},
      {"[manifest]\nversion = 3\n", 1, "lacks the key parts"},
      {"[manifest]\nversion = 0\nparts = 0\n", 2,
       "not a valid value for version"},
      {"[manifest]\nversion = -1\nparts = 0\n", 2,
       "not a valid value for version"},
      {"[manifest]\nversion = 18446744073709551616\nparts = 0\n", 2,
       "not a valid value for version"},
      {"[manifest]\nversion = 3\nparts = 0\nzone = x\n", 4, "unknown key"},
      {"[manifest x]\nversion = 3\nparts = 0\n", 1, "unknown section"},
      {CompleteManifest + "[more]\n", 6, "unknown section"},
      {CompleteManifest + "[manifest]\n", 6, "duplicate section"},
      {CompleteManifest + "zones = 0123456789abcdef\n", 6, "duplicate key"},
      {Header + "zones = 0123456789abcdeg\n", 5, "not a valid value for zones"},
      {Header + "zones = 0123456789abcde\n", 5, "not a digest"},
      {Header + "zone = 0123456789abcdef\n", 5, "unknown part"},
      {Header + "service/ = 0123456789abcdef\n", 5, "unknown part"},
      {Header + "service/a/b = 0123456789abcdef\n", 5, "unknown part"},
      {Header, 0, "0 parts are listed instead of 1"},
      {CompleteManifest + "profiles = 0123456789abcdef\n", 0,
       "2 parts are listed instead of 1"},
      {CompleteManifest.substr(0, CompleteManifest.size() - 1), 0,
       "last line has no line break"},
      {CompleteManifest + std::string(MaxValueBytes, '\n'), 0,
       "larger than 1 MB"},
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

TEST_CASE("a manifest truncated at any position is refused") {
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
