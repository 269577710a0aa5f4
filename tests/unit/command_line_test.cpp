#include "unit/command_run.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

using namespace dandelionfall;
using tests::run;
using tests::RunResult;

namespace {

bool contains(const std::string &Text, const std::string &Expected) {
  return Text.find(Expected) != std::string::npos;
}

/// Directory that is removed, with its files, at the end of its scope.
class ScopedDirectory {
public:
  ScopedDirectory() { std::filesystem::create_directories(m_Name / "service"); }
  ~ScopedDirectory() { std::filesystem::remove_all(m_Name); }
  ScopedDirectory(const ScopedDirectory &) = delete;
  ScopedDirectory &operator=(const ScopedDirectory &) = delete;

  void write(const std::string &File, const std::string &Text) const {
    std::ofstream(m_Name / File) << Text;
  }
  std::string path(const std::string &File = "") const {
    return File.empty() ? m_Name.string() : (m_Name / File).string();
  }

private:
  std::filesystem::path m_Name = "command_line_test.directory";
};

constexpr const char *ValidSettings =
    "[node]\nhost = host-1\nzone = kalamaria\n"
    "caller_address = 127.0.0.1:8001\nlink_address = 127.0.0.1:8002\n"
    "operator_address = 127.0.0.1:8003\n"
    "[source]\naddress = 127.0.0.1:8005\n";

constexpr const char *ValidService =
    "[service slotboard]\nprofile = board\n[route /slotboard]\n"
    "[target slotboard-1]\nhost = host-1\nzone = kalamaria\n"
    "gate = 127.0.0.1:7101\nslots = 12\nconnections = 120\n";

void writeValidConfiguration(const ScopedDirectory &Files) {
  Files.write("zones", "[zone kalamaria]\nregion = gr-north\nstate = in\n");
  Files.write("profiles", "[profile board]\ndeadline_ms = 500\n");
  Files.write("service/slotboard", ValidService);
  Files.write("hosts", "[hosts]\nrevision = 1\ncount = 1\n[host host-1]\n"
                       "zone = kalamaria\naddress = 127.0.0.1:7101\n"
                       "state = live\n");
}

struct PublishedFault {
  std::string m_File;
  std::string m_Text;
  std::string m_Message;
};

struct RefusalCase {
  std::vector<std::string> m_Arguments;
  int m_ExitCode;
  std::string m_Message;
};

} // namespace

