#include "dandelionfall/app/settings.h"

#include "app/endpoint.h"
#include "app/file_reader.h"
#include "dandelionfall/core/ini_document.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>

namespace dandelionfall::app {

namespace {

using core::Error;
using core::ErrorKind;
using core::IniEntry;
using core::IniSection;

/// What is wrong with a value and what to write instead.
struct ValueFault {
  std::string m_Fault;
  std::string m_Remedy;
};

using ValueCheck = std::optional<ValueFault>;

/// One key of the settings file.
struct KeyRow {
  std::string_view m_Section;
  std::string_view m_Key;
  bool m_Required;
  ValueCheck (*m_Set)(Settings &, const std::string &);
};

constexpr std::size_t MaxNameLength = 253;
constexpr std::uint32_t MaxAssumedHosts = 1'000'000;
constexpr std::uint32_t MaxHolders = 16;
constexpr double MaxSourceBudget = 1'000'000;
constexpr std::size_t MaxSeeds = 64;

bool isNameCharacter(char Character) {
  const bool Letter = (Character >= 'a' && Character <= 'z') ||
                      (Character >= 'A' && Character <= 'Z');
  const bool Digit = Character >= '0' && Character <= '9';
  return Letter || Digit || Character == '-' || Character == '_' ||
         Character == '.';
}

template <std::string Settings::*Member>
ValueCheck setName(Settings &Result, const std::string &Value) {
  if (Value.empty() || Value.size() > MaxNameLength ||
      !std::all_of(Value.begin(), Value.end(), isNameCharacter))
    return ValueFault{"'" + Value + "' is no valid name",
                      "write 1 to " + std::to_string(MaxNameLength) +
                          " letters, digits, '.', '-' or '_'"};
  Result.*Member = Value;
  return std::nullopt;
}

ValueFault badAddress(const std::string &Value) {
  return {"'" + Value + "' is no valid address",
          "write IP:PORT with an IPv4 number and a port from 1 to 65535, such "
          "as 127.0.0.1:8080"};
}

template <std::string Settings::*Member>
ValueCheck setAddress(Settings &Result, const std::string &Value) {
  if (!parseEndpoint(Value))
    return badAddress(Value);
  Result.*Member = Value;
  return std::nullopt;
}

ValueCheck setTargetAddress(Settings &Result, const std::string &Value) {
  const std::optional<Endpoint> Parsed = parseEndpoint(Value);
  if (!Parsed)
    return badAddress(Value);
  if (!isLoopback(*Parsed))
    return ValueFault{"target address '" + Value + "' is not on loopback",
                      "let the target listen on 127.0.0.0/8, so that the node "
                      "is the only way to it"};
  Result.m_TargetAddress = Value;
  return std::nullopt;
}

ValueCheck setSeeds(Settings &Result, const std::string &Value) {
  std::vector<std::string> Seeds;
  std::size_t Begin = 0;
  while (Begin <= Value.size() && !Value.empty()) {
    const std::size_t Comma = std::min(Value.find(',', Begin), Value.size());
    std::string Seed = Value.substr(Begin, Comma - Begin);
    Seed.erase(0, Seed.find_first_not_of(" \t"));
    Seed.erase(Seed.find_last_not_of(" \t") + 1);
    if (!parseEndpoint(Seed))
      return badAddress(Seed);
    Seeds.push_back(std::move(Seed));
    Begin = Comma + 1;
  }
  if (Seeds.size() > MaxSeeds)
    return ValueFault{std::to_string(Seeds.size()) + " seeds are too many",
                      "name at most " + std::to_string(MaxSeeds) +
                          "; a few suffice"};
  Result.m_Seeds = std::move(Seeds);
  return std::nullopt;
}

template <typename Number>
std::optional<Number> parseNumber(const std::string &Value) {
  Number Parsed{};
  const char *End = Value.data() + Value.size();
  const auto [Rest, Code] = std::from_chars(Value.data(), End, Parsed);
  if (Code != std::errc() || Rest != End)
    return std::nullopt;
  return Parsed;
}

template <std::uint32_t Settings::*Member, std::uint32_t Least,
          std::uint32_t Most>
ValueCheck setNumber(Settings &Result, const std::string &Value) {
  const auto Parsed = parseNumber<std::uint32_t>(Value);
  if (!Parsed || *Parsed < Least || *Parsed > Most)
    return ValueFault{"'" + Value + "' is out of range",
                      "write a whole number from " + std::to_string(Least) +
                          " to " + std::to_string(Most)};
  Result.*Member = *Parsed;
  return std::nullopt;
}

ValueCheck setBudget(Settings &Result, const std::string &Value) {
  const auto Parsed = parseNumber<double>(Value);
  if (!Parsed || !(*Parsed > 0) || *Parsed > MaxSourceBudget)
    return ValueFault{"'" + Value + "' is out of range",
                      "write calls a second above 0 and up to 1000000"};
  Result.m_SourceBudget = *Parsed;
  return std::nullopt;
}

ValueCheck setLogLevel(Settings &Result, const std::string &Value) {
  constexpr std::array<std::string_view, 4> Levels = {"debug", "info",
                                                      "warning", "error"};
  if (std::find(Levels.begin(), Levels.end(), Value) == Levels.end())
    return ValueFault{"unknown log level '" + Value + "'",
                      "write debug, info, warning or error"};
  Result.m_LogLevel = Value;
  return std::nullopt;
}

ValueCheck setTraceRequests(Settings &Result, const std::string &Value) {
  if (Value != "true" && Value != "false")
    return ValueFault{"'" + Value + "' is neither true nor false",
                      "write true or false"};
  Result.m_TraceRequests = Value == "true";
  return std::nullopt;
}

constexpr KeyRow Keys[] = {
    {"node", "host", true, setName<&Settings::m_Host>},
    {"node", "zone", true, setName<&Settings::m_Zone>},
    {"node", "caller_address", true, setAddress<&Settings::m_CallerAddress>},
    {"node", "link_address", true, setAddress<&Settings::m_LinkAddress>},
    {"node", "operator_address", true,
     setAddress<&Settings::m_OperatorAddress>},
    {"target", "name", false, setName<&Settings::m_TargetName>},
    {"target", "address", false, setTargetAddress},
    {"source", "address", true, setAddress<&Settings::m_SourceAddress>},
    {"source", "budget_calls_per_s", false, setBudget},
    {"overlay", "seeds", false, setSeeds},
    {"overlay", "assumed_hosts", false,
     setNumber<&Settings::m_AssumedHosts, 1, MaxAssumedHosts>},
    {"overlay", "holders", false,
     setNumber<&Settings::m_Holders, 0, MaxHolders>},
    {"log", "level", false, setLogLevel},
    {"log", "trace_requests", false, setTraceRequests},
};

/// Collects the faults of one settings text.
class SettingsChecker {
public:
  explicit SettingsChecker(const std::string &File) : m_File(File) {}

