#include "configuration_sample.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace dandelionfall::core;

namespace {

// A change of one part of the sample and the first fault expected for it.
struct FaultCase {
  const char *m_Part;
  const char *m_Old;
  const char *m_New;
  int m_Line;
  const char *m_Fault;
};

const FaultCase FaultCases[] = {
    {"zones", "[zone sindos]", "[zone kalamaria]", 4, "duplicate section"},
    {"zones", "[zone sindos]", "[zone]", 4, "not a valid zone name"},
    {"zones", "[zone kalamaria]", "[zones kalamaria]", 1, "unknown section"},
    {"zones", "state = out", "state = gone", 6, "unknown state 'gone'"},
    {"zones", "state = out", "stat = out", 6, "unknown key 'stat'"},
    {"zones", "state = out", "region = x", 6, "duplicate key"},
    {"zones", "state = out", "state", 6, "'='"},
    {"zones", "region = gr-north\n\n", "region =\n\n", 2,
     "not a valid value for region"},
    {"profiles", "deadline_ms = 1000", "deadline_ms = 0", 2, "not a valid"},
    {"profiles", "deadline_ms = 1000", "deadline_ms = 86400001", 2,
     "not a valid"},
    {"profiles", "deadline_ms = 1000", "deadline_ms = 1e3", 2, "not a valid"},
    {"profiles", "deadline_ms = 1000", "try_timeout_ms = -1", 2, "not a valid"},
    {"profiles", "deadline_ms = 1000", "queue_limit = 100001", 2,
     "not a valid"},
    {"profiles", "deadline_ms = 1000", "cold_start_limit = 0", 2,
     "not a valid"},
    {"profiles", "deadline_ms = 1000", "max_body_bytes = 8388609", 2,
     "not a valid"},
    {"profiles", "retry_percent = 0", "retry_percent = 101", 5, "not a valid"},
    {"profiles", "retry_percent = 0", "retries = 1", 5, "unknown key"},
    {"profiles", "[profile board]", "profile board", 1, "outside a section"},
    {"service/slotboard", "[service slotboard]\nprofile = board\n", "", 0,
     "[service slotboard] is missing"},
    {"service/slotboard", "[service slotboard]", "[service slotboards]", 1,
     "unknown section [service slotboards]"},
    {"service/slotboard", "profile = board", "profile = boards", 2,
     "profile 'boards' is not defined"},
    {"service/slotboard", "profile = board\n", "", 1, "lacks the key profile"},
    {"service/slotboard", "[route /slotboard]", "[route slotboard]", 4,
     "not a valid path prefix"},
    {"service/slotboard", "[route /slotboard]", "[route]", 4,
     "not a valid path prefix"},
    {"service/slotboard", "[route /slotboard]", "[route /slot?x=1]", 4,
     "not a valid path prefix"},
    {"service/slotboard", "[route /slotboard]", "[route /a b]", 4,
     "not a valid path prefix"},
    {"service/slotboard", "[route /slotboard]", "[route /escortdesk]", 4,
     "also a route of service escortdesk"},
    {"service/slotboard", "[route /slotboard]",
     "[route /slotboard]\nhost_name = Board.example:80", 5,
     "not a valid value for host_name"},
    {"service/slotboard", "[route /slotboard]",
     "[route /slotboard]\nidempotent = yes", 5, "unknown idempotent 'yes'"},
    {"service/slotboard", "zone = kalamaria", "zone = volos", 8,
     "availability zone 'volos' is not defined"},
    {"service/slotboard", "zone = kalamaria\n", "", 6, "lacks the key zone"},
    {"service/slotboard", "host = host-1\n", "", 6, "lacks the key host"},
    {"service/slotboard", "gate = 127.0.0.1:7101\n", "", 6,
     "lacks the key gate"},
    {"service/slotboard", "gate = 127.0.0.1:7101", "gate = host-1:7101", 9,
     "not a valid value for gate"},
    {"service/slotboard", "gate = 127.0.0.1:7101", "gate = 127.0.0.1:0", 9,
     "not a valid value for gate"},
    {"service/slotboard", "gate = 127.0.0.1:7101", "gate = 127.0.0.1:7102", 9,
     "is also the gate of target escortdesk-1"},
    {"service/slotboard", "slots = 12", "slots = 0", 10,
     "not a valid value for slots"},
    {"service/slotboard", "connections = 120", "connections = many", 11,
     "not a valid value for connections"},
    {"service/slotboard", "[target slotboard-1]", "[target escortdesk-1]", 6,
     "also a target of service escortdesk"},
    {"service/slotboard", "[target slotboard-1]", "[target slot board]", 6,
     "not a valid target name"},
    {"service/slotboard", "[target slotboard-1]", "[node slotboard-1]", 6,
     "unknown section"},
};

std::string replaceFirst(std::string Text, const std::string &Old,
                         const std::string &New) {
  const std::size_t Position = Text.find(Old);
  REQUIRE(Position != std::string::npos);
  return Text.replace(Position, Old.size(), New);
}

void checkRefused(const PartMap &Parts, const Error &Expected) {
  try {
    buildConfiguration(makeManifest(2, Parts), Parts);
    FAIL("accepted");
  } catch (const Error &Fault) {
    CHECK(std::string(Fault.what()) == Expected.what());
    CHECK(Fault.kind() == ErrorKind::BadConfiguration);
  }
}

} // namespace

