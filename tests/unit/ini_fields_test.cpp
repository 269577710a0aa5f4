#include "dandelionfall/core/ini_fields.h"

#include <doctest/doctest.h>

#include <array>

using namespace dandelionfall::core;

namespace {

struct Sample {
  std::uint32_t m_Count = 7;
  bool m_Enabled = false;
  double m_Rate = 1;
  std::string m_Address;
  std::string m_Name;
};

constexpr NamedValue<bool> Switches[] = {{"on", true}, {"off", false}};

constexpr KeyHandler<Sample> SampleKeys[] = {
    {"count",
     [](Sample &Value, const IniEntry &Entry, const IniSource &Source) {
       Value.m_Count = parseNumber<std::uint32_t>(Entry, Source, 1, 10);
     }},
    {"enabled",
     [](Sample &Value, const IniEntry &Entry, const IniSource &Source) {
       Value.m_Enabled = parseNamedValue(Entry, Source, Switches);
     }},
    {"rate",
     [](Sample &Value, const IniEntry &Entry, const IniSource &Source) {
       Value.m_Rate = parseNumber<double>(Entry, Source, 0.5, 2.0);
     }},
    {"address",
     [](Sample &Value, const IniEntry &Entry, const IniSource &Source) {
       Value.m_Address = parseAddress(Entry, Source);
     }},
    {"name",
     [](Sample &Value, const IniEntry &Entry, const IniSource &Source) {
       Value.m_Name = parseNonEmptyText(Entry, Source);
     }},
};

FaultList read(const std::string &Text, Sample &Value) {
  const IniSource Source{ErrorKind::BadSettings, "file"};
  const IniDocument Document = parseIni(Text, "file", ErrorKind::BadSettings);
  FaultList Faults;
  for (const IniSection &Section : Document.m_Sections)
    readEntries(Value, Section, Source, SampleKeys, Faults);
  return Faults;
}

} // namespace

TEST_CASE("a table of keys sets the fields of a value") {
  Sample Value;
  CHECK(read("[s]\ncount = 3\nenabled = on\nrate = 1.5\n"
             "address = 10.0.0.1:7101\nname = x\n",
             Value)
            .empty());
  CHECK(Value.m_Count == 3);
  CHECK(Value.m_Enabled);
  CHECK(Value.m_Rate == doctest::Approx(1.5));
  CHECK(Value.m_Address == "10.0.0.1:7101");
  CHECK(Value.m_Name == "x");
}

TEST_CASE("every entry with a fault is reported with line and remedy") {
  Sample Value;
  const FaultList Faults =
      read("[s]\ncount = 11\nenabled = yes\nrate = nan\nname =\ncolour = red\n",
           Value);
  const std::array Expected = {
      "file:2: '11' is not a valid value for count; write a number from 1 to "
      "10",
      "file:3: unknown enabled 'yes'; use one of: on, off",
      "file:4: 'nan' is not a valid value for rate; write a number from "
      "0.500000 to "
      "2.000000",
      "file:5: name is empty; write name = VALUE",
      "file:6: unknown key 'colour'; use one of: count, enabled, rate, "
      "address, name",
  };
  REQUIRE(Faults.size() == Expected.size());
  for (std::size_t Index = 0; Index < Expected.size(); ++Index) {
    CHECK(Faults[Index].what() == std::string(Expected[Index]));
    CHECK(Faults[Index].kind() == ErrorKind::BadSettings);
  }
  CHECK(Value.m_Count == 7);
}

TEST_CASE("addresses are a numeric IP and a port") {
  const char *Valid[] = {"127.0.0.1:1", "10.255.0.9:65535", "[::1]:80",
                         "[fe80:1:2:3:4:5:6:7]:80", "[2001:db8::]:443"};
  const char *Invalid[] = {"",
                           ":80",
                           "127.0.0.1",
                           "127.0.0.1:",
                           "127.0.0.1:0",
                           "127.0.0.1:65536",
                           "127.0.0.1:080",
                           "127.0.0.1:+8",
                           "127.0.0.256:80",
                           "127.0.0:80",
                           "127.0.0.1.2:80",
                           "127.0.0.01:80",
                           "localhost:80",
                           "::1:80",
                           "[::1:80",
                           "[]:80",
                           "[1:2]:80",
                           "[1:::2]:80",
                           "[1::2::3]:80",
                           "[g::]:80",
                           "[1:2:3:4:5:6:7:8:9]:80"};
  for (const char *Text : Valid) {
    CAPTURE(Text);
    Sample Value;
    CHECK(read(std::string("[s]\naddress = ") + Text + "\n", Value).empty());
  }
  for (const char *Text : Invalid) {
    CAPTURE(Text);
    Sample Value;
    CHECK(read(std::string("[s]\naddress = ") + Text + "\n", Value).size() ==
          1);
  }
}

TEST_CASE("missing keys are each reported at their section") {
  const IniDocument Document =
      parseIni("[a]\n\n[s x]\nzone = z\n", "file", ErrorKind::BadSettings);
  constexpr std::string_view Keys[] = {"zone", "gate", "host"};
  FaultList Faults;
  requireKeys(Document.m_Sections[1], {ErrorKind::BadSettings, "file"}, Keys,
              Faults);
  REQUIRE(Faults.size() == 2);
  CHECK(Faults[0].what() ==
        std::string("file:3: [s x] lacks the key gate; add gate = VALUE"));
  CHECK(Faults[1].location().m_Line == 3);
}
