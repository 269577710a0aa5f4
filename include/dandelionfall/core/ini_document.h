/// \file
/// INI text with the line of every section and key, so that a fault can name
/// its place.
#ifndef DANDELIONFALL_CORE_INI_DOCUMENT_H
#define DANDELIONFALL_CORE_INI_DOCUMENT_H

#include "dandelionfall/core/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionfall::core {

/// A key of a section with its value and line.
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

  /// Finds a key.
  /// \param Key the key.
  /// \returns its entry, or null if the section lacks it.
  const IniEntry *find(std::string_view Key) const;
  friend bool operator==(const IniSection &, const IniSection &) = default;
};

/// Writes a section's title.
/// \param Section the section.
/// \returns its type and, if it has one, its name.
std::string formatTitle(const IniSection &Section);

/// A parsed INI text.
struct IniDocument {
  std::string m_File;
  std::vector<IniSection> m_Sections;
};

/// Parses INI text. Comments start with `;` or `#` at the start of a line.
/// \param Text the text.
/// \param File the name that faults are reported with.
/// \param Kind the kind of error to throw.
/// \returns the sections in their order.
/// \throws Error of kind \p Kind for a line that is neither section, key nor
/// comment, for a key outside a section, for a duplicate section or key, for
/// text after a section's bracket, and for a control character.
IniDocument parseIni(std::string_view Text, const std::string &File,
                     ErrorKind Kind);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_INI_DOCUMENT_H