TEST_CASE("a valid configuration contains all values of its parts") {
  const PartMap Parts = makeParts(sampleTexts());
  const ConfigurationPtr Config =
      buildConfiguration(makeManifest(7, Parts), Parts);
  CHECK(Config->m_Stamp.m_Version == 7);
  CHECK(isZoneIn(*Config, "kalamaria"));
  CHECK_FALSE(isZoneIn(*Config, "sindos"));
  CHECK_FALSE(isZoneIn(*Config, "volos"));
  CHECK(Config->m_Profiles.at("board").m_Deadline == std::chrono::seconds(1));
  CHECK(Config->m_Profiles.at("booking").m_RetryPercent == 0);
  const Service &Board = *Config->m_Services.at("slotboard");
  CHECK(Board.m_Targets ==
        std::vector<Target>{
            {"slotboard-1", "host-1", "kalamaria", "127.0.0.1:7101", 12, 120}});
  CHECK(Config->m_Services.at("escortdesk")->m_Routes ==
        std::vector<Route>{{"/escortdesk", "", Idempotency::Never}});
  CHECK(checkConfiguration(Parts).empty());
}

TEST_CASE("a version with a faulty part is refused with line and remedy") {
  for (const FaultCase &Case : FaultCases) {
    CAPTURE(Case.m_New);
    TextMap Texts = sampleTexts();
    Texts[Case.m_Part] =
        replaceFirst(Texts[Case.m_Part], Case.m_Old, Case.m_New);
    const PartMap Parts = makeParts(Texts);
    const std::vector<Error> Faults = checkConfiguration(Parts);
    REQUIRE(Faults.size() >= 1);
    const Error &First = Faults.front();
    CHECK(First.location() == SourceLocation{Case.m_Part, Case.m_Line});
    CHECK(First.fault().find(Case.m_Fault) != std::string::npos);
    CHECK_FALSE(First.remedy().empty());
    checkRefused(Parts, First);
  }
}

TEST_CASE("all faults of all parts are listed at once") {
  TextMap Texts = sampleTexts();
  Texts["zones"] += "colour = red\n";
  Texts["profiles"] = replaceFirst(Texts["profiles"], "1000", "0");
  Texts["service/slotboard"] =
      replaceFirst(Texts["service/slotboard"], "slots = 12", "slots = x");
  Texts["service/escortdesk"] =
      replaceFirst(Texts["service/escortdesk"], "sindos", "volos");
  Texts["notes"] = "";
  std::vector<std::string> Files;
  for (const Error &Fault : checkConfiguration(makeParts(Texts)))
    Files.push_back(Fault.location().m_File);
  CHECK(Files == std::vector<std::string>{"notes", "profiles",
                                          "service/slotboard", "zones",
                                          "service/escortdesk"});
}

