#include "configuration_parts.h"

#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <limits>

namespace dandelionfall::core {

namespace {

constexpr std::size_t MaxNameBytes = 128;
constexpr std::uint32_t OneDayMs = 86'400'000;
constexpr std::uint32_t MaxQueueLimit = 100'000;
constexpr std::uint32_t MaxBodyBytes = 8U << 20U;
constexpr std::uint32_t MaxPercent = 100;

constexpr const char *NameRemedy =
    "use letters, digits, '-', '_' and '.', at most 128";

// Parses a name that refers to something else; an empty name is a fault.
template <typename Value, std::string Value::*Member>
void setName(Value &Target, const IniEntry &Entry, const IniSource &Source) {
  if (!isName(Entry.m_Value))
    throw Source.makeFault("'" + Entry.m_Value + "' is not a valid value for " +
                               Entry.m_Key,
                           NameRemedy, Entry.m_Line);
  Target.*Member = Entry.m_Value;
}

template <typename Value, std::uint32_t Value::*Member, std::uint32_t Least,
          std::uint32_t Most>
void setNumber(Value &Target, const IniEntry &Entry, const IniSource &Source) {
  Target.*Member = parseNumber<std::uint32_t>(Entry, Source, Least, Most);
}

template <Duration Profile::*Member>
void setMilliseconds(Profile &Target, const IniEntry &Entry,
                     const IniSource &Source) {
  Target.*Member = std::chrono::milliseconds(
      parseNumber<std::uint32_t>(Entry, Source, 1, OneDayMs));
}

constexpr NamedValue<ZoneState> ZoneStates[] = {{"in", ZoneState::In},
                                                {"out", ZoneState::Out}};

constexpr NamedValue<Idempotency> Idempotencies[] = {
    {"by-method", Idempotency::ByMethod},
    {"always", Idempotency::Always},
    {"never", Idempotency::Never},
};

constexpr NamedValue<bool> Booleans[] = {{"true", true}, {"false", false}};

constexpr KeyHandler<Zone> ZoneKeys[] = {
    {"region", setName<Zone, &Zone::m_Region>},
    {"state",
     [](Zone &Target, const IniEntry &Entry, const IniSource &Source) {
       Target.m_State = parseNamedValue(Entry, Source, ZoneStates);
     }},
};

constexpr KeyHandler<Profile> ProfileKeys[] = {
    {"deadline_ms", setMilliseconds<&Profile::m_Deadline>},
    {"try_timeout_ms", setMilliseconds<&Profile::m_AttemptTimeout>},
    {"queue_limit",
     setNumber<Profile, &Profile::m_QueueLimit, 0, MaxQueueLimit>},
    {"retry_percent",
     setNumber<Profile, &Profile::m_RetryPercent, 0, MaxPercent>},
    {"max_body_bytes",
     setNumber<Profile, &Profile::m_MaxBodyBytes, 0, MaxBodyBytes>},
    {"cold_start_limit",
     setNumber<Profile, &Profile::m_ColdStartLimit, 1, MaxQueueLimit>},
    {"cold_start_requests",
     setNumber<Profile, &Profile::m_ColdStartRequests, 0, MaxQueueLimit>},
};

constexpr KeyHandler<Service> ServiceKeys[] = {
    {"profile", setName<Service, &Service::m_Profile>},
};

bool isVisibleCharacter(char Character) {
  return Character > ' ' && Character < '\x7f';
}

void setHostName(Route &Target, const IniEntry &Entry,
                 const IniSource &Source) {
  const bool IsLower = std::none_of(
      Entry.m_Value.begin(), Entry.m_Value.end(),
      [](char Character) { return Character >= 'A' && Character <= 'Z'; });
  if (!isName(Entry.m_Value) || !IsLower)
    throw Source.makeFault(
        "'" + Entry.m_Value + "' is not a valid value for host_name",
        "write it in lower case and without a port", Entry.m_Line);
  Target.m_HostName = Entry.m_Value;
}

constexpr KeyHandler<Route> RouteKeys[] = {
    {"host_name", setHostName},
    {"idempotent",
     [](Route &Target, const IniEntry &Entry, const IniSource &Source) {
       Target.m_Idempotency = parseNamedValue(Entry, Source, Idempotencies);
     }},
    {"public",
     [](Route &Target, const IniEntry &Entry, const IniSource &Source) {
       Target.m_Public = parseNamedValue(Entry, Source, Booleans);
     }},
};

constexpr double MaxQuotaValue = 1e9;

template <double TeamQuota::*Member>
void setQuota(TeamDefinition &Target, const IniEntry &Entry,
              const IniSource &Source) {
  Target.m_Team.m_Quota.*Member =
      parseNumber(Entry, Source, 0.0, MaxQuotaValue);
}

// Faults don't quote the value, which holds keys.
void setKeys(TeamDefinition &Target, const IniEntry &Entry,
             const IniSource & /*Source*/) {
  boost::algorithm::split(Target.m_Keys, Entry.m_Value,
                          [](char Character) { return Character == ','; });
  for (std::string &Key : Target.m_Keys)
    boost::algorithm::trim(Key);
}

constexpr KeyHandler<TeamDefinition> TeamKeys[] = {
    {"keys", setKeys},
    {"priority",
     [](TeamDefinition &Target, const IniEntry &Entry,
        const IniSource &Source) {
       Target.m_Team.m_Priority = parseNumber<std::uint32_t>(
           Entry, Source, 0, std::numeric_limits<std::int16_t>::max());
     }},
    {"rate_per_s", setQuota<&TeamQuota::m_RatePerSecond>},
    {"burst", setQuota<&TeamQuota::m_Burst>},
};

constexpr KeyHandler<Target> TargetKeys[] = {
    {"host", setName<Target, &Target::m_Host>},
    {"zone", setName<Target, &Target::m_Zone>},
    {"gate",
     [](Target &Value, const IniEntry &Entry, const IniSource &Source) {
       Value.m_GateAddress = parseAddress(Entry, Source);
     }},
    {"slots", setNumber<Target, &Target::m_Slots, 1, MaxQueueLimit>},
    {"connections",
     setNumber<Target, &Target::m_Connections, 1, MaxQueueLimit>},
};

constexpr std::string_view RequiredServiceKeys[] = {"profile"};
constexpr std::string_view RequiredTargetKeys[] = {"host", "zone", "gate"};

// What stands before a '=' in a list of keys that was broken into lines looks
// like the name of an entry, so such names are not quoted.
void readTeamEntries(TeamDefinition &Entry, IniSection Section,
                     const IniSource &Context, FaultList &Faults) {
  std::erase_if(Section.m_Entries, [&](const IniEntry &Each) {
    const bool IsKnown =
        std::any_of(std::begin(TeamKeys), std::end(TeamKeys),
                    [&](const auto &Row) { return Row.m_Key == Each.m_Key; });
    if (!IsKnown)
      Faults.push_back(Context.makeFault(
          "unknown key in a team",
          "use one of: keys, priority, rate_per_s, burst", Each.m_Line));
    return !IsKnown;
  });
  readEntries(Entry, Section, Context, TeamKeys, Faults);
}

IniSource makeIniSource(const Part &Source) {
  return {ErrorKind::BadConfiguration, Source.m_Name};
}

Error makeUnknownSectionFault(const IniSection &Section,
                              const IniSource &Source,
                              const std::string &Known) {
  return Source.makeFault("unknown section [" + formatTitle(Section) + "]",
                          "use " + Known, Section.m_Line);
}

void checkSectionName(const IniSection &Section, const IniSource &Source,
                      FaultList &Faults) {
  if (!isName(Section.m_Name))
    Faults.push_back(Source.makeFault(
        "'" + Section.m_Name + "' is not a valid " + Section.m_Type + " name",
        NameRemedy, Section.m_Line));
}

void checkPathPrefix(const IniSection &Section, const IniSource &Source,
                     FaultList &Faults) {
  const std::string &Path = Section.m_Name;
  const bool HasPlainCharacters =
      std::all_of(Path.begin(), Path.end(), isVisibleCharacter) &&
      Path.find_first_of("?#") == std::string::npos;
  if (!Path.starts_with('/') || !HasPlainCharacters)
    Faults.push_back(Source.makeFault(
        "'" + Path + "' is not a valid path prefix",
        "start it with '/', without spaces, '?' and '#'", Section.m_Line));
}

// Parses the sections of a part; invalid INI text adds a single fault.
std::vector<IniSection> parseSections(const Part &Source, FaultList &Faults) {
  const IniSource Context = makeIniSource(Source);
  if (Source.m_Text.size() > MaxValueBytes) {
    Faults.push_back(
        Context.makeFault("value is larger than 1 MB", "make it smaller", 0));
    return {};
  }
  try {
    return parseIni(Source.m_Text, Context.m_File, Context.m_Kind).m_Sections;
  } catch (const Error &Fault) {
    Faults.push_back(Fault);
    return {};
  }
}

// Parses a part in which all sections have the same type.
template <typename Value, std::size_t Count>
void readNamedSections(const Part &Source, const std::string &Type,
                       const KeyHandler<Value> (&Handlers)[Count],
                       std::map<std::string, Value, std::less<>> &Result,
                       FaultList &Faults) {
  const IniSource Context = makeIniSource(Source);
  for (const IniSection &Section : parseSections(Source, Faults)) {
    if (Section.m_Type != Type) {
      Faults.push_back(
          makeUnknownSectionFault(Section, Context, "[" + Type + " NAME]"));
      continue;
    }
    checkSectionName(Section, Context, Faults);
    Value Entry;
    Entry.m_Name = Section.m_Name;
    readEntries(Entry, Section, Context, Handlers, Faults);
    Result.emplace(Entry.m_Name, std::move(Entry));
  }
}

void readRoute(const IniSection &Section, const IniSource &Context,
               Service &Owner, FaultList &Faults) {
  checkPathPrefix(Section, Context, Faults);
  Route Entry;
  Entry.m_PathPrefix = Section.m_Name;
  readEntries(Entry, Section, Context, RouteKeys, Faults);
  Owner.m_Routes.push_back(std::move(Entry));
}

void readTarget(const IniSection &Section, const IniSource &Context,
                Service &Owner, FaultList &Faults) {
  checkSectionName(Section, Context, Faults);
  requireKeys(Section, Context, RequiredTargetKeys, Faults);
  Target Entry;
  Entry.m_Name = Section.m_Name;
  readEntries(Entry, Section, Context, TargetKeys, Faults);
  Owner.m_Targets.push_back(std::move(Entry));
}

} // namespace

bool isName(std::string_view Text) {
  const auto IsNameCharacter = [](char Character) {
    return (Character >= 'a' && Character <= 'z') ||
           (Character >= 'A' && Character <= 'Z') ||
           (Character >= '0' && Character <= '9') || Character == '-' ||
           Character == '_' || Character == '.';
  };
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::all_of(Text.begin(), Text.end(), IsNameCharacter);
}

void readZones(const Part &Source, Configuration &Config, FaultList &Faults) {
  readNamedSections(Source, "zone", ZoneKeys, Config.m_Zones, Faults);
}

void readProfiles(const Part &Source, Configuration &Config,
                  FaultList &Faults) {
  readNamedSections(Source, "profile", ProfileKeys, Config.m_Profiles, Faults);
}

void readTeams(const Part &Source, Configuration &Config, FaultList &Faults) {
  const IniSource Context = makeIniSource(Source);
  std::vector<TeamDefinition> Definitions;
  std::vector<int> Lines;
  for (const IniSection &Section : parseSections(Source, Faults)) {
    if (Section.m_Type != "team") {
      Faults.push_back(
          makeUnknownSectionFault(Section, Context, "[team NAME]"));
      continue;
    }
    checkSectionName(Section, Context, Faults);
    TeamDefinition &Entry = Definitions.emplace_back();
    Entry.m_Team.m_Name = Section.m_Name;
    readTeamEntries(Entry, Section, Context, Faults);
    Lines.push_back(Section.m_Line);
  }
  if (const auto Fault = findTeamFault(Definitions))
    Faults.push_back(Context.makeFault(Fault->m_Fault, Fault->m_Remedy,
                                       Lines[Fault->m_Index]));
  if (!Definitions.empty())
    Config.m_Teams = std::make_shared<const TeamTable>(Definitions);
}

std::shared_ptr<const Service> readService(const Part &Source,
                                           FaultList &Faults) {
  const IniSource Context = makeIniSource(Source);
  auto Value = std::make_shared<Service>();
  Value->m_Name = Source.m_Name.substr(ServicePrefix.size());
  bool HasServiceSection = false;
  const std::size_t FaultsBefore = Faults.size();
  const std::vector<IniSection> Sections = parseSections(Source, Faults);
  const bool IsReadable = Faults.size() == FaultsBefore;
  for (const IniSection &Section : Sections) {
    if (Section.m_Type == "service" && Section.m_Name == Value->m_Name) {
      HasServiceSection = true;
      requireKeys(Section, Context, RequiredServiceKeys, Faults);
      readEntries(*Value, Section, Context, ServiceKeys, Faults);
    } else if (Section.m_Type == "route") {
      readRoute(Section, Context, *Value, Faults);
    } else if (Section.m_Type == "target") {
      readTarget(Section, Context, *Value, Faults);
    } else {
      Faults.push_back(makeUnknownSectionFault(
          Section, Context,
          "[service " + Value->m_Name + "], [route /PATH] and [target NAME]"));
    }
  }
  if (IsReadable && !HasServiceSection)
    Faults.push_back(
        Context.makeFault("section [service " + Value->m_Name + "] is missing",
                          "add it with profile = NAME", 0));
  Value->m_Routes.shrink_to_fit();
  Value->m_Targets.shrink_to_fit();
  return Value;
}

} // namespace dandelionfall::core