  void check(std::string_view Text) {
    core::IniDocument Document;
    try {
      Document = core::parseIni(Text, m_File, ErrorKind::BadSettings);
    } catch (const Error &Fault) {
      m_Faults.push_back(Fault);
      return;
    }
    for (const IniSection &Section : Document.m_Sections)
      checkSection(Section);
    refuseMissingKeys();
    refuseHalfTarget();
    refuseSharedAddresses();
    std::stable_sort(m_Faults.begin(), m_Faults.end(),
                     [](const Error &Left, const Error &Right) {
                       return Left.location().m_Line < Right.location().m_Line;
                     });
  }

  const Settings &result() const { return m_Result; }
  std::vector<Error> takeFaults() { return std::move(m_Faults); }

private:
  void refuse(const std::string &Fault, const std::string &Remedy, int Line) {
    m_Faults.emplace_back(ErrorKind::BadSettings, Fault, Remedy,
                          core::SourceLocation{m_File, Line});
  }

  void checkSection(const IniSection &Section) {
    std::string Known;
    for (const KeyRow &Row : Keys) {
      if (Row.m_Section == Section.m_Type)
        Known += (Known.empty() ? "" : ", ") + std::string(Row.m_Key);
    }
    if (Known.empty() || !Section.m_Name.empty()) {
      const std::string Title = Section.m_Name.empty()
                                    ? Section.m_Type
                                    : Section.m_Type + " " + Section.m_Name;
      refuse("unknown section [" + Title + "]",
             "use [node], [target], [source], [overlay] or [log]",
             Section.m_Line);
      return;
    }
    m_SectionLines[Section.m_Type] = Section.m_Line;
    for (const IniEntry &Entry : Section.m_Entries)
      checkEntry(Section, Entry, Known);
  }