TEST_CASE("every refusal is one line with a remedy and its exit code") {
  const RefusalCase Cases[] = {
      {{}, 2, "no command; see dandelionfall --help"},
      {{"frob"}, 2, "unknown command frob; see dandelionfall --help"},
      {{"--frob"}, 2, "unknown flag --frob; see dandelionfall --help"},
      {{"node"}, 2, "--settings is missing; write dandelionfall node"},
      {{"node", "--settings"}, 2, "lacks its value; see dandelionfall node"},
      {{"node", "--frob", "1"}, 2, "unknown flag --frob; see dandelionfall"},
      {{"node", "--rate=1"}, 2, "unknown flag --rate; see dandelionfall node"},
      {{"node", "-s", "x"}, 2, "unknown flag -s; see dandelionfall node"},
      {{"node", "extra"}, 2, "operand 'extra' is one too many; see"},
      {{"node", "--settings=no-such-file"}, 3, "no-such-file: can't be read"},
      {{"check"}, 2, "operand FILE... is missing; see dandelionfall check"},
      {{"status"}, 2, "operand ADDRESS... is missing; see"},
      {{"status", "host-1:80"},
       2,
       "'host-1:80' is not an address; write an IP"},
      {{"status", "--format=xml", "127.0.0.1:1"}, 2, "unknown format 'xml'"},
      {{"status", "127.0.0.1:1"}, 7, "127.0.0.1:1: connect: "},
      {{"status", "--format=trace", "127.0.0.1:1"}, 2, "text, json, line"},
      {{"timeline"}, 2, "operand ADDRESS... is missing; see"},
      {{"timeline", "--format=png", "127.0.0.1:1"}, 2, "use one of: text"},
      {{"timeline", "--min_severity=x", "127.0.0.1:1"}, 2, "unknown severity"},
      {{"timeline", "127.0.0.1:1"}, 7, "name the operator address"},
      {{"load"}, 2, "operand ADDRESS... is missing; see"},
      {{"load", "--rate=fast", "127.0.0.1:1"}, 2, "'fast' is no value for"},
      {{"load", "--rate=0", "127.0.0.1:1"}, 2, "--rate is out of range"},
      {{"load", "--rate=nan", "127.0.0.1:1"}, 2, "--rate is out of range"},
      {{"load", "--duration_s=-1", "127.0.0.1:1"}, 2, "--duration_s is out of"},
      {{"load", "--connections=0", "127.0.0.1:1"}, 2, "--connections is out"},
      {{"load", "--deadline_ms=0", "127.0.0.1:1"}, 2, "--deadline_ms is out"},
      {{"load", "--rate=1000000", "--duration_s=1000", "127.0.0.1:1"},
       2,
       "choose a shorter duration"},
      {{"load", "--preset=oslo", "127.0.0.1:1"}, 2, "thessaloniki, kerala"},
      {{"load", "--arrivals=odd", "127.0.0.1:1"}, 2, "even, exponential"},
      {{"load", "here"}, 2, "'here' is not an address"},
  };
  for (const RefusalCase &Case : Cases) {
    CAPTURE(Case.m_Message);
    const RunResult Result = run(Case.m_Arguments);
    CAPTURE(Result.m_Errors);
    CHECK(Result.m_ExitCode == Case.m_ExitCode);
    CHECK(Result.m_Errors.starts_with("dandelionfall: "));
    CHECK(contains(Result.m_Errors, Case.m_Message));
    CHECK(contains(Result.m_Errors, "; "));
    CHECK(std::count(Result.m_Errors.begin(), Result.m_Errors.end(), '\n') ==
          1);
    CHECK(Result.m_Output.empty());
  }
}

TEST_CASE("every command has help and version") {
  const RunResult General = run({"--help"});
  CHECK(General.m_ExitCode == 0);
  for (const std::string Command :
       {"node", "check", "status", "timeline", "load"}) {
    CAPTURE(Command);
    CHECK(contains(General.m_Output, "  " + Command + " "));
    const RunResult Help = run({Command, "--help"});
    CHECK(Help.m_ExitCode == 0);
    CHECK(Help.m_Errors.empty());
    CHECK(Help.m_Output.starts_with("usage: dandelionfall " + Command));
    const RunResult Version = run({Command, "--version"});
    CHECK(Version.m_ExitCode == 0);
    CHECK(Version.m_Output.starts_with("dandelionfall "));
  }
  CHECK(contains(General.m_Output, "  7   connection failed\n"));
  CHECK(run({"--version"}).m_Output == run({"load", "--version"}).m_Output);
}

TEST_CASE("a flag of one run does not reach the next one") {
  CHECK(contains(run({"node", "--settings=gone"}).m_Errors, "gone"));
  CHECK(contains(run({"node"}).m_Errors, "--settings is missing"));
}

TEST_CASE("arguments after -- are operands") {
  CHECK(contains(run({"status", "--", "--format"}).m_Errors,
                 "'--format' is not an address"));
}

TEST_CASE("check reports every fault of every settings file") {
  const ScopedDirectory Files;
  Files.write("good.ini", ValidSettings);
  std::string Invalid = ValidSettings;
  Invalid.replace(Invalid.find("127.0.0.1:8002"), 14, "nowhere");
  Files.write("bad.ini", Invalid + "colour = red\n");
  const std::string Name = Files.path("bad.ini");
  const RunResult Result =
      run({"check", Files.path("good.ini"), Name, "no-such-file"});
  CHECK(Result.m_ExitCode == 4);
  CHECK(Result.m_Output == Files.path("good.ini") + ": no faults\n");
  CHECK(contains(Result.m_Errors, Name + ":5: 'nowhere' is not a valid"));
  CHECK(contains(Result.m_Errors, Name + ":9: unknown key 'colour'"));
  CHECK(contains(Result.m_Errors, "no-such-file: can't be read"));
  CHECK(std::count(Result.m_Errors.begin(), Result.m_Errors.end(), '\n') == 3);
  const RunResult Node = run({"node", "--settings", Name});
  CHECK(Node.m_ExitCode == 4);
  CHECK(contains(Node.m_Errors, Name + ":5: 'nowhere' is not a valid"));
}

