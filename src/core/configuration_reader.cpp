#include "dandelionfall/core/configuration_reader.h"

#include "dandelionfall/core/ini_document.h"

#include <xxhash.h>

#include <charconv>
#include <cstdio>
#include <limits>
#include <set>

namespace dandelionfall::core {

namespace {

constexpr std::string_view ServicePrefix = "service/";

[[noreturn]] void refuse(const std::string &Fault, const std::string &Remedy,
                         const std::string &File, int Line) {
  throw Error(ErrorKind::BadConfiguration, Fault, Remedy, {File, Line});
}

template <typename Number>
Number parseNumber(const IniEntry &Entry, const std::string &File,
                   int Base = 10, Number Least = 0,
                   Number Most = std::numeric_limits<Number>::max()) {
  Number Value{};
  const char *Begin = Entry.m_Value.data();
  const char *End = Begin + Entry.m_Value.size();
  const auto [Rest, Code] = std::from_chars(Begin, End, Value, Base);
  if (Code != std::errc() || Rest != End || Value < Least || Value > Most)
    refuse("'" + Entry.m_Value + "' is no valid " + Entry.m_Key,
           "write a whole number from " + std::to_string(Least) + " to " +
               std::to_string(Most),
           File, Entry.m_Line);
  return Value;
}

std::string formatDigest(Digest Value) {
  char Buffer[17];
  std::snprintf(Buffer, sizeof(Buffer), "%016llx",
                static_cast<unsigned long long>(Value));
  return Buffer;
}

// Sets one field from an entry; a table of these is the list of a section's
// keys.
template <typename Value> struct KeyHandler {
  std::string_view m_Key;
  void (*m_Set)(Value &, const IniEntry &, const std::string &);
};

template <typename Value, std::size_t Count>
void readEntries(Value &Target, const IniSection &Section,
                 const std::string &File,
                 const KeyHandler<Value> (&Handlers)[Count]) {
  for (const IniEntry &Entry : Section.m_Entries) {
    const KeyHandler<Value> *Found = nullptr;
    std::string Known;
    for (const KeyHandler<Value> &Handler : Handlers) {
      Known += (Known.empty() ? "" : ", ") + std::string(Handler.m_Key);
      if (Handler.m_Key == Entry.m_Key)
        Found = &Handler;
    }
    if (Found == nullptr)
      refuse("unknown key '" + Entry.m_Key + "'", "use one of: " + Known, File,
             Entry.m_Line);
    Found->m_Set(Target, Entry, File);
  }
}

constexpr KeyHandler<Zone> ZoneKeys[] = {
    {"region", [](Zone &Value, const IniEntry &Entry,
                  const std::string &) { Value.m_Region = Entry.m_Value; }},
    {"state",
     [](Zone &Value, const IniEntry &Entry, const std::string &File) {
       if (Entry.m_Value != "in" && Entry.m_Value != "out")
         refuse("unknown state '" + Entry.m_Value + "'", "write in or out",
                File, Entry.m_Line);
       Value.m_State = Entry.m_Value == "in" ? ZoneState::In : ZoneState::Out;
     }},
};

template <Duration Profile::*Member>
void setMilliseconds(Profile &Value, const IniEntry &Entry,
                     const std::string &File) {
  constexpr std::uint32_t OneDayMs = 86'400'000;
  Value.*Member = std::chrono::milliseconds(
      parseNumber<std::uint32_t>(Entry, File, 10, 1, OneDayMs));
}

template <std::uint32_t Profile::*Member, std::uint32_t Least,
          std::uint32_t Most>
void setProfileNumber(Profile &Value, const IniEntry &Entry,
                      const std::string &File) {
  Value.*Member = parseNumber<std::uint32_t>(Entry, File, 10, Least, Most);
}

constexpr std::uint32_t MaxQueueLimit = 100'000;
constexpr std::uint32_t MaxBodyBytes = 8U << 20U;

constexpr KeyHandler<Profile> ProfileKeys[] = {
    {"deadline_ms", setMilliseconds<&Profile::m_Deadline>},
    {"try_timeout_ms", setMilliseconds<&Profile::m_TryTimeout>},
    {"queue_limit", setProfileNumber<&Profile::m_QueueLimit, 0, MaxQueueLimit>},
    {"retry_percent", setProfileNumber<&Profile::m_RetryPercent, 0, 100>},
    {"max_body_bytes",
     setProfileNumber<&Profile::m_MaxBodyBytes, 0, MaxBodyBytes>},
    {"cold_start_limit",
     setProfileNumber<&Profile::m_ColdStartLimit, 1, MaxQueueLimit>},
    {"cold_start_requests",
     setProfileNumber<&Profile::m_ColdStartRequests, 0, MaxQueueLimit>},
};

constexpr KeyHandler<Service> ServiceKeys[] = {
    {"profile", [](Service &Value, const IniEntry &Entry,
                   const std::string &) { Value.m_Profile = Entry.m_Value; }},
};

constexpr KeyHandler<Route> RouteKeys[] = {
    {"host_name",
     [](Route &Value, const IniEntry &Entry, const std::string &) {
       Value.m_HostName = Entry.m_Value;
     }},
    {"idempotent",
     [](Route &Value, const IniEntry &Entry, const std::string &File) {
       if (Entry.m_Value == "by-method")
         Value.m_Idempotency = Idempotency::ByMethod;
       else if (Entry.m_Value == "always")
         Value.m_Idempotency = Idempotency::Always;
       else if (Entry.m_Value == "never")
         Value.m_Idempotency = Idempotency::Never;
       else
         refuse("unknown idempotent value '" + Entry.m_Value + "'",
                "write by-method, always or never", File, Entry.m_Line);
     }},
};

constexpr KeyHandler<Target> TargetKeys[] = {
    {"host", [](Target &Value, const IniEntry &Entry,
                const std::string &) { Value.m_Host = Entry.m_Value; }},
    {"zone", [](Target &Value, const IniEntry &Entry,
                const std::string &) { Value.m_Zone = Entry.m_Value; }},
    {"gate", [](Target &Value, const IniEntry &Entry,
                const std::string &) { Value.m_GateAddress = Entry.m_Value; }},
    {"slots",
     [](Target &Value, const IniEntry &Entry, const std::string &File) {
       Value.m_Slots =
           parseNumber<std::uint32_t>(Entry, File, 10, 1, MaxQueueLimit);
     }},
    {"connections",
     [](Target &Value, const IniEntry &Entry, const std::string &File) {
       Value.m_Connections =
           parseNumber<std::uint32_t>(Entry, File, 10, 1, MaxQueueLimit);
     }},
};

[[noreturn]] void refuseSection(const IniSection &Section,
                                const std::string &File) {
  refuse("unknown section [" + Section.m_Type + "]",
         "see docs/CONFIGURATION.md for the sections of this value", File,
         Section.m_Line);
}

const PartPtr &requirePart(const PartMap &Parts, const std::string &Name,
                           Digest Wanted) {
  const auto Found = Parts.find(Name);
  if (Found == Parts.end())
    refuse("part is missing", "publish every part that the manifest lists",
           Name, 0);
  if (Found->second->m_Digest != Wanted)
    refuse("digest " + formatDigest(Found->second->m_Digest) +
               " differs from the manifest's " + formatDigest(Wanted),
           "publish the manifest last", Name, 0);
  return Found->second;
}

void readZones(const Part &Source, Configuration &Config) {
  const IniDocument Document =
      parseIni(Source.m_Text, Source.m_Name, ErrorKind::BadConfiguration);
  for (const IniSection &Section : Document.m_Sections) {
    if (Section.m_Type != "zone" || Section.m_Name.empty())
      refuseSection(Section, Source.m_Name);
    Zone Value;
    Value.m_Name = Section.m_Name;
    readEntries(Value, Section, Source.m_Name, ZoneKeys);
    Config.m_Zones.emplace(Value.m_Name, std::move(Value));
  }
}

void readProfiles(const Part &Source, Configuration &Config) {
  const IniDocument Document =
      parseIni(Source.m_Text, Source.m_Name, ErrorKind::BadConfiguration);
  for (const IniSection &Section : Document.m_Sections) {
    if (Section.m_Type != "profile" || Section.m_Name.empty())
      refuseSection(Section, Source.m_Name);
    Profile Value;
    Value.m_Name = Section.m_Name;
    readEntries(Value, Section, Source.m_Name, ProfileKeys);
    Config.m_Profiles.emplace(Value.m_Name, std::move(Value));
  }
}

std::shared_ptr<const Service> readService(const Part &Source) {
  const IniDocument Document =
      parseIni(Source.m_Text, Source.m_Name, ErrorKind::BadConfiguration);
  auto Value = std::make_shared<Service>();
  Value->m_Name = Source.m_Name.substr(ServicePrefix.size());
  for (const IniSection &Section : Document.m_Sections) {
    if (Section.m_Type == "service" && Section.m_Name == Value->m_Name) {
      readEntries(*Value, Section, Source.m_Name, ServiceKeys);
    } else if (Section.m_Type == "route" && !Section.m_Name.empty()) {
      Route Entry;
      Entry.m_PathPrefix = Section.m_Name;
      readEntries(Entry, Section, Source.m_Name, RouteKeys);
      Value->m_Routes.push_back(std::move(Entry));
    } else if (Section.m_Type == "target" && !Section.m_Name.empty()) {
      Target Entry;
      Entry.m_Name = Section.m_Name;
      readEntries(Entry, Section, Source.m_Name, TargetKeys);
      Value->m_Targets.push_back(std::move(Entry));
    } else {
      refuseSection(Section, Source.m_Name);
    }
  }
  return Value;
}

void checkReferences(const Configuration &Config) {
  std::set<std::string> TargetNames;
  for (const auto &[Name, ServicePtr] : Config.m_Services) {
    const std::string File = std::string(ServicePrefix) + Name;
    if (!Config.m_Profiles.contains(ServicePtr->m_Profile))
      refuse("profile '" + ServicePtr->m_Profile + "' is not defined",
             "name a profile of the profiles part", File, 0);
    for (const Target &Entry : ServicePtr->m_Targets) {
      if (!Config.m_Zones.contains(Entry.m_Zone))
        refuse("target " + Entry.m_Name + ": availability zone '" +
                   Entry.m_Zone + "' is not defined",
               "name an availability zone of the zones part", File, 0);
      if (!TargetNames.insert(Entry.m_Name).second)
        refuse("target " + Entry.m_Name + " is defined twice",
               "give each target a name of its own", File, 0);
    }
  }
}

std::shared_ptr<const Service> reuseService(const std::string &Name,
                                            Digest Wanted,
                                            const Configuration *Previous,
                                            const PartMap *PreviousParts) {
  if (Previous == nullptr || PreviousParts == nullptr)
    return nullptr;
  const auto OldPart = PreviousParts->find(Name);
  if (OldPart == PreviousParts->end() || OldPart->second->m_Digest != Wanted)
    return nullptr;
  const auto Found =
      Previous->m_Services.find(Name.substr(ServicePrefix.size()));
  return Found == Previous->m_Services.end() ? nullptr : Found->second;
}

} // namespace

Digest digestOf(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

PartPtr makePart(std::string Name, std::string Text) {
  const Digest Value = digestOf(Text);
  return std::make_shared<const Part>(
      Part{std::move(Name), Value, std::move(Text)});
}

Manifest readManifest(std::string_view Text) {
  constexpr int Hexadecimal = 16;
  const std::string File = "manifest";
  if (Text.size() > MaxValueBytes)
    refuse("value is larger than 1 MB", "split it into smaller parts", File, 0);
  const IniDocument Document =
      parseIni(Text, File, ErrorKind::BadConfiguration);
  Manifest List;
  for (const IniSection &Section : Document.m_Sections) {
    if (Section.m_Type == "manifest") {
      const IniEntry *Entry = Section.find("version");
      if (Entry == nullptr || Section.m_Entries.size() != 1)
        refuse("[manifest] needs the key version and no other",
               "write version = NUMBER", File, Section.m_Line);
      List.m_Stamp.m_Version =
          parseNumber<Version>(*Entry, File, 10, Version{1});
    } else if (Section.m_Type == "parts") {
      for (const IniEntry &Entry : Section.m_Entries)
        List.m_Parts.emplace(Entry.m_Key,
                             parseNumber<Digest>(Entry, File, Hexadecimal));
    } else {
      refuseSection(Section, File);
    }
  }
  if (List.m_Stamp.m_Version == 0)
    refuse("no version", "add a [manifest] section with version = NUMBER", File,
           0);
  List.m_Stamp.m_Digest = digestOf(Text);
  return List;
}

std::string
writeManifest(Version Number,
              const std::map<std::string, Digest, std::less<>> &Parts) {
  std::string Text =
      "[manifest]\nversion = " + std::to_string(Number) + "\n[parts]\n";
  for (const auto &[Name, Value] : Parts)
    Text += Name + " = " + formatDigest(Value) + "\n";
  return Text;
}

ConfigurationPtr buildConfiguration(const Manifest &List, const PartMap &Parts,
                                    const Configuration *Previous,
                                    const PartMap *PreviousParts) {
  auto Config = std::make_shared<Configuration>();
  Config->m_Stamp = List.m_Stamp;
  for (const auto &[Name, Wanted] : List.m_Parts) {
    const PartPtr &Source = requirePart(Parts, Name, Wanted);
    if (Name == "zones") {
      readZones(*Source, *Config);
      continue;
    }
    if (Name == "profiles") {
      readProfiles(*Source, *Config);
      continue;
    }
    if (!Name.starts_with(ServicePrefix))
      refuse("unknown part", "name parts zones, profiles or service/NAME", Name,
             0);
    auto Value = reuseService(Name, Wanted, Previous, PreviousParts);
    if (Value == nullptr)
      Value = readService(*Source);
    Config->m_Services.emplace(Value->m_Name, std::move(Value));
  }
  checkReferences(*Config);
  return Config;
}

} // namespace dandelionfall::core