  void checkEntry(const IniSection &Section, const IniEntry &Entry,
                  const std::string &Known) {
    for (const KeyRow &Row : Keys) {
      if (Row.m_Section != Section.m_Type || Row.m_Key != Entry.m_Key)
        continue;
      m_KeyLines[&Row] = Entry.m_Line;
      const ValueCheck Fault = Row.m_Set(m_Result, Entry.m_Value);
      if (Fault)
        refuse(Entry.m_Key + ": " + Fault->m_Fault, Fault->m_Remedy,
               Entry.m_Line);
      return;
    }
    refuse("unknown key '" + Entry.m_Key + "' in [" + Section.m_Type + "]",
           "use one of: " + Known, Entry.m_Line);
  }

  int sectionLine(std::string_view Section) const {
    const auto Found = m_SectionLines.find(Section);
    return Found == m_SectionLines.end() ? 1 : Found->second;
  }

  void refuseMissingKeys() {
    for (const KeyRow &Row : Keys) {
      if (!Row.m_Required || m_KeyLines.contains(&Row))
        continue;
      const std::string Key(Row.m_Key);
      const std::string Section(Row.m_Section);
      const std::string What =
          Key == "zone" ? "availability zone is missing" : Key + " is missing";
      std::string Remedy = "add " + Key + " = ";
      Remedy += Key.ends_with("address") ? "IP:PORT" : "NAME";
      Remedy += " to [" + Section + "]";
      refuse(What, Remedy, sectionLine(Section));
    }
  }

  int keyLine(std::string_view Section, std::string_view Key) const {
    for (const auto &[Row, Line] : m_KeyLines) {
      if (Row->m_Section == Section && Row->m_Key == Key)
        return Line;
    }
    return 0;
  }

  void refuseHalfTarget() {
    const int NameLine = keyLine("target", "name");
    const int AddressLine = keyLine("target", "address");
    if ((NameLine == 0) == (AddressLine == 0))
      return;
    const std::string Missing = NameLine == 0 ? "name" : "address";
    refuse("target " + Missing + " is missing",
           "give the target both name and address, or leave [target] out",
           sectionLine("target"));
  }

  void refuseSharedAddresses() {
    const std::pair<const char *, const std::string *> Addresses[] = {
        {"caller_address", &m_Result.m_CallerAddress},
        {"link_address", &m_Result.m_LinkAddress},
        {"operator_address", &m_Result.m_OperatorAddress},
        {"target address", &m_Result.m_TargetAddress},
        {"source address", &m_Result.m_SourceAddress},
    };
    std::map<Endpoint, std::string> Seen;
    for (const auto &[Name, Address] : Addresses) {
      const std::optional<Endpoint> Parsed = parseEndpoint(*Address);
      if (!Parsed)
        continue;
      const auto [Other, Fresh] = Seen.emplace(*Parsed, Name);
      if (Fresh)
        continue;
      refuse(std::string(Name) + " is the same as " + Other->second + ", " +
                 *Address,
             "give each its own port", addressLine(Name));
    }
  }

  int addressLine(const std::string &Name) const {
    const std::size_t Space = Name.find(' ');
    if (Space == std::string::npos)
      return keyLine("node", Name);
    return keyLine(Name.substr(0, Space), Name.substr(Space + 1));
  }

  std::string m_File;
  Settings m_Result;
  std::vector<Error> m_Faults;
  std::map<std::string, int, std::less<>> m_SectionLines;
  std::map<const KeyRow *, int> m_KeyLines;
};

} // namespace

std::vector<Error> checkSettings(std::string_view Text, const std::string &File,
                                 Settings &Result) {
  SettingsChecker Checker(File);
  Checker.check(Text);
  std::vector<Error> Faults = Checker.takeFaults();
  if (Faults.empty())
    Result = Checker.result();
  return Faults;
}

Settings readSettings(const std::string &File) {
  const std::string Text = readFile(File);
  Settings Result;
  const std::vector<Error> Faults = checkSettings(Text, File, Result);
  if (!Faults.empty())
    throw Faults.front();
  return Result;
}

} // namespace dandelionfall::app
