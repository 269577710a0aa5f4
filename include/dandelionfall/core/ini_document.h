/// \file
/// INI parser that records the line of every section and key for error
/// messages.
#ifndef DANDELIONFALL_CORE_INI_DOCUMENT_H
#define DANDELIONFALL_CORE_INI_DOCUMENT_H

#include "dandelionfall/core/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionfall::core {

/// A key with its value and line number.
struct IniEntry {
  std::string m_Key;
  std::string m_Value;
  int m_Line = 0;
  friend bool operator==(const IniEntry &, const IniEntry &) = default;
};

/// A section; `[service slotboard]` has the type `service` and the name
/// `slotboard`.
struct IniSection {
  std::string m_Type;
  std::string m_Name;
  int m_Line = 0;
  std::vector<IniEntry> m_Entries;

  /// \returns the entry of \p Key, or null if the section does not contain it.
  const IniEntry *find(std::string_view Key) const;
  friend bool operator==(const IniSection &, const IniSection &) = default;
};

/// Formats the title of a section.
/// \param Section the section.
/// \returns its type, followed by its name if it has one.
std::string formatTitle(const IniSection &Section);

/// A parsed INI text.
struct IniDocument {
  std::string m_File;
  std::vector<IniSection> m_Sections;
};

/// Parses INI text. Comments start with `;` or `#` at the start of a line.
/// \param Text the text.
/// \param File the file name used in error messages.
/// \param Kind the kind of error to throw.
/// \returns the sections in the order of the text.
/// \throws Error of kind \p Kind for a line that is neither section, key nor
/// comment, a key outside a section, a duplicate section or key, text after the
/// closing bracket of a section, or a control character.
IniDocument parseIni(std::string_view Text, const std::string &File,
                     ErrorKind Kind);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_INI_DOCUMENT_H