TEST_CASE("check accepts a published configuration as directory and as files") {
  const ScopedDirectory Files;
  writeValidConfiguration(Files);
  const RunResult FromDirectory = run({"check", Files.path()});
  CHECK(FromDirectory.m_Errors.empty());
  CHECK(FromDirectory.m_ExitCode == 0);
  const RunResult FromFiles =
      run({"check", Files.path("zones"), Files.path("profiles"),
           Files.path("hosts"), Files.path("service/slotboard")});
  CHECK(FromFiles.m_Errors.empty());
  CHECK(FromFiles.m_ExitCode == 0);
}

TEST_CASE("check reports published faults with file, line and remedy") {
  const PublishedFault Cases[] = {
      {"zones", "[zone kalamaria]\nregion = gr-north\nstate = on\n",
       "zones:3: unknown state 'on'; use one of: in, out"},
      {"profiles", "[profile other]\ndeadline_ms = 500\n",
       "service/slotboard:2: profile 'board' is not defined; name"},
      {"hosts", "[hosts]\nrevision = 1\ncount = 1\n[host host-1]\nzonk = x\n",
       "hosts:5: unknown key 'zonk'; use one of:"},
      {"service/slotboard", std::string(ValidService) + "colour = red\n",
       "service/slotboard:10: unknown key 'colour'; use one of:"},
      {"manifest", "[manifest]\nversion = none\nparts = 0\n[parts]\n",
       "manifest:2: 'none' is not a valid value for version; write a number"},
      {"notes", "remember\n", "notes: unknown part; name parts"},
      {"zones", "[zone kalamaria\n", "zones:1: unmatched '['"},
  };
  for (const PublishedFault &Case : Cases) {
    CAPTURE(Case.m_Message);
    const ScopedDirectory Files;
    writeValidConfiguration(Files);
    Files.write(Case.m_File, Case.m_Text);
    const RunResult Result = run({"check", Files.path()});
    CAPTURE(Result.m_Errors);
    CHECK(Result.m_ExitCode == 5);
    CHECK(contains(Result.m_Errors, Files.path() + "/" + Case.m_Message));
  }
}

TEST_CASE("check reports the faults of all values in one run") {
  const ScopedDirectory Files;
  writeValidConfiguration(Files);
  Files.write("zones", "[zone kalamaria]\nstate = on\n");
  Files.write("hosts", "[host host-1]\nzonk = x\n");
  Files.write("settings.ini", "");
  const RunResult Result = run({"check", Files.path("settings.ini"),
                                Files.path("zones"), Files.path("hosts")});
  CHECK(Result.m_ExitCode == 4);
  CHECK(contains(Result.m_Errors, "zones:2: unknown state"));
  CHECK(contains(Result.m_Errors, "hosts:"));
  CHECK(contains(Result.m_Errors, "settings.ini:1: [node] lacks the key host"));
}

TEST_CASE("a value that can't be parsed is identified by its file name") {
  const ScopedDirectory Files;
  for (const std::string Name : {"zones", "hosts", "service/slotboard"}) {
    CAPTURE(Name);
    Files.write(Name, "[zone kalamaria\n");
    CHECK(run({"check", Files.path(Name)}).m_ExitCode == 5);
  }
  Files.write("host-1.ini", "[node\n");
  CHECK(run({"check", Files.path("host-1.ini")}).m_ExitCode == 4);
}

TEST_CASE("check refuses a directory without values") {
  const ScopedDirectory Files;
  const RunResult Result = run({"check", Files.path()});
  CHECK(Result.m_ExitCode == 3);
  CHECK(contains(Result.m_Errors, "is empty; name the directory"));
}
