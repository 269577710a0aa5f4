#include "configuration_parts.h"

#include <xxhash.h>

#include <cstdio>

namespace dandelionfall::core {

namespace {

constexpr std::size_t DigestDigits = 16;
constexpr int Hexadecimal = 16;
constexpr std::size_t MaxParts = 100'000;

// Contents of the [manifest] section.
struct ManifestHeader {
  Version m_Version = 0;
  std::size_t m_PartCount = 0;
};

constexpr KeyHandler<ManifestHeader> HeaderKeys[] = {
    {"version",
     [](ManifestHeader &Header, const IniEntry &Entry,
        const IniSource &Source) {
       Header.m_Version = parseNumber<Version>(Entry, Source, 1);
     }},
    {"parts",
     [](ManifestHeader &Header, const IniEntry &Entry,
        const IniSource &Source) {
       Header.m_PartCount =
           parseNumber<std::size_t>(Entry, Source, 0, MaxParts);
     }},
};

constexpr std::string_view RequiredHeaderKeys[] = {"version", "parts"};

IniSource makeManifestSource() {
  return {ErrorKind::BadConfiguration, "manifest"};
}

bool isPartName(std::string_view Name) {
  if (Name.starts_with(ServicePrefix))
    return isName(Name.substr(ServicePrefix.size()));
  return Name == ZonesPart || Name == ProfilesPart || Name == TeamsPart;
}

// The length is checked because a truncated digest would be accepted as a
// smaller number.
Digest parseDigest(const IniEntry &Entry, const IniSource &Source) {
  if (Entry.m_Value.size() != DigestDigits)
    throw Source.makeFault("'" + Entry.m_Value + "' is not a digest",
                           "write 16 hexadecimal digits", Entry.m_Line);
  return parseNumber<Digest>(Entry, Source, 0,
                             std::numeric_limits<Digest>::max(), Hexadecimal);
}

void readPartList(const IniSection &Section, const IniSource &Source,
                  Manifest &List, FaultList &Faults) {
  for (const IniEntry &Entry : Section.m_Entries) {
    if (!isPartName(Entry.m_Key))
      Faults.push_back(Source.makeFault(
          "unknown part '" + Entry.m_Key + "'",
          "name parts zones, profiles, teams or service/NAME", Entry.m_Line));
    try {
      List.m_Parts.emplace(Entry.m_Key, parseDigest(Entry, Source));
    } catch (const Error &Fault) {
      Faults.push_back(Fault);
    }
  }
}

// The count of parts, the length of each digest and the final line break
// together detect a manifest truncated at any position.
void checkComplete(std::string_view Text, const ManifestHeader &Header,
                   const Manifest &List, const IniSource &Source,
                   FaultList &Faults) {
  if (Header.m_Version == 0 && Faults.empty())
    Faults.push_back(Source.makeFault(
        "no version",
        "add a [manifest] section with version = NUMBER and parts = COUNT", 0));
  if (Faults.empty() && Header.m_PartCount != List.m_Parts.size())
    Faults.push_back(Source.makeFault(
        std::to_string(List.m_Parts.size()) + " parts are listed instead of " +
            std::to_string(Header.m_PartCount),
        "publish the complete manifest, with parts = COUNT", 0));
  if (Faults.empty() && !Text.ends_with('\n'))
    Faults.push_back(Source.makeFault("last line has no line break",
                                      "publish the complete manifest", 0));
}

} // namespace

std::string formatDigest(Digest Value) {
  char Buffer[DigestDigits + 1];
  std::snprintf(Buffer, sizeof(Buffer), "%016llx",
                static_cast<unsigned long long>(Value));
  return Buffer;
}

Digest computeDigest(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

PartPtr makePart(std::string Name, std::string Text) {
  const Digest Value = computeDigest(Text);
  return std::make_shared<const Part>(
      Part{std::move(Name), Value, std::move(Text)});
}

Manifest readManifest(std::string_view Text) {
  const IniSource Source = makeManifestSource();
  if (Text.size() > MaxValueBytes)
    throw Source.makeFault("value is larger than 1 MB", "publish fewer parts",
                           0);
  const IniDocument Document = parseIni(Text, Source.m_File, Source.m_Kind);
  Manifest List;
  ManifestHeader Header;
  FaultList Faults;
  for (const IniSection &Section : Document.m_Sections) {
    const std::string Title = formatTitle(Section);
    if (Title == "manifest") {
      requireKeys(Section, Source, RequiredHeaderKeys, Faults);
      readEntries(Header, Section, Source, HeaderKeys, Faults);
    } else if (Title == "parts") {
      readPartList(Section, Source, List, Faults);
    } else {
      Faults.push_back(Source.makeFault("unknown section [" + Title + "]",
                                        "use [manifest] and [parts]",
                                        Section.m_Line));
    }
  }
  checkComplete(Text, Header, List, Source, Faults);
  if (!Faults.empty())
    throw Faults.front();
  List.m_Stamp = {Header.m_Version, computeDigest(Text)};
  return List;
}

std::string
writeManifest(Version Number,
              const std::map<std::string, Digest, std::less<>> &Parts) {
  std::string Text = "[manifest]\nversion = " + std::to_string(Number) +
                     "\nparts = " + std::to_string(Parts.size()) +
                     "\n[parts]\n";
  for (const auto &[Name, Value] : Parts)
    Text += Name + " = " + formatDigest(Value) + "\n";
  return Text;
}

} // namespace dandelionfall::core