TEST_CASE(
    "references into a part that can't be parsed are not reported again") {
  TextMap Texts = sampleTexts();
  Texts["zones"] = "[zone";
  CHECK(checkConfiguration(makeParts(Texts)).size() == 1);
  // An empty part can be parsed, so references into it are reported.
  Texts["zones"] = "";
  CHECK(checkConfiguration(makeParts(Texts)).size() == 2);
  Texts.erase("zones");
  CHECK(checkConfiguration(makeParts(Texts)).size() == 2);
}

TEST_CASE("a service can have neither routes nor targets") {
  TextMap Texts = sampleTexts();
  Texts["service/slotboard"] = "[service slotboard]\nprofile = board\n";
  const PartMap Parts = makeParts(Texts);
  CHECK(buildConfiguration(makeManifest(2, Parts), Parts)
            ->m_Services.at("slotboard")
            ->m_Targets.empty());
}

TEST_CASE("a part above 1 MB is refused, one of 1 MB is not") {
  TextMap Texts = sampleTexts();
  Texts["zones"].resize(MaxValueBytes, '\n');
  CHECK(checkConfiguration(makeParts(Texts)).empty());
  Texts["zones"] += '\n';
  const std::vector<Error> Faults = checkConfiguration(makeParts(Texts));
  REQUIRE(Faults.size() == 1);
  CHECK(Faults[0].fault() == "value is larger than 1 MB");
}

TEST_CASE("absent parts and parts with other digests are missing and refused") {
  PartMap Parts = makeParts(sampleTexts());
  const Manifest List = makeManifest(2, Parts);
  CHECK(missingParts(List, Parts).empty());
  Parts["zones"] = makePart("zones", "[zone kalamaria]\n");
  Parts.erase("service/slotboard");
  CHECK(missingParts(List, Parts) ==
        std::vector<std::string>{"service/slotboard", "zones"});
  const std::vector<Error> Faults = checkConfiguration(List, Parts);
  REQUIRE(Faults.size() >= 2);
  CHECK(Faults[0].fault() == "part is missing");
  CHECK(Faults[1].fault().find("differs from the manifest's") !=
        std::string::npos);
  CHECK_THROWS_AS(buildConfiguration(List, Parts), Error);
}

TEST_CASE("a part that states a wrong digest is refused") {
  PartMap Parts = makeParts(sampleTexts());
  const Manifest List = makeManifest(2, Parts);
  Part Forged = *Parts.at("zones");
  Forged.m_Text = "[zone kalamaria]\n[zone sindos]\n";
  Parts["zones"] = std::make_shared<const Part>(Forged);
  CHECK_THROWS_AS(buildConfiguration(List, Parts), Error);
}

TEST_CASE("unchanged services are shared with the previous version") {
  TextMap Texts = sampleTexts();
  const PartMap Before = makeParts(Texts);
  const ConfigurationPtr Old =
      buildConfiguration(makeManifest(1, Before), Before);
  Texts["service/slotboard"] += "[target slotboard-2]\nhost = host-3\n"
                                "zone = sindos\ngate = 127.0.0.1:7103\n";
  const PartMap After = makeParts(Texts);
  const ConfigurationPtr New =
      buildConfiguration(makeManifest(2, After), After, Old.get(), &Before);
  CHECK(New->m_Services.at("escortdesk") == Old->m_Services.at("escortdesk"));
  CHECK(New->m_Services.at("slotboard")->m_Targets.size() == 2);
  // References of a shared service are checked against the new version.
  Texts["zones"] = "[zone kalamaria]\n";
  const PartMap Broken = makeParts(Texts);
  CHECK_THROWS_AS(
      buildConfiguration(makeManifest(3, Broken), Broken, New.get(), &After),
      Error);
}
