#include "dandelionfall/core/ini_document.h"

#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <sstream>

namespace dandelionfall::core {

namespace {

// The library reports no lines for what it accepts, so the lines are collected
// beside it.
struct LineIndex {
  std::vector<IniSection> m_Sections;
  int m_KeyOutsideSection = 0;
};

void splitTypeAndName(const std::string &Title, IniSection &Section) {
  const std::size_t Space = Title.find(' ');
  Section.m_Type = Title.substr(0, Space);
  if (Space != std::string::npos)
    Section.m_Name = boost::algorithm::trim_copy(Title.substr(Space));
}

LineIndex indexLines(std::string_view Text) {
  LineIndex Index;
  std::istringstream Stream{std::string(Text)};
  std::string Line;
  for (int Number = 1; std::getline(Stream, Line); ++Number) {
    boost::algorithm::trim(Line);
    if (Line.empty() || Line.front() == ';' || Line.front() == '#')
      continue;
    if (Line.front() == '[') {
      IniSection Section;
      splitTypeAndName(
          boost::algorithm::trim_copy(Line.substr(1, Line.find(']') - 1)),
          Section);
      Section.m_Line = Number;
      Index.m_Sections.push_back(std::move(Section));
      continue;
    }
    if (Index.m_Sections.empty()) {
      Index.m_KeyOutsideSection = Number;
      return Index;
    }
    const std::string Key =
        boost::algorithm::trim_copy(Line.substr(0, Line.find('=')));
    Index.m_Sections.back().m_Entries.push_back({Key, "", Number});
  }
  return Index;
}

boost::property_tree::ptree parseTree(std::string_view Text,
                                      const std::string &File, ErrorKind Kind) {
  std::istringstream Stream{std::string(Text)};
  boost::property_tree::ptree Tree;
  try {
    boost::property_tree::ini_parser::read_ini(Stream, Tree);
  } catch (const boost::property_tree::ini_parser_error &Fault) {
    throw Error(Kind, Fault.message(),
                "write [section] lines and key = value lines, each name once",
                {File, static_cast<int>(Fault.line())});
  }
  return Tree;
}

std::string titleOf(const IniSection &Section) {
  return Section.m_Name.empty() ? Section.m_Type
                                : Section.m_Type + " " + Section.m_Name;
}

void refuseDuplicateSections(const LineIndex &Index, const std::string &File,
                             ErrorKind Kind) {
  std::vector<std::string> Titles;
  for (const IniSection &Section : Index.m_Sections)
    Titles.push_back(titleOf(Section));
  std::sort(Titles.begin(), Titles.end());
  const auto Twice = std::adjacent_find(Titles.begin(), Titles.end());
  if (Twice == Titles.end())
    return;
  int Line = 0;
  for (const IniSection &Section : Index.m_Sections) {
    if (titleOf(Section) == *Twice)
      Line = Section.m_Line;
  }
  throw Error(Kind, "duplicate section [" + *Twice + "]",
              "merge the sections or rename one", {File, Line});
}

} // namespace

const IniEntry *IniSection::find(std::string_view Key) const {
  for (const IniEntry &Entry : m_Entries) {
    if (Entry.m_Key == Key)
      return &Entry;
  }
  return nullptr;
}

IniDocument parseIni(std::string_view Text, const std::string &File,
                     ErrorKind Kind) {
  const boost::property_tree::ptree Tree = parseTree(Text, File, Kind);
  LineIndex Index = indexLines(Text);
  if (Index.m_KeyOutsideSection > 0)
    throw Error(Kind, "key outside a section", "put a [section] line before it",
                {File, Index.m_KeyOutsideSection});
  refuseDuplicateSections(Index, File, Kind);
  for (IniSection &Section : Index.m_Sections) {
    const auto Found = Tree.find(titleOf(Section));
    if (Found == Tree.not_found())
      continue;
    for (IniEntry &Entry : Section.m_Entries)
      Entry.m_Value = Found->second.get<std::string>(
          boost::property_tree::path(Entry.m_Key, '\0'), "");
  }
  return {File, std::move(Index.m_Sections)};
}

} // namespace dandelionfall::core
