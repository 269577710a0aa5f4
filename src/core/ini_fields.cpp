#include "dandelionfall/core/ini_fields.h"

namespace dandelionfall::core {

namespace {

constexpr int IpV4Octets = 4;
constexpr unsigned MaxIpV4Octet = 255;
constexpr unsigned MaxPort = 65'535;

// Accepts decimal digits only, without a sign or leading zeros.
bool isNumberInRange(std::string_view Text, unsigned Least, unsigned Most) {
  unsigned Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Code] = std::from_chars(Text.data(), End, Value);
  const bool HasLeadingZero = Text.size() > 1 && Text.front() == '0';
  return !Text.empty() && Code == std::errc() && Rest == End &&
         !HasLeadingZero && Value >= Least && Value <= Most;
}

bool isIpV4(std::string_view Text) {
  for (int Octet = 1; Octet < IpV4Octets; ++Octet) {
    const std::size_t Dot = Text.find('.');
    if (Dot == std::string_view::npos ||
        !isNumberInRange(Text.substr(0, Dot), 0, MaxIpV4Octet))
      return false;
    Text.remove_prefix(Dot + 1);
  }
  return isNumberInRange(Text, 0, MaxIpV4Octet);
}

bool isHexGroup(std::string_view Text) {
  constexpr std::size_t MaxDigits = 4;
  return !Text.empty() && Text.size() <= MaxDigits &&
         Text.find_first_not_of("0123456789abcdefABCDEF") ==
             std::string_view::npos;
}

// Counts the groups on one side of `::`; returns -1 if a group is malformed.
int countGroups(std::string_view Text) {
  int Groups = 0;
  while (!Text.empty()) {
    const std::size_t Colon = Text.find(':');
    if (!isHexGroup(Text.substr(0, Colon)))
      return -1;
    ++Groups;
    if (Colon == std::string_view::npos)
      return Groups;
    Text.remove_prefix(Colon + 1);
    if (Text.empty())
      return -1;
  }
  return Groups;
}

bool isIpV6(std::string_view Text) {
  constexpr int IpV6Groups = 8;
  const std::size_t Gap = Text.find("::");
  if (Gap == std::string_view::npos)
    return countGroups(Text) == IpV6Groups;
  const int Before = countGroups(Text.substr(0, Gap));
  const int After = countGroups(Text.substr(Gap + 2));
  return Before >= 0 && After >= 0 && Before + After < IpV6Groups;
}

bool isIp(std::string_view Text) {
  if (Text.size() > 2 && Text.front() == '[' && Text.back() == ']')
    return isIpV6(Text.substr(1, Text.size() - 2));
  return isIpV4(Text);
}

std::string join(const std::vector<std::string_view> &Words) {
  std::string Text;
  for (const std::string_view Word : Words)
    Text += (Text.empty() ? "" : ", ") + std::string(Word);
  return Text;
}

} // namespace

Error IniSource::makeFault(const std::string &Fault, const std::string &Remedy,
                           int Line) const {
  return {m_Kind, Fault, Remedy, {m_File, Line}};
}

Error makeNumberFault(const IniEntry &Entry, const IniSource &Source,
                      const std::string &Least, const std::string &Most) {
  return Source.makeFault(
      "'" + Entry.m_Value + "' is not a valid value for " + Entry.m_Key,
      "write a number from " + Least + " to " + Most, Entry.m_Line);
}

Error makeUnknownFault(std::string_view What, const IniEntry &Entry,
                       std::string_view Found,
                       const std::vector<std::string_view> &Known,
                       const IniSource &Source) {
  return Source.makeFault("unknown " + std::string(What) + " '" +
                              std::string(Found) + "'",
                          "use one of: " + join(Known), Entry.m_Line);
}

std::string parseNonEmptyText(const IniEntry &Entry, const IniSource &Source) {
  if (Entry.m_Value.empty())
    throw Source.makeFault(Entry.m_Key + " is empty",
                           "write " + Entry.m_Key + " = VALUE", Entry.m_Line);
  return Entry.m_Value;
}

std::string parseAddress(const IniEntry &Entry, const IniSource &Source) {
  const std::string_view Text = Entry.m_Value;
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || !isIp(Text.substr(0, Colon)) ||
      !isNumberInRange(Text.substr(Colon + 1), 1, MaxPort))
    throw Source.makeFault(
        "'" + Entry.m_Value + "' is not a valid value for " + Entry.m_Key,
        "write IP:PORT, such as 10.1.2.3:7101", Entry.m_Line);
  return Entry.m_Value;
}

void requireKeys(const IniSection &Section, const IniSource &Source,
                 std::span<const std::string_view> Keys, FaultList &Faults) {
  for (const std::string_view Key : Keys) {
    if (Section.find(Key) != nullptr)
      continue;
    Faults.push_back(Source.makeFault(
        "[" + formatTitle(Section) + "] lacks the key " + std::string(Key),
        "add " + std::string(Key) + " = VALUE", Section.m_Line));
  }
}

} // namespace dandelionfall::core
