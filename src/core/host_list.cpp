#include "dandelionfall/core/host_list.h"

#include "dandelionfall/core/ini_document.h"
#include "dandelionfall/core/ini_fields.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

namespace {

const std::string ListName = "hosts";
constexpr std::string_view HostPartPrefix = "host/";

const IniSource Source = {ErrorKind::BadConfiguration, ListName};

// Contents of the [hosts] section.
struct ListHeader {
  Version m_Revision = 0;
  std::size_t m_Count = 0;
};

constexpr std::size_t MaxHosts = 100'000;

constexpr KeyHandler<ListHeader> HeaderKeys[] = {
    {"revision",
     [](ListHeader &Header, const IniEntry &Entry, const IniSource &From) {
       Header.m_Revision = parseNumber<Version>(Entry, From, 1);
     }},
    {"count",
     [](ListHeader &Header, const IniEntry &Entry, const IniSource &From) {
       Header.m_Count = parseNumber<std::size_t>(Entry, From, 0, MaxHosts);
     }},
};

constexpr std::string_view RequiredHeaderKeys[] = {"revision", "count"};

constexpr NamedValue<HostState> States[] = {{"live", HostState::Live},
                                            {"leaving", HostState::Leaving}};

constexpr KeyHandler<HostEntry> HostKeys[] = {
    {"zone",
     [](HostEntry &Host, const IniEntry &Entry, const IniSource &From) {
       Host.m_Zone = parseNonEmptyText(Entry, From);
     }},
    {"address",
     [](HostEntry &Host, const IniEntry &Entry, const IniSource &From) {
       Host.m_Address = parseAddress(Entry, From);
     }},
    {"state",
     [](HostEntry &Host, const IniEntry &Entry, const IniSource &From) {
       Host.m_State = parseNamedValue(Entry, From, States);
     }},
};

// All keys are required so that a truncated list is not accepted as a shorter
// one.
constexpr std::string_view RequiredHostKeys[] = {"zone", "address", "state"};

[[noreturn]] void throwFault(const std::string &Fault,
                             const std::string &Remedy, int Line) {
  throw Source.makeFault(Fault, Remedy, Line);
}

template <typename Value, std::size_t KeyCount, std::size_t RequiredCount>
Value readSection(Value Target, const IniSection &Section,
                  const KeyHandler<Value> (&Keys)[KeyCount],
                  const std::string_view (&Required)[RequiredCount]) {
  FaultList Faults;
  readEntries(Target, Section, Source, Keys, Faults);
  requireKeys(Section, Source, Required, Faults);
  if (!Faults.empty())
    throw Faults.front();
  return Target;
}

HostEntry readHost(const IniSection &Section) {
  if (Section.m_Type != "host" || Section.m_Name.empty())
    throwFault("unknown section [" + Section.m_Type + "]",
               "write [hosts] once and [host NAME] for each host",
               Section.m_Line);
  HostEntry Host;
  Host.m_Name = Section.m_Name;
  return readSection(std::move(Host), Section, HostKeys, RequiredHostKeys);
}

std::string writeHost(const HostEntry &Host) {
  return "[host " + Host.m_Name + "]\nzone = " + Host.m_Zone +
         "\naddress = " + Host.m_Address +
         "\nstate = " + (Host.m_State == HostState::Live ? "live" : "leaving") +
         "\n";
}

void sortByName(std::vector<HostEntry> &Hosts) {
  std::sort(Hosts.begin(), Hosts.end(),
            [](const HostEntry &Left, const HostEntry &Right) {
              return Left.m_Name < Right.m_Name;
            });
}

const HostEntry *findHost(const HostList &List, std::string_view Name) {
  const auto Found =
      std::lower_bound(List.m_Hosts.begin(), List.m_Hosts.end(), Name,
                       [](const HostEntry &Entry, std::string_view Key) {
                         return Entry.m_Name < Key;
                       });
  if (Found == List.m_Hosts.end() || Found->m_Name != Name)
    return nullptr;
  return &*Found;
}

} // namespace

HostList readHostList(std::string_view Text) {
  if (!Text.empty() && Text.back() != '\n')
    throwFault("the list is truncated: its last line has no line break",
               "publish the complete list, with a line break at its end", 0);
  const IniDocument Document =
      parseIni(Text, ListName, ErrorKind::BadConfiguration);
  ListHeader Header;
  HostList List;
  for (const IniSection &Section : Document.m_Sections) {
    if (Section.m_Type == "hosts")
      Header = readSection(Header, Section, HeaderKeys, RequiredHeaderKeys);
    else
      List.m_Hosts.push_back(readHost(Section));
  }
  if (Header.m_Revision == 0)
    throwFault("no revision", "add a [hosts] section with revision = NUMBER",
               0);
  if (List.m_Hosts.size() != Header.m_Count)
    throwFault("the list has " + std::to_string(List.m_Hosts.size()) +
                   " hosts, but its count is " + std::to_string(Header.m_Count),
               "publish the complete list, or correct count", 0);
  List.m_Revision = Header.m_Revision;
  sortByName(List.m_Hosts);
  return List;
}

HostNames leavingHosts(const HostList &List) {
  HostNames Names;
  for (const HostEntry &Host : List.m_Hosts) {
    if (Host.m_State == HostState::Leaving)
      Names.insert(Host.m_Name);
  }
  return Names;
}

std::string writeHostList(const HostList &List) {
  std::string Text = "[hosts]\nrevision = " + std::to_string(List.m_Revision) +
                     "\ncount = " + std::to_string(List.m_Hosts.size()) + "\n";
  for (const HostEntry &Host : List.m_Hosts)
    Text += writeHost(Host);
  return Text;
}

PartMap splitHostList(const HostList &List, const PartMap &Previous) {
  PartMap Parts;
  for (const HostEntry &Host : List.m_Hosts) {
    std::string Name = std::string(HostPartPrefix) + Host.m_Name;
    std::string Text = writeHost(Host);
    const auto Known = Previous.find(Name);
    if (Known != Previous.end() && Known->second->m_Text == Text) {
      Parts.emplace_hint(Parts.end(), Name, Known->second);
      continue;
    }
    Parts.emplace_hint(Parts.end(), Name, makePart(Name, std::move(Text)));
  }
  return Parts;
}

HostList joinHostList(Version Revision, const PartMap &Parts,
                      const HostList &Previous, const PartMap &PreviousParts) {
  HostList List;
  List.m_Revision = Revision;
  List.m_Hosts.reserve(Parts.size());
  for (const auto &[Name, Text] : Parts) {
    const auto Old = PreviousParts.find(Name);
    if (Old != PreviousParts.end() && Old->second == Text) {
      const HostEntry *Known = findHost(
          Previous, std::string_view(Name).substr(HostPartPrefix.size()));
      if (Known != nullptr) {
        List.m_Hosts.push_back(*Known);
        continue;
      }
    }
    const IniDocument Document =
        parseIni(Text->m_Text, Name, ErrorKind::BadConfiguration);
    if (Document.m_Sections.size() != 1 ||
        Name !=
            std::string(HostPartPrefix) + Document.m_Sections.front().m_Name)
      throwFault(
          "part " + Name +
              " does not contain exactly the host that it is named after",
          "run the same release on all nodes", 0);
    List.m_Hosts.push_back(readHost(Document.m_Sections.front()));
  }
  sortByName(List.m_Hosts);
  return List;
}

} // namespace dandelionfall::core
