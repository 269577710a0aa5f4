#include "dandelionfall/core/ini_document.h"

#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <set>
#include <sstream>

namespace dandelionfall::core {

namespace {

// The INI library doesn't report the lines of valid entries, so they are
// collected in a separate pass.
struct LineIndex {
  std::vector<IniSection> m_Sections;
  // Text between the brackets of each section; the key under which the library
  // stores the section.
  std::vector<std::string> m_Titles;
};

constexpr const char *LineRemedy =
    "write [section] lines and key = value lines, with unique names";

constexpr unsigned char DeleteCharacter = 0x7f;

// File name and error kind for the faults of one text.
struct FaultContext {
  const std::string &m_File;
  ErrorKind m_Kind;

  [[noreturn]] void throwFault(const std::string &Fault,
                               const std::string &Remedy, int Line) const {
    throw Error(m_Kind, Fault, Remedy, {m_File, Line});
  }
};

void splitTypeAndName(const std::string &Title, IniSection &Section) {
  const std::size_t Space = Title.find(' ');
  Section.m_Type = Title.substr(0, Space);
  if (Space != std::string::npos)
    Section.m_Name = boost::algorithm::trim_copy(Title.substr(Space));
}

bool hasControlCharacter(const std::string &Line) {
  for (const char Character : Line) {
    const auto Code = static_cast<unsigned char>(Character);
    if ((Code < ' ' && Code != '\t') || Code == DeleteCharacter)
      return true;
  }
  return false;
}

void addSection(const std::string &Line, int Number, LineIndex &Index,
                const FaultContext &Context) {
  const std::size_t End = Line.find(']');
  if (End != Line.size() - 1)
    Context.throwFault(End == std::string::npos ? "unmatched '['"
                                                : "text after a section's ']'",
                       "write [section] on a separate line", Number);
  std::string Title = boost::algorithm::trim_copy(Line.substr(1, End - 1));
  if (Title.empty())
    Context.throwFault("section without a name", "write [section]", Number);
  IniSection Section;
  splitTypeAndName(Title, Section);
  Section.m_Line = Number;
  Index.m_Sections.push_back(std::move(Section));
  Index.m_Titles.push_back(std::move(Title));
}

LineIndex indexLines(std::string_view Text, const FaultContext &Context) {
  LineIndex Index;
  std::istringstream Stream{std::string(Text)};
  std::string Line;
  for (int Number = 1; std::getline(Stream, Line); ++Number) {
    boost::algorithm::trim(Line);
    if (hasControlCharacter(Line))
      Context.throwFault("control character in the text", "remove it", Number);
    if (Line.empty() || Line.front() == ';' || Line.front() == '#')
      continue;
    if (Line.front() == '[') {
      addSection(Line, Number, Index, Context);
      continue;
    }
    if (Index.m_Sections.empty())
      Context.throwFault("key outside a section",
                         "put a [section] line before it", Number);
    const std::string Key =
        boost::algorithm::trim_copy(Line.substr(0, Line.find('=')));
    Index.m_Sections.back().m_Entries.push_back({Key, "", Number});
  }
  return Index;
}

boost::property_tree::ptree parseTree(std::string_view Text,
                                      const FaultContext &Context) {
  std::istringstream Stream{std::string(Text)};
  boost::property_tree::ptree Tree;
  try {
    boost::property_tree::ini_parser::read_ini(Stream, Tree);
  } catch (const boost::property_tree::ini_parser_error &Fault) {
    Context.throwFault(Fault.message(), LineRemedy,
                       static_cast<int>(Fault.line()));
  }
  return Tree;
}

void checkDuplicateSections(const LineIndex &Index,
                            const FaultContext &Context) {
  std::set<std::string> Titles;
  for (const IniSection &Section : Index.m_Sections) {
    const std::string Title = formatTitle(Section);
    if (!Titles.insert(Title).second)
      Context.throwFault("duplicate section [" + Title + "]",
                         "merge the sections or rename one", Section.m_Line);
  }
}

void fillInValues(const boost::property_tree::ptree &Tree,
                  const std::string &Title, IniSection &Section,
                  const FaultContext &Context) {
  const auto Found = Tree.find(Title);
  // The library omits empty sections.
  if (Found == Tree.not_found() && Section.m_Entries.empty())
    return;
  for (IniEntry &Entry : Section.m_Entries) {
    const auto Value = Found == Tree.not_found()
                           ? boost::optional<std::string>()
                           : Found->second.get_optional<std::string>(
                                 boost::property_tree::path(Entry.m_Key, '\0'));
    if (!Value)
      Context.throwFault("key without a value", LineRemedy, Entry.m_Line);
    Entry.m_Value = *Value;
  }
}

} // namespace

std::string formatTitle(const IniSection &Section) {
  return Section.m_Name.empty() ? Section.m_Type
                                : Section.m_Type + " " + Section.m_Name;
}

const IniEntry *IniSection::find(std::string_view Key) const {
  for (const IniEntry &Entry : m_Entries) {
    if (Entry.m_Key == Key)
      return &Entry;
  }
  return nullptr;
}

IniDocument parseIni(std::string_view Text, const std::string &File,
                     ErrorKind Kind) {
  const FaultContext Context{File, Kind};
  LineIndex Index = indexLines(Text, Context);
  checkDuplicateSections(Index, Context);
  const boost::property_tree::ptree Tree = parseTree(Text, Context);
  for (std::size_t Number = 0; Number < Index.m_Sections.size(); ++Number)
    fillInValues(Tree, Index.m_Titles[Number], Index.m_Sections[Number],
                 Context);
  return {File, std::move(Index.m_Sections)};
}

} // namespace dandelionfall::core
