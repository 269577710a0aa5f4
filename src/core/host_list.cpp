#include "dandelionfall/core/host_list.h"

#include "dandelionfall/core/ini_document.h"

#include <algorithm>
#include <charconv>

namespace dandelionfall::core {

namespace {

const std::string ListName = "hosts";
constexpr std::string_view PartPrefix = "host/";

[[noreturn]] void refuse(const std::string &Fault, const std::string &Remedy,
                         int Line) {
  throw Error(ErrorKind::BadConfiguration, Fault, Remedy, {ListName, Line});
}

Version readRevision(const IniSection &Section) {
  const IniEntry *Entry = Section.find("revision");
  if (Entry == nullptr || Section.m_Entries.size() != 1)
    refuse("[hosts] needs the key revision and no other",
           "write revision = NUMBER", Section.m_Line);
  Version Value = 0;
  const char *End = Entry->m_Value.data() + Entry->m_Value.size();
  const auto [Rest, Code] = std::from_chars(Entry->m_Value.data(), End, Value);
  if (Code != std::errc() || Rest != End || Value == 0)
    refuse("'" + Entry->m_Value + "' is no valid revision",
           "write a whole number from 1", Entry->m_Line);
  return Value;
}

HostState readState(const IniEntry &Entry) {
  if (Entry.m_Value == "live")
    return HostState::Live;
  if (Entry.m_Value == "leaving")
    return HostState::Leaving;
  refuse("unknown state '" + Entry.m_Value + "'", "write live or leaving",
         Entry.m_Line);
}

HostEntry readHost(const IniSection &Section) {
  if (Section.m_Type != "host" || Section.m_Name.empty())
    refuse("unknown section [" + Section.m_Type + "]",
           "write [hosts] once and [host NAME] for each host", Section.m_Line);
  HostEntry Host;
  Host.m_Name = Section.m_Name;
  for (const IniEntry &Entry : Section.m_Entries) {
    if (Entry.m_Key == "zone")
      Host.m_Zone = Entry.m_Value;
    else if (Entry.m_Key == "address")
      Host.m_Address = Entry.m_Value;
    else if (Entry.m_Key == "state")
      Host.m_State = readState(Entry);
    else
      refuse("unknown key '" + Entry.m_Key + "'",
             "use one of: zone, address, state", Entry.m_Line);
  }
  if (Host.m_Zone.empty() || Host.m_Address.empty())
    refuse("host " + Host.m_Name + " lacks its zone or address",
           "write zone = NAME and address = IP:PORT", Section.m_Line);
  return Host;
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
                       [](const HostEntry &Entry, std::string_view Wanted) {
                         return Entry.m_Name < Wanted;
                       });
  if (Found == List.m_Hosts.end() || Found->m_Name != Name)
    return nullptr;
  return &*Found;
}

} // namespace

HostList readHostList(std::string_view Text) {
  const IniDocument Document =
      parseIni(Text, ListName, ErrorKind::BadConfiguration);
  HostList List;
  for (const IniSection &Section : Document.m_Sections) {
    if (Section.m_Type == "hosts") {
      List.m_Revision = readRevision(Section);
      continue;
    }
    List.m_Hosts.push_back(readHost(Section));
  }
  if (List.m_Revision == 0)
    refuse("no revision", "add a [hosts] section with revision = NUMBER", 0);
  sortByName(List.m_Hosts);
  return List;
}

std::string writeHostList(const HostList &List) {
  std::string Text =
      "[hosts]\nrevision = " + std::to_string(List.m_Revision) + "\n";
  for (const HostEntry &Host : List.m_Hosts)
    Text += writeHost(Host);
  return Text;
}

PartMap toParts(const HostList &List, const PartMap &Previous) {
  PartMap Parts;
  for (const HostEntry &Host : List.m_Hosts) {
    std::string Name = std::string(PartPrefix) + Host.m_Name;
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

HostList fromParts(Version Revision, const PartMap &Parts,
                   const HostList &Previous, const PartMap &PreviousParts) {
  HostList List;
  List.m_Revision = Revision;
  List.m_Hosts.reserve(Parts.size());
  for (const auto &[Name, Source] : Parts) {
    const auto Old = PreviousParts.find(Name);
    if (Old != PreviousParts.end() && Old->second == Source) {
      const HostEntry *Known =
          findHost(Previous, std::string_view(Name).substr(PartPrefix.size()));
      if (Known != nullptr) {
        List.m_Hosts.push_back(*Known);
        continue;
      }
    }
    const IniDocument Document =
        parseIni(Source->m_Text, Name, ErrorKind::BadConfiguration);
    if (Document.m_Sections.size() != 1 ||
        Name != std::string(PartPrefix) + Document.m_Sections.front().m_Name)
      refuse("part " + Name + " does not hold its one host",
             "run the same release on all nodes", 0);
    List.m_Hosts.push_back(readHost(Document.m_Sections.front()));
  }
  sortByName(List.m_Hosts);
  return List;
}

} // namespace dandelionfall::core
