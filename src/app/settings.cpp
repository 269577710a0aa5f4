#include "dandelionfall/app/settings.h"

#include "app/file_reader.h"
#include "app/settings_teams.h"
#include "dandelionfall/core/ini_document.h"
#include "dandelionfall/core/ini_fields.h"
#include "dandelionfall/net/address.h"

#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <map>
#include <span>

namespace dandelionfall::app {

namespace {

using core::Error;
using core::ErrorKind;
using core::FaultList;
using core::IniEntry;
using core::IniSection;
using core::IniSource;
using core::KeyHandler;
using core::NamedValue;

constexpr std::size_t MaxNameLength = 253;
constexpr std::uint32_t MaxAssumedHosts = 1'000'000;
constexpr std::uint32_t MaxHolders = 16;
constexpr double MinSourceBudget = 0.001;
constexpr double MaxSourceBudget = 1'000'000;
constexpr std::size_t MaxSeeds = 64;

constexpr NamedValue<bool> Booleans[] = {{"true", true}, {"false", false}};

bool isNameCharacter(char Character) {
  const bool Letter = (Character >= 'a' && Character <= 'z') ||
                      (Character >= 'A' && Character <= 'Z');
  const bool Digit = Character >= '0' && Character <= '9';
  return Letter || Digit || Character == '-' || Character == '_' ||
         Character == '.';
}

template <std::string Settings::*Member>
void setName(Settings &Result, const IniEntry &Entry, const IniSource &Source) {
  const std::string &Value = Entry.m_Value;
  if (Value.empty() || Value.size() > MaxNameLength ||
      !std::all_of(Value.begin(), Value.end(), isNameCharacter))
    throw Source.makeFault("'" + Value + "' is not a valid value for " +
                               Entry.m_Key,
                           "write 1 to " + std::to_string(MaxNameLength) +
                               " letters, digits, '.', '-' or '_'",
                           Entry.m_Line);
  Result.*Member = Value;
}

template <std::string Settings::*Member>
void setAddress(Settings &Result, const IniEntry &Entry,
                const IniSource &Source) {
  Result.*Member = core::parseAddress(Entry, Source);
}

void setTargetAddress(Settings &Result, const IniEntry &Entry,
                      const IniSource &Source) {
  const std::string Value = core::parseAddress(Entry, Source);
  const auto Ip = net::parseEndpoint(Value).address();
  const bool IsOnThisHost =
      Ip.is_loopback() ||
      (!Result.m_LinkAddress.empty() &&
       Ip == net::parseEndpoint(Result.m_LinkAddress).address());
  if (!IsOnThisHost)
    throw Source.makeFault(
        "target address '" + Value + "' is not on this host",
        "let the target listen on a loopback address or on the address of "
        "[node] link_address, with [node] before [target], so that it is "
        "reached only through the node",
        Entry.m_Line);
  Result.m_TargetAddress = Value;
}

void setSourceProtocol(Settings &Result, const IniEntry &Entry,
                       const IniSource &Source) {
  constexpr NamedValue<SourceProtocol> Names[] = {
      {"published", SourceProtocol::Published},
      {"store", SourceProtocol::Store}};
  Result.m_SourceProtocol = core::parseNamedValue(Entry, Source, Names);
}

void setSeeds(Settings &Result, const IniEntry &Entry,
              const IniSource &Source) {
  std::vector<std::string> Texts;
  if (!Entry.m_Value.empty())
    boost::algorithm::split(Texts, Entry.m_Value,
                            [](char Character) { return Character == ','; });
  if (Texts.size() > MaxSeeds)
    throw Source.makeFault(std::to_string(Texts.size()) + " seeds are too many",
                           "list at most " + std::to_string(MaxSeeds) +
                               "; a few suffice",
                           Entry.m_Line);
  std::vector<std::string> Seeds;
  Seeds.reserve(Texts.size());
  for (const std::string &Text : Texts) {
    const IniEntry Seed{Entry.m_Key, boost::algorithm::trim_copy(Text),
                        Entry.m_Line};
    Seeds.push_back(core::parseAddress(Seed, Source));
  }
  Result.m_Seeds = std::move(Seeds);
}

template <std::uint32_t Settings::*Member, std::uint32_t Min, std::uint32_t Max>
void setNumber(Settings &Result, const IniEntry &Entry,
               const IniSource &Source) {
  Result.*Member = core::parseNumber(Entry, Source, Min, Max);
}

void setBudget(Settings &Result, const IniEntry &Entry,
               const IniSource &Source) {
  Result.m_SourceBudget =
      core::parseNumber(Entry, Source, MinSourceBudget, MaxSourceBudget);
}

void setLogLevel(Settings &Result, const IniEntry &Entry,
                 const IniSource &Source) {
  constexpr NamedValue<std::string_view> Levels[] = {{"debug", "debug"},
                                                     {"info", "info"},
                                                     {"warning", "warning"},
                                                     {"error", "error"}};
  Result.m_LogLevel = core::parseNamedValue(Entry, Source, Levels);
}

void setTraceRequests(Settings &Result, const IniEntry &Entry,
                      const IniSource &Source) {
  Result.m_TraceRequests = core::parseNamedValue(Entry, Source, Booleans);
}

constexpr KeyHandler<Settings> NodeKeys[] = {
    {"host", setName<&Settings::m_Host>},
    {"zone", setName<&Settings::m_Zone>},
    {"caller_address", setAddress<&Settings::m_CallerAddress>},
    {"link_address", setAddress<&Settings::m_LinkAddress>},
    {"operator_address", setAddress<&Settings::m_OperatorAddress>},
};
constexpr std::string_view RequiredNodeKeys[] = {
    "host", "zone", "caller_address", "link_address", "operator_address"};

constexpr KeyHandler<Settings> TargetKeys[] = {
    {"name", setName<&Settings::m_TargetName>},
    {"address", setTargetAddress},
    {"service", setName<&Settings::m_TargetService>},
};
constexpr std::string_view RequiredTargetKeys[] = {"name", "address"};

void setKeepsWrites(Settings &Result, const IniEntry &Entry,
                    const IniSource &Source) {
  Result.m_SourceKeepsWrites = core::parseNamedValue(Entry, Source, Booleans);
}

constexpr KeyHandler<Settings> SourceKeys[] = {
    {"address", setAddress<&Settings::m_SourceAddress>},
    {"protocol", setSourceProtocol},
    {"budget_calls_per_s", setBudget},
    {"keeps_writes", setKeepsWrites},
};
constexpr std::string_view RequiredSourceKeys[] = {"address"};

constexpr KeyHandler<Settings> OverlayKeys[] = {
    {"seeds", setSeeds},
    {"assumed_hosts", setNumber<&Settings::m_AssumedHosts, 1, MaxAssumedHosts>},
    {"holders", setNumber<&Settings::m_Holders, 0, MaxHolders>},
};

constexpr double MaxRetrySlack = 1'000'000;
constexpr double MaxRetryWindowS = 3600;

void setRetryRatio(Settings &Result, const IniEntry &Entry,
                   const IniSource &Source) {
  Result.m_Retries.m_Ratio = core::parseNumber(Entry, Source, 0.0, 1.0);
}

void setRetrySlack(Settings &Result, const IniEntry &Entry,
                   const IniSource &Source) {
  Result.m_Retries.m_Slack =
      core::parseNumber(Entry, Source, 0.0, MaxRetrySlack);
}

void setRetryWindow(Settings &Result, const IniEntry &Entry,
                    const IniSource &Source) {
  constexpr double MinRetryWindowS = 0.001;
  const std::chrono::duration<double> Seconds(
      core::parseNumber(Entry, Source, MinRetryWindowS, MaxRetryWindowS));
  Result.m_Retries.m_Window =
      std::chrono::duration_cast<core::Duration>(Seconds);
}

constexpr KeyHandler<Settings> RetryKeys[] = {
    {"ratio", setRetryRatio},
    {"slack", setRetrySlack},
    {"window_s", setRetryWindow},
};

constexpr double MaxLinkMbps = 1'000'000;
constexpr std::uint32_t MaxCores = 4096;
constexpr std::uint32_t MaxMemoryMb = 1U << 24U;
constexpr std::uint32_t MaxDescriptors = 1U << 24U;

void setProcessorShare(Settings &Result, const IniEntry &Entry,
                       const IniSource &Source) {
  Result.m_Machine.m_ProcessorShare =
      core::parseNumber(Entry, Source, 0.0, 1.0);
}

void setLinkMbps(Settings &Result, const IniEntry &Entry,
                 const IniSource &Source) {
  Result.m_Machine.m_LinkMbps =
      core::parseNumber(Entry, Source, 0.0, MaxLinkMbps);
}

template <std::uint32_t core::MachineLimits::*Member, std::uint32_t Max>
void setMachineNumber(Settings &Result, const IniEntry &Entry,
                      const IniSource &Source) {
  Result.m_Machine.*Member =
      core::parseNumber(Entry, Source, std::uint32_t{0}, Max);
}

constexpr KeyHandler<Settings> MachineKeys[] = {
    {"processor_share", setProcessorShare},
    {"cores", setMachineNumber<&core::MachineLimits::m_Cores, MaxCores>},
    {"memory_mb",
     setMachineNumber<&core::MachineLimits::m_MemoryMb, MaxMemoryMb>},
    {"descriptors",
     setMachineNumber<&core::MachineLimits::m_Descriptors, MaxDescriptors>},
    {"link_mbps", setLinkMbps},
};

constexpr std::uint32_t MaxLingerMs = 600'000;

constexpr double MaxGraceS = 3600;

void setGrace(Settings &Result, const IniEntry &Entry,
              const IniSource &Source) {
  // A settings template leaves the value empty if the platform states none.
  if (Entry.m_Value.empty())
    return;
  const std::chrono::duration<double> Seconds(
      core::parseNumber(Entry, Source, 0.0, MaxGraceS));
  Result.m_Grace = std::chrono::duration_cast<core::Duration>(Seconds);
}

constexpr KeyHandler<Settings> StopKeys[] = {
    {"grace_s", setGrace},
    {"linger_ms", setNumber<&Settings::m_LingerMs, 0, MaxLingerMs>},
};

constexpr KeyHandler<Settings> LogKeys[] = {
    {"level", setLogLevel},
    {"trace_requests", setTraceRequests},
};

/// Section of the settings file.
struct SectionRow {
  std::string_view m_Name;
  /// Whether the section is mandatory.
  bool m_Required;
  std::span<const std::string_view> m_RequiredKeys;
  void (*m_Read)(Settings &, const IniSection &, const IniSource &,
                 FaultList &);
};

template <const auto &Handlers>
void readSection(Settings &Result, const IniSection &Section,
                 const IniSource &Source, FaultList &Faults) {
  core::readEntries(Result, Section, Source, Handlers, Faults);
}

// Each key is the name of an availability zone; its value is the region.
void readZones(Settings &Result, const IniSection &Section,
               const IniSource &Source, FaultList &Faults) {
  for (const IniEntry &Entry : Section.m_Entries) {
    const std::string &Region = Entry.m_Value;
    if (Region.empty() || Region.size() > MaxNameLength ||
        !std::all_of(Region.begin(), Region.end(), isNameCharacter)) {
      Faults.push_back(Source.makeFault(
          "'" + Region + "' is not a valid region",
          "write ZONE = REGION with letters, digits, '.', '-' or '_'",
          Entry.m_Line));
      continue;
    }
    Result.m_Zones.insert_or_assign(Entry.m_Key, Region);
  }
}

constexpr SectionRow Sections[] = {
    {"node", true, RequiredNodeKeys, readSection<NodeKeys>},
    {"target", false, RequiredTargetKeys, readSection<TargetKeys>},
    {"source", true, RequiredSourceKeys, readSection<SourceKeys>},
    {"overlay", false, {}, readSection<OverlayKeys>},
    {"zones", false, {}, readZones},
    {"retries", false, {}, readSection<RetryKeys>},
    {"revocation", false, RequiredRevocationKeys, readRevocation},
    {"quota", false, {}, readQuota},
    {"zone_traffic", false, RequiredZoneTrafficKeys, readZoneTraffic},
    {"machine", false, {}, readSection<MachineKeys>},
    {"stop", false, {}, readSection<StopKeys>},
    {"log", false, {}, readSection<LogKeys>},
};

const SectionRow *findRow(const IniSection &Section) {
  for (const SectionRow &Row : Sections) {
    if (Row.m_Name == Section.m_Type && Section.m_Name.empty())
      return &Row;
  }
  return nullptr;
}

const IniSection *findSection(const core::IniDocument &Document,
                              std::string_view Name) {
  for (const IniSection &Section : Document.m_Sections) {
    if (Section.m_Type == Name && Section.m_Name.empty())
      return &Section;
  }
  return nullptr;
}

Error makeUnknownSectionFault(const IniSection &Section,
                              const IniSource &Source) {
  const std::string Title = Section.m_Name.empty()
                                ? Section.m_Type
                                : Section.m_Type + " " + Section.m_Name;
  std::string Known;
  for (const SectionRow &Row : Sections)
    Known.append(Known.empty() ? "" : ", ").append(Row.m_Name);
  return Source.makeFault("unknown section [" + Title + "]",
                          "use one of: " + Known, Section.m_Line);
}

// Faults of an absent section are reported at line 1.
void checkRequiredKeys(const core::IniDocument &Document,
                       const IniSource &Source, FaultList &Faults) {
  for (const SectionRow &Row : Sections) {
    const IniSection Absent{std::string(Row.m_Name), "", 1, {}};
    const IniSection *Section = findSection(Document, Row.m_Name);
    if (Section == nullptr && !Row.m_Required)
      continue;
    core::requireKeys(Section == nullptr ? Absent : *Section, Source,
                      Row.m_RequiredKeys, Faults);
  }
}

/// Setting that holds the address of a listener; all must differ.
struct AddressRow {
  std::string_view m_Section;
  std::string_view m_Key;
  std::string Settings::*m_Member;
};

constexpr AddressRow Addresses[] = {
    {"node", "caller_address", &Settings::m_CallerAddress},
    {"node", "link_address", &Settings::m_LinkAddress},
    {"node", "operator_address", &Settings::m_OperatorAddress},
    {"target", "address", &Settings::m_TargetAddress},
    {"source", "address", &Settings::m_SourceAddress},
};

void checkSharedAddresses(const core::IniDocument &Document,
                          const Settings &Result, const IniSource &Source,
                          FaultList &Faults) {
  std::map<boost::asio::ip::tcp::endpoint, const AddressRow *> Seen;
  for (const AddressRow &Row : Addresses) {
    const std::string &Address = Result.*Row.m_Member;
    if (Address.empty())
      continue;
    const auto [Earlier, IsNew] =
        Seen.emplace(net::parseEndpoint(Address), &Row);
    if (IsNew)
      continue;
    const IniSection *Section = findSection(Document, Row.m_Section);
    std::string Fault = "[" + std::string(Row.m_Section) + "] ";
    Fault.append(Row.m_Key).append(" is the same as [");
    Fault.append(Earlier->second->m_Section).append("] ");
    Fault.append(Earlier->second->m_Key).append(", ").append(Address);
    Faults.push_back(Source.makeFault(Fault, "use a different port for each",
                                      Section->find(Row.m_Key)->m_Line));
  }
}

// Without proofs every request with a key would be rejected.
void checkProofs(const core::IniDocument &Document, const Settings &Result,
                 const IniSource &Source, FaultList &Faults) {
  if (Result.m_MaxProofAge && !needsProofs(Result))
    Faults.push_back(Source.makeFault(
        "[revocation] needs proofs, which only a store gives",
        "set protocol = store in [source], or remove [revocation]",
        findSection(Document, "revocation")->m_Line));
}

} // namespace

std::vector<Error> checkSettings(std::string_view Text, const std::string &File,
                                 Settings &Result) {
  const IniSource Source{ErrorKind::BadSettings, File};
  FaultList Faults;
  core::IniDocument Document;
  try {
    Document = core::parseIni(Text, File, Source.m_Kind);
  } catch (const Error &Fault) {
    return {Fault};
  }
  Settings Parsed;
  for (const IniSection &Section : Document.m_Sections) {
    const SectionRow *Row = findRow(Section);
    if (Row == nullptr) {
      Faults.push_back(makeUnknownSectionFault(Section, Source));
      continue;
    }
    Row->m_Read(Parsed, Section, Source, Faults);
  }
  checkRequiredKeys(Document, Source, Faults);
  checkSharedAddresses(Document, Parsed, Source, Faults);
  checkProofs(Document, Parsed, Source, Faults);
  std::stable_sort(Faults.begin(), Faults.end(),
                   [](const Error &Left, const Error &Right) {
                     return Left.location().m_Line < Right.location().m_Line;
                   });
  if (Faults.empty())
    Result = Parsed;
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
